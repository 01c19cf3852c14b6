//! A `logforth` appender that formats records as JSON lines and passes them to
//! a writer thread through a bounded queue. Logging never blocks: when the queue
//! is full, lines are dropped and counted. Lines of one event above a rate limit
//! are suppressed, and their number is logged instead.

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

/// Capacity of the queue, in lines. A larger queue absorbs a longer stall of
/// the reader and holds more memory.
const QUEUE_LINES: usize = 1_024;

/// Lines of one event that are written in one [`RATE_WINDOW`].
const LINES_PER_WINDOW: u32 = 20;

/// Period of the rate limit.
const RATE_WINDOW: Duration = Duration::from_secs(1);

/// Longest wait of a flush for the writer thread.
const FLUSH_TIMEOUT: Duration = Duration::from_millis(100);

/// How long the writer waits for more lines before it writes them in one call.
/// A larger value means fewer system calls, and lines that appear later.
const BATCH_DELAY: Duration = Duration::from_millis(50);

/// A command to the writer thread.
enum WriterCommand {
    Line(Vec<u8>),
    /// Write what is queued, then signal the sender.
    Flush(SyncSender<()>),
}

/// Lines of one event in the current [`RATE_WINDOW`].
#[derive(Debug)]
struct EventWindow {
    started: Instant,
    written: u32,
    suppressed: u32,
}

/// A log appender that never blocks its callers.
#[derive(Debug)]
pub struct QueueAppender {
    queue: SyncSender<WriterCommand>,
    layout: JsonLayout,
    windows: Mutex<HashMap<String, EventWindow>>,
    dropped: Arc<AtomicU64>,
}

impl QueueAppender {
    /// Starts a thread that writes to `out`. It ends when the appender is
    /// dropped or a write fails.
    pub fn new(out: impl Write + Send + 'static) -> Self {
        let (queue, commands) = sync_channel(QUEUE_LINES);
        let dropped = Arc::new(AtomicU64::new(0));
        let drop_count = dropped.clone();
        std::thread::spawn(move || run_writer(&commands, out, &drop_count));
        Self { queue, layout: JsonLayout::default(), windows: Mutex::default(), dropped }
    }

    /// Number of lines dropped so far because the queue was full.
    #[must_use]
    pub fn dropped(&self) -> u64 {
        self.dropped.load(Ordering::Relaxed)
    }

    fn lock_windows(&self) -> MutexGuard<'_, HashMap<String, EventWindow>> {
        self.windows.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Applies the rate limit to one line of `event`. Returns whether the line
    /// is written, and how many lines of a window that just ended were suppressed.
    fn admit(&self, event: &str, now: Instant) -> (bool, u32) {
        let mut windows = self.lock_windows();
        let Some(window) = windows.get_mut(event) else {
            windows
                .insert(event.to_string(), EventWindow { started: now, written: 1, suppressed: 0 });
            return (true, 0);
        };
        let mut suppressed = 0;
        if now.duration_since(window.started) >= RATE_WINDOW {
            suppressed = std::mem::take(&mut window.suppressed);
            (window.started, window.written) = (now, 0);
        }
        window.written += 1;
        let admitted = window.written <= LINES_PER_WINDOW;
        window.suppressed += u32::from(!admitted);
        (admitted, suppressed)
    }

    fn push(&self, line: Vec<u8>) {
        if self.queue.try_send(WriterCommand::Line(line)).is_err() {
            self.dropped.fetch_add(1, Ordering::Relaxed);
        }
    }

    fn push_suppressed(&self, event: &str, count: u32) {
        if count > 0 {
            let kvs = json!({"event": events::LINES_SUPPRESSED, "of": event, "count": count});
            self.push(
                json!({"message": "lines suppressed by the rate limit", "kvs": kvs})
                    .to_string()
                    .into_bytes(),
            );
        }
    }
}

impl Append for QueueAppender {
    fn append(&self, record: &Record, diags: &[Box<dyn Diagnostic>]) -> Result<(), Error> {
        let event = record.key_values().get("event").map(|v| v.to_string());
        let event = event.as_deref().unwrap_or_else(|| record.target());
        let (admitted, suppressed) = self.admit(event, Instant::now());
        self.push_suppressed(event, suppressed);
        if admitted {
            self.push(self.layout.format(record, diags)?);
        }
        Ok(())
    }

    fn flush(&self) -> Result<(), Error> {
        let suppressed: Vec<(String, u32)> = self
            .lock_windows()
            .iter_mut()
            .map(|(event, window)| (event.clone(), std::mem::take(&mut window.suppressed)))
            .collect();
        for (event, count) in suppressed {
            self.push_suppressed(&event, count);
        }
        let (done, written) = sync_channel(1);
        if self.queue.try_send(WriterCommand::Flush(done)).is_ok() {
            // A stalled reader must not delay the exit of the process.
            let _ = written.recv_timeout(FLUSH_TIMEOUT);
        }
        Ok(())
    }
}

/// Writes queued lines in batches and logs how many were dropped. Returns when
/// the appender is dropped or a write fails.
fn run_writer(queue: &Receiver<WriterCommand>, mut out: impl Write, dropped: &AtomicU64) {
    let mut reported = 0;
    let mut text = Vec::new();
    while let Ok(first) = queue.recv() {
        let mut flushed = take_command(first, &mut text);
        if flushed.is_none() {
            std::thread::sleep(BATCH_DELAY);
            // The limit bounds a batch when lines arrive as fast as they are taken.
            flushed = queue
                .try_iter()
                .take(QUEUE_LINES)
                .find_map(|command| take_command(command, &mut text));
        }
        let total = dropped.load(Ordering::Relaxed);
        if total > reported {
            let kvs = json!({"event": events::LINES_DROPPED, "count": total - reported});
            let note = json!({"message": "log queue was full; lines dropped", "kvs": kvs});
            take_command(WriterCommand::Line(note.to_string().into_bytes()), &mut text);
            reported = total;
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

/// Appends a line to `text`, or returns the sender to signal after a flush.
fn take_command(command: WriterCommand, text: &mut Vec<u8>) -> Option<SyncSender<()>> {
    match command {
        WriterCommand::Line(line) => {
            text.extend_from_slice(&line);
            text.push(b'\n');
            None
        }
        WriterCommand::Flush(done) => Some(done),
    }
}
