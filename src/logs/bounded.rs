//! Log lines as JSON, through a queue of fixed size to a thread that writes
//! them. Logging never waits: with the queue full a line is dropped and
//! counted. Lines of one event beyond a number a second are folded into one
//! that gives their count.

use std::collections::HashMap;
use std::io::Write;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::mpsc::{Receiver, SyncSender, sync_channel};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use logforth::layout::JsonLayout;
use logforth::record::Record;
use logforth::{Append, Diagnostic, Error, Layout};
use serde_json::json;

use crate::events;

/// Lines waiting to be written: two seconds of the most that folding lets
/// through, at about 300 bytes a line 0.3 MB.
const QUEUE: usize = 1_024;

/// Lines of one event written in one second before they are folded: enough to
/// see a pattern, and with some 25 events 500 lines a second at the most.
const EACH: u32 = 20;

/// The span over which lines are folded.
const SPAN: Duration = Duration::from_secs(1);

/// How long a flush waits for the lines to be written.
const FLUSH: Duration = Duration::from_millis(100);

/// How long lines are gathered before they are written together: one wake-up
/// and one call for all of them. Written one by one, 250 lines in 50 s cost a
/// balancer 2 % of its processor time.
const GATHER: Duration = Duration::from_millis(50);

/// What the writing thread is handed.
enum Item {
    Line(Vec<u8>),
    Flush(SyncSender<()>),
}

/// Lines of one event in the current span.
#[derive(Debug)]
struct Count {
    since: Instant,
    lines: u32,
    folded: u32,
}

/// An appender with a queue of fixed size.
#[derive(Debug)]
pub struct Bounded {
    queue: SyncSender<Item>,
    layout: JsonLayout,
    counts: Mutex<HashMap<String, Count>>,
    dropped: Arc<AtomicU64>,
}

impl Bounded {
    /// An appender that writes to `out` from a thread of its own. The thread
    /// ends with the appender or when `out` fails.
    pub fn new(out: impl Write + Send + 'static) -> Self {
        let (queue, items) = sync_channel(QUEUE);
        let dropped = Arc::new(AtomicU64::new(0));
        let lost = dropped.clone();
        std::thread::spawn(move || write(&items, out, &lost));
        Self { queue, layout: JsonLayout::default(), counts: Mutex::default(), dropped }
    }

    /// Lines dropped so far because the queue was full.
    #[must_use]
    pub fn dropped(&self) -> u64 {
        self.dropped.load(Ordering::Relaxed)
    }

    fn counts(&self) -> MutexGuard<'_, HashMap<String, Count>> {
        self.counts.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Whether a line of `event` is written, and how many of the span before
    /// were folded.
    fn admit(&self, event: &str, now: Instant) -> (bool, u32) {
        let mut counts = self.counts();
        let Some(c) = counts.get_mut(event) else {
            counts.insert(event.to_string(), Count { since: now, lines: 1, folded: 0 });
            return (true, 0);
        };
        let mut folded = 0;
        if now.duration_since(c.since) >= SPAN {
            folded = std::mem::take(&mut c.folded);
            (c.since, c.lines) = (now, 0);
        }
        c.lines += 1;
        let admitted = c.lines <= EACH;
        c.folded += u32::from(!admitted);
        (admitted, folded)
    }

    fn push(&self, line: Vec<u8>) {
        if self.queue.try_send(Item::Line(line)).is_err() {
            self.dropped.fetch_add(1, Ordering::Relaxed);
        }
    }

    fn push_folded(&self, event: &str, count: u32) {
        if count > 0 {
            let kvs = json!({"event": events::LINES_SUPPRESSED, "of": event, "count": count});
            self.push(json!({"message": "lines folded", "kvs": kvs}).to_string().into_bytes());
        }
    }
}

impl Append for Bounded {
    fn append(&self, record: &Record, diags: &[Box<dyn Diagnostic>]) -> Result<(), Error> {
        let event = record.key_values().get("event").map(|v| v.to_string());
        let event = event.as_deref().unwrap_or_else(|| record.target());
        let (admitted, folded) = self.admit(event, Instant::now());
        self.push_folded(event, folded);
        if admitted {
            self.push(self.layout.format(record, diags)?);
        }
        Ok(())
    }

    fn flush(&self) -> Result<(), Error> {
        let folded: Vec<(String, u32)> = self
            .counts()
            .iter_mut()
            .map(|(event, c)| (event.clone(), std::mem::take(&mut c.folded)))
            .collect();
        for (event, count) in folded {
            self.push_folded(&event, count);
        }
        let (done, written) = sync_channel(1);
        if self.queue.try_send(Item::Flush(done)).is_ok() {
            // A reader that stopped must not hold up the end of the process.
            let _ = written.recv_timeout(FLUSH);
        }
        Ok(())
    }
}

/// Writes queued lines, and how many were dropped.
fn write(queue: &Receiver<Item>, mut out: impl Write, dropped: &AtomicU64) {
    let mut told = 0;
    let mut text = Vec::new();
    while let Ok(first) = queue.recv() {
        let mut flushed = gather(first, &mut text);
        if flushed.is_none() {
            std::thread::sleep(GATHER);
            // No more than one queue: with lines coming as fast as they are taken,
            // this would not end, and the text would grow without bound.
            flushed = queue.try_iter().take(QUEUE).find_map(|item| gather(item, &mut text));
        }
        let lost = dropped.load(Ordering::Relaxed);
        if lost > told {
            let kvs = json!({"event": events::LINES_DROPPED, "count": lost - told});
            let note = json!({"message": "lines dropped, nobody read them", "kvs": kvs});
            gather(Item::Line(note.to_string().into_bytes()), &mut text);
            told = lost;
        }
        if out.write_all(&text).and_then(|()| out.flush()).is_err() {
            return;
        }
        text.clear();
        if let Some(done) = flushed {
            let _ = done.try_send(());
        }
    }
}

/// Adds a line to the text to write, or hands back who waits for it.
fn gather(item: Item, text: &mut Vec<u8>) -> Option<SyncSender<()>> {
    match item {
        Item::Line(line) => {
            text.extend_from_slice(&line);
            text.push(b'\n');
            None
        }
        Item::Flush(done) => Some(done),
    }
}
