//! A small site on loopback, written as a settings file: for tests,
//! examples and measurements that need a site of a chosen size.

use std::path::PathBuf;

const ZONES: [&str; 3] = ["gjw-a", "gjw-b", "gjw-c"];

/// The size and ports of a small Suryakosh-like site.
#[derive(Clone, Copy, Debug)]
pub struct SiteSpec {
    base: u16,
    balancers: u16,
    meters: u16,
    fieldlogs: u16,
    lease_ms: u64,
}

impl SiteSpec {
    /// A site whose ports start at `base` (it uses `base` to `base + 400`),
    /// with one balancer and one meter target.
    #[must_use]
    pub const fn new(base: u16) -> Self {
        Self { base, balancers: 1, meters: 1, fieldlogs: 0, lease_ms: 1_000 }
    }

    /// Number of balancers (at most 10).
    #[must_use]
    pub const fn balancers(mut self, n: u16) -> Self {
        self.balancers = n;
        self
    }

    /// Number of meter targets (at most 50).
    #[must_use]
    pub const fn meters(mut self, n: u16) -> Self {
        self.meters = n;
        self
    }

    /// Number of fieldlog targets (at most 50).
    #[must_use]
    pub const fn fieldlogs(mut self, n: u16) -> Self {
        self.fieldlogs = n;
        self
    }

    /// Lease time to live of announcements, in milliseconds.
    #[must_use]
    pub const fn lease_ms(mut self, ms: u64) -> Self {
        self.lease_ms = ms;
        self
    }

    /// The settings text.
    #[must_use]
    pub fn text(&self, site: &str) -> String {
        let b = self.base;
        let balancers: Vec<String> = (0..self.balancers)
            .map(|i| {
                let zone = ZONES[usize::from(i) % 3];
                format!(
                    r#"{{ "name": "lb-{i}", "zone": "{zone}", "addr": "127.0.0.1:{}" }}"#,
                    b + 10 + i
                )
            })
            .collect();
        let mut targets = Vec::new();
        for (service, n, off) in [("meter", self.meters, 0), ("fieldlog", self.fieldlogs, 50)] {
            for i in 0..n {
                let zone = ZONES[usize::from(i) % 3];
                let (addr, agent) = (b + 100 + off + i, b + 200 + off + i);
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
  "store": {{ "addr": "127.0.0.1:{b}" }},
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
            b + 1,
            self.lease_ms,
            balancers.join(", "),
            b + 20,
            b + 21,
            targets.join(", ")
        )
    }

    /// Writes the settings into a new folder under the system's temporary
    /// folder and returns the file's path.
    ///
    /// # Errors
    ///
    /// Fails when the folder or file cannot be written.
    pub fn write(&self, site: &str) -> std::io::Result<PathBuf> {
        let dir = std::env::temp_dir().join(format!("jujubepost-{site}-{}", std::process::id()));
        std::fs::create_dir_all(&dir)?;
        let path = dir.join("site.jsonc");
        std::fs::write(&path, self.text(site))?;
        Ok(path)
    }
}
