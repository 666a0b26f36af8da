//! Non-blocking log output to standard output.
//!
//! Lines are queued in memory and written by a separate thread, so that a reader that does not
//! drain the pipe never blocks the threads that log. The queue is bounded: lines beyond it are
//! dropped and counted, and the count is logged with the next write. Errors and warnings may use
//! the whole queue, other lines only a share of it.

use std::{fmt, io, io::Write, mem, sync::Arc, thread, time::Duration};

use log::{Level, Record};
use log4rs::{
    append::Append,
    encode::{Encode, writer::simple::SimpleWriter},
};
use parking_lot::Mutex;

/// Capacity of the queue, in bytes.
const MAX_QUEUE_BYTES: usize = 512 << 10;
/// Share of the queue for lines below the level of warnings, as a divisor.
const LOW_SEVERITY_DIVISOR: usize = 2;
/// Interval between writes; a long one keeps the cost of writing low.
const WRITE_INTERVAL: Duration = Duration::from_millis(250);

#[derive(Debug, Default)]
struct Queue {
    lines: Vec<u8>,
    dropped: u64,
}

/// Appender that queues lines for the writer thread.
pub(crate) struct QueueAppender {
    queue: Arc<Mutex<Queue>>,
    encoder: Box<dyn Encode>,
}

impl fmt::Debug for QueueAppender {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("QueueAppender").finish_non_exhaustive()
    }
}

impl QueueAppender {
    /// Starts the writer thread.
    pub(crate) fn start(encoder: Box<dyn Encode>) -> Self {
        let queue = Arc::<Mutex<Queue>>::default();
        let shared = Arc::clone(&queue);
        thread::spawn(move || {
            loop {
                thread::sleep(WRITE_INTERVAL);
                if write_queued(&shared).is_err() {
                    // Standard output is closed and there is no other place for the lines.
                    return;
                }
            }
        });
        Self { queue, encoder }
    }
}

fn write_queued(queue: &Mutex<Queue>) -> io::Result<()> {
    let Queue { lines, dropped } = mem::take(&mut *queue.lock());
    if lines.is_empty() && dropped == 0 {
        return Ok(());
    }
    let mut out = io::stdout().lock();
    out.write_all(&lines)?;
    if dropped > 0 {
        writeln!(
            out,
            "{{\"level\":\"WARN\",\"message\":\"log lines dropped\",\"count\":{dropped}}}"
        )?;
    }
    out.flush()
}

impl Append for QueueAppender {
    fn append(&self, record: &Record<'_>) -> anyhow::Result<()> {
        let mut line = SimpleWriter(Vec::new());
        self.encoder.encode(&mut line, record)?;
        let severe = record.level() <= Level::Warn;
        let max_bytes =
            if severe { MAX_QUEUE_BYTES } else { MAX_QUEUE_BYTES / LOW_SEVERITY_DIVISOR };
        let mut queue = self.queue.lock();
        if queue.lines.len() + line.0.len() > max_bytes {
            queue.dropped += 1;
        } else {
            queue.lines.extend_from_slice(&line.0);
        }
        Ok(())
    }

    fn flush(&self) {
        // An error means that standard output is closed.
        let _ = write_queued(&self.queue);
    }
}
