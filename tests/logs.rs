//! Log lines never make the process wait: a reader that stopped costs lines,
//! which are counted; steady repetition is folded into one line.

use std::io::Write;
use std::sync::mpsc::{Receiver, Sender, channel};
use std::time::{Duration, Instant};

use jujubepost::events;
use jujubepost::logs::Bounded;
use logforth::Append;
use logforth::kv::{Key, Value};
use logforth::record::{Level, Record};

/// Hands on what is written, once it is let.
struct Pipe {
    out: Sender<String>,
    gate: Option<Receiver<()>>,
}

impl Write for Pipe {
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

fn log(to: &Bounded, event: &'static str) {
    let kvs = [(Key::new("event"), Value::static_str(event))];
    let args = format_args!("a line");
    let record = Record::builder().level(Level::Info).payload(args).key_values(&kvs[..]).build();
    to.append(&record, &[]).unwrap();
}

#[test]
fn stalled_reader() {
    let (out, lines) = channel();
    let (open, gate) = channel();
    let bounded = Bounded::new(Pipe { out, gate: Some(gate) });
    let names: Vec<&'static str> =
        (0..500).map(|i| &*Box::leak(format!("T{i}").into_boxed_str())).collect();
    let started = Instant::now();
    for _ in 0..10 {
        names.iter().for_each(|name| log(&bounded, name));
    }
    assert!(started.elapsed() < Duration::from_secs(5), "logging waited");
    let dropped = bounded.dropped();
    // The writer may take one queue's worth before its first write stalls, and
    // one more line; then the queue, of 1,024 lines, fills once more.
    let most = 2 * 1_024 + 1;
    assert!(dropped >= 5_000 - most, "{dropped} of 5,000 dropped, the queue has a fixed size");
    open.send(()).unwrap();
    drop(bounded);
    let text: String = lines.iter().collect();
    assert!(text.contains(events::LINES_DROPPED), "and said so");
    assert_eq!(text.lines().filter(|l| l.contains("a line")).count() as u64, 5_000 - dropped);
}

#[test]
fn repetition_folded() {
    let (out, lines) = channel();
    let bounded = Bounded::new(Pipe { out, gate: None });
    for _ in 0..1_000 {
        log(&bounded, "T1");
    }
    log(&bounded, "T2");
    bounded.flush().unwrap();
    drop(bounded);
    let text: String = lines.iter().collect();
    let seen = text.lines().filter(|l| l.contains("\"T1\"") && l.contains("a line")).count();
    assert_eq!(seen, 20);
    assert!(text.contains("\"count\":980"), "{text}");
    assert!(text.contains("\"T2\""), "another event is not held back");
    for line in text.lines() {
        serde_json::from_str::<serde_json::Value>(line).unwrap();
    }
}
