//! Helpers shared by the tests: small sites on loopback with their own ports.

#![allow(dead_code)]

use std::path::PathBuf;

use jujubepost::up::Site;

/// The binary under test.
pub fn exe() -> PathBuf {
    PathBuf::from(env!("CARGO_BIN_EXE_jujubepost"))
}

/// Writes settings for a small site whose ports start at `base`: `lbs`
/// balancers, `meters` meter targets and `fieldlogs` fieldlog targets.
pub fn settings(name: &str, base: u16, lbs: u16, meters: u16, fieldlogs: u16) -> PathBuf {
    let dir = std::env::temp_dir().join(format!("jujubepost-test-{name}-{}", std::process::id()));
    std::fs::create_dir_all(&dir).unwrap();
    let zones = ["gjw-a", "gjw-b", "gjw-c"];
    let balancers: Vec<String> = (0..lbs)
        .map(|i| {
            format!(
                r#"{{ "name": "lb-{i}", "zone": "{}", "addr": "127.0.0.1:{}" }}"#,
                zones[usize::from(i) % 3],
                base + 10 + i
            )
        })
        .collect();
    let mut targets = Vec::new();
    for (service, n, off) in [("meter", meters, 0), ("fieldlog", fieldlogs, 50)] {
        for i in 0..n {
            targets.push(format!(
                r#"{{ "name": "{service}-{}", "zone": "{}", "service": "{service}", "addr": "127.0.0.1:{}", "agent": "127.0.0.1:{}", "slots": 5 }}"#,
                i + 1,
                zones[usize::from(i) % 3],
                base + 100 + off + i,
                base + 200 + off + i
            ));
        }
    }
    let text = format!(
        r#"// test site {name}
{{
  "site": "{name}",
  "store": {{ "addr": "127.0.0.1:{base}" }},
  "fabric": {{ "addr": "127.0.0.1:{}", "rto_ms": 100 }},
  "agent": {{ "lease_ms": 1000, "grace_ms": 1000, "stop_ms": 5000 }},
  "balancers": [{}],
  "profiles": [
    {{ "name": "meter", "service": "meter", "listen": "127.0.0.1:{}" }},
    {{ "name": "fieldlog", "service": "fieldlog", "listen": "127.0.0.1:{}", "idempotent": true }}
  ],
  "targets": [{}]
}}
"#,
        base + 1,
        balancers.join(", "),
        base + 20,
        base + 21,
        targets.join(", ")
    );
    let path = dir.join("site.jsonc");
    std::fs::write(&path, text).unwrap();
    path
}

/// Starts a small site.
pub async fn start(name: &str, base: u16, lbs: u16, meters: u16, fieldlogs: u16) -> Site {
    let path = settings(name, base, lbs, meters, fieldlogs);
    Site::start(&exe(), &path).await.unwrap()
}
