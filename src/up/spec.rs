//! Generated settings for a small site on loopback, for tests, examples and
//! measurements that need a site of a given size.

use std::path::PathBuf;

const ZONES: [&str; 3] = ["gjw-a", "gjw-b", "gjw-c"];

/// Size and ports of a small site with three zones and the services meter and fieldlog.
#[derive(Clone, Copy, Debug)]
pub struct SiteSpec {
    base_port: u16,
    balancers: u16,
    meters: u16,
    fieldlogs: u16,
    lease_ms: u64,
}

impl SiteSpec {
    /// Creates the settings of a site with one balancer and one meter target, which uses
    /// the ports from `base_port` to `base_port + 400`.
    #[must_use]
    pub const fn new(base_port: u16) -> Self {
        Self { base_port, balancers: 1, meters: 1, fieldlogs: 0, lease_ms: 1_000 }
    }

    /// Sets the number of balancers (at most 10).
    #[must_use]
    pub const fn balancers(mut self, n: u16) -> Self {
        self.balancers = n;
        self
    }

    /// Sets the number of meter targets (at most 50).
    #[must_use]
    pub const fn meters(mut self, n: u16) -> Self {
        self.meters = n;
        self
    }

    /// Sets the number of fieldlog targets (at most 50).
    #[must_use]
    pub const fn fieldlogs(mut self, n: u16) -> Self {
        self.fieldlogs = n;
        self
    }

    /// Sets the time to live of the leases of registrations, in milliseconds.
    #[must_use]
    pub const fn lease_ms(mut self, ms: u64) -> Self {
        self.lease_ms = ms;
        self
    }

    /// Returns the text of the settings file.
    #[must_use]
    pub fn text(&self, site: &str) -> String {
        let base = self.base_port;
        let balancers: Vec<String> = (0..self.balancers)
            .map(|i| {
                let zone = ZONES[usize::from(i) % 3];
                format!(
                    r#"{{ "name": "lb-{i}", "zone": "{zone}", "addr": "127.0.0.1:{}" }}"#,
                    base + 10 + i
                )
            })
            .collect();
        let mut targets = Vec::new();
        for (service, count, offset) in
            [("meter", self.meters, 0), ("fieldlog", self.fieldlogs, 50)]
        {
            for i in 0..count {
                let zone = ZONES[usize::from(i) % 3];
                let (addr, agent) = (base + 100 + offset + i, base + 200 + offset + i);
                targets.push(format!(
                    r#"{{ "name": "{service}-{}", "zone": "{zone}", "service": "{service}", "addr": "127.0.0.1:{addr}", "agent": "127.0.0.1:{agent}", "slots": 5 }}"#,
                    i + 1
                ));
            }
        }
        format!(
            r#"// small site {site}
{{
  "site": "{site}",
  "store": {{ "addr": "127.0.0.1:{base}" }},
  "fabric": {{ "addr": "127.0.0.1:{}", "rto_ms": 100, "give_up_ms": 3000 }},
  "agent": {{ "lease_ms": {}, "grace_ms": 1000, "stop_ms": 5000, "give_up_ms": 3000 }},
  "balancers": [{}],
  "profiles": [
    {{ "name": "meter", "service": "meter", "listen": "127.0.0.1:{}" }},
    {{ "name": "fieldlog", "service": "fieldlog", "listen": "127.0.0.1:{}", "idempotent": true }}
  ],
  "targets": [{}]
}}
"#,
            base + 1,
            self.lease_ms,
            balancers.join(", "),
            base + 20,
            base + 21,
            targets.join(", ")
        )
    }

    /// Writes the settings file into a folder of its own under the system's temporary
    /// folder and returns the path of the file.
    ///
    /// # Errors
    ///
    /// Fails if the folder or the file cannot be written.
    pub fn write(&self, site: &str) -> std::io::Result<PathBuf> {
        let dir = std::env::temp_dir().join(format!("jujubepost-{site}-{}", std::process::id()));
        std::fs::create_dir_all(&dir)?;
        let path = dir.join("site.jsonc");
        std::fs::write(&path, self.text(site))?;
        Ok(path)
    }
}
