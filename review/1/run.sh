#!/usr/bin/env bash
# The operator changes the weights of a route that two services share. Then the balancers are
# stopped and started in turn, so that open flows reach balancers that did not see them open.
# Exit: 1 if FLOW was broken, 0 if it held, 2 if the case could not run.
# TROUBLE=0: the balancers are restarted as well, but the weights stay.
set -u
. "$(dirname "${BASH_SOURCE[0]}")/../lib.sh"

# put_config VERSION WEIGHT WEIGHT
put_config() {
  "$standin" operator --store "$store" --config "{\"version\":$1,\"routes\":[{\"name\":\"r-feed\",\"host\":\"$net.9.1\",\"prefix\":\"/443/\",\"type\":\"safe\",\"timeout_ms\":3000,\"target_latency_ms\":200,\"priority\":2,\"backends\":[{\"service\":\"huvo11a\",\"weight\":$2},{\"service\":\"wuno96b\",\"weight\":$3}],\"attempts\":2}],\"services\":[{\"name\":\"huvo11a\",\"health_check\":\"/health\",\"max_conns\":2000,\"protocol\":\"h1\",\"tls\":false},{\"name\":\"wuno96b\",\"health_check\":\"/health\",\"max_conns\":2000,\"protocol\":\"h1\",\"tls\":false}],\"limits\":{\"max_header_bytes\":16384,\"max_body_bytes\":262144,\"header_timeout_ms\":3000,\"idle_timeout_ms\":15000}}" \
    >>"$dir/script.out" || cannot_run "the store does not answer"
}

start_store
put_config 7 90 10
for n in 1 2; do entry_settings $n gjw-a; start_entry $n; done
services=(- huvo11a huvo11a wuno96b wuno96b)
for n in 1 2 3 4; do
  sidecar_settings $n gjw-a "${services[$n]}"
  start_sidecar $n
  start_server "i-${services[$n]}-$n" $net.2.$n gjw-a "${services[$n]}" "$net.2.$n:$((base + 3))"
done
"$standin" wait-ready --at "$net.1.1:$((base + 1)),$net.1.2:$((base + 1))" || cannot_run "balancers are not ready"
sleep 1.5
start_clients 1 --feeds 30 --pause-ms 1000 --rate 10
sleep 4

if [ "$TROUBLE" != 0 ]; then
  say "the weights change from 90 and 10 to 10 and 90"
  put_config 8 10 90
fi
# Over config_apply_ms (3,000) and contact_ms (4,000).
sleep 6
restart_entry 2
sleep 8
restart_entry 1
sleep 6
touch "$dir/stop"
sleep 1
write_record
"$standin" judge-resets --record "$record" | tee -a "$record"
exit "${PIPESTATUS[0]}"
