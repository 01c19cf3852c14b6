//! The log appender must not block the process when its output stalls, and
//! must limit the rate of repeated events.

use std::io::Write;
use std::sync::mpsc::{Receiver, Sender, channel};
use std::time::{Duration, Instant};

use jujubepost::events;
use jujubepost::logs::QueueAppender;
use logforth::Append;
use logforth::kv::{Key, Value};
use logforth::record::{Level, Record};

/// A writer that passes its output to a channel. With a gate, its first write
/// blocks until the gate opens.
struct GatedPipe {
    out: Sender<String>,
    gate: Option<Receiver<()>>,
}

impl Write for GatedPipe {
    fn write(&mut self, buf: &[u8]) -> std::io::Result<usize> {
        if let Some(gate) = self.gate.take() {
            let _ = gate.recv();
        }
        let _ = self.out.send(String::from_utf8_lossy(buf).into_owned());
        Ok(buf.len())
    }

    fn flush(&mut self) -> std::io::Result<()> {
        Ok(())
    }
}

fn log(appender: &QueueAppender, event: &'static str) {
    let kvs = [(Key::new("event"), Value::static_str(event))];
    let args = format_args!("a line");
    let record = Record::builder().level(Level::Info).payload(args).key_values(&kvs[..]).build();
    appender.append(&record, &[]).unwrap();
}

#[test]
fn stalled_output_drops_lines_without_blocking() {
    let (out, lines) = channel();
    let (open, gate) = channel();
    let appender = QueueAppender::new(GatedPipe { out, gate: Some(gate) });
    let names: Vec<&'static str> =
        (0..500).map(|i| &*Box::leak(format!("T{i}").into_boxed_str())).collect();
    let started = Instant::now();
    for _ in 0..10 {
        names.iter().for_each(|name| log(&appender, name));
    }
    assert!(started.elapsed() < Duration::from_secs(5), "logging blocked");
    let dropped = appender.dropped();
    // The writer takes at most one queue (1,024 lines) and one line before its
    // first write blocks; then the queue fills once more.
    let most = 2 * 1_024 + 1;
    assert!(
        dropped >= 5_000 - most,
        "only {dropped} of 5,000 lines dropped; the queue must be bounded"
    );
    open.send(()).unwrap();
    drop(appender);
    let text: String = lines.iter().collect();
    assert!(text.contains(events::LINES_DROPPED), "the number of dropped lines is logged");
    assert_eq!(text.lines().filter(|l| l.contains("a line")).count() as u64, 5_000 - dropped);
}

#[test]
fn repeated_event_is_rate_limited() {
    let (out, lines) = channel();
    let appender = QueueAppender::new(GatedPipe { out, gate: None });
    for _ in 0..1_000 {
        log(&appender, "T1");
    }
    log(&appender, "T2");
    appender.flush().unwrap();
    drop(appender);
    let text: String = lines.iter().collect();
    let seen = text.lines().filter(|l| l.contains("\"T1\"") && l.contains("a line")).count();
    assert_eq!(seen, 20);
    assert!(text.contains("\"count\":980"), "{text}");
    assert!(text.contains("\"T2\""), "another event is not limited");
    for line in text.lines() {
        serde_json::from_str::<serde_json::Value>(line).unwrap();
    }
}
