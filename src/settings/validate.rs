//! Checks on settings that types cannot express, such as unique names.

use std::collections::HashSet;
use std::net::SocketAddr;

use anyhow::bail;

use super::Settings;

/// Checks that values are in range, and that names and addresses are unique.
///
/// # Errors
///
/// The error names the first invalid field, for example `targets[2].slots`.
pub fn validate(s: &Settings) -> anyhow::Result<()> {
    // With zero, loops would run without a pause and flows time out at once.
    let timers = [
        ("store.timeout_ms", s.store.timeout_ms),
        ("fabric.rto_ms", s.fabric.rto_ms),
        ("fabric.open_ms", s.fabric.open_timeout_ms),
        ("fabric.give_up_ms", s.fabric.ack_timeout_ms),
        ("fabric.probe_ms", s.fabric.probe_interval_ms),
        ("agent.rto_ms", s.agent_timers.rto_ms),
        ("agent.idle_ms", s.agent_timers.idle_timeout_ms),
        ("agent.give_up_ms", s.agent_timers.ack_timeout_ms),
        ("entry.hold_ms", s.balancer_timers.missing_hold_ms),
    ];
    for (field, value) in timers {
        if value == 0 {
            bail!("field `{field}`: must be at least 1");
        }
    }
    if s.agent_timers.lease_ttl_ms < 500 {
        bail!("field `agent.lease_ms`: must be at least 500");
    }
    let mut names = HashSet::new();
    let mut addrs: HashSet<SocketAddr> = HashSet::new();
    addrs.insert(s.store.addr);
    addrs.insert(s.fabric.addr);
    for (i, b) in s.balancers.iter().enumerate() {
        if !names.insert(b.name.clone()) {
            bail!("field `balancers[{i}].name`: `{}` is used twice", b.name);
        }
        if !addrs.insert(b.addr) {
            bail!("field `balancers[{i}].addr`: {} is used twice", b.addr);
        }
    }
    for (i, p) in s.profiles.iter().enumerate() {
        if !names.insert(p.name.clone()) {
            bail!("field `profiles[{i}].name`: `{}` is used twice", p.name);
        }
        if !addrs.insert(p.listen) {
            bail!("field `profiles[{i}].listen`: {} is used twice", p.listen);
        }
        if p.max_flows == 0 {
            bail!("field `profiles[{i}].max_flows`: must be at least 1");
        }
    }
    for (i, t) in s.targets.iter().enumerate() {
        if !names.insert(t.name.clone()) {
            bail!("field `targets[{i}].name`: `{}` is used twice", t.name);
        }
        if t.slots == 0 {
            bail!("field `targets[{i}].slots`: must be at least 1");
        }
        if !addrs.insert(t.addr) {
            bail!("field `targets[{i}].addr`: {} is used twice", t.addr);
        }
        if !addrs.insert(t.agent_addr) {
            bail!("field `targets[{i}].agent`: {} is used twice", t.agent_addr);
        }
        if !t.agent_addr.is_ipv4() {
            bail!("field `targets[{i}].agent`: must be an IPv4 address");
        }
    }
    Ok(())
}
