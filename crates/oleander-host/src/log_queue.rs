//! Log lines on their way to standard output.
//!
//! Lines are queued in memory and written by a thread of their own, so that a reader that stands
//! still holds up nobody. The queue is bounded: lines beyond it are dropped and counted, and the
//! count is written as soon as there is room again. Errors and warnings may use the whole queue,
//! other lines a part of it.

use std::{fmt, io, io::Write, mem, sync::Arc, thread, time::Duration};

use log::{Level, Record};
use log4rs::{
    append::Append,
    encode::{Encode, writer::simple::SimpleWriter},
};
use parking_lot::Mutex;

/// Bytes that may wait to be written.
const QUEUE_BYTES: usize = 512 << 10;
/// Part of the queue for lines that are neither errors nor warnings, as a divisor.
const ORDINARY_PART: usize = 2;
/// Time between two writes; few of them cost little.
const WRITE_INTERVAL: Duration = Duration::from_millis(250);

#[derive(Debug, Default)]
struct Queue {
    lines: Vec<u8>,
    dropped: u64,
}

/// Queues lines for the writing thread.
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
    /// Starts the writing thread.
    pub(crate) fn start(encoder: Box<dyn Encode>) -> Self {
        let queue = Arc::<Mutex<Queue>>::default();
        let writing = Arc::clone(&queue);
        thread::spawn(move || {
            loop {
                thread::sleep(WRITE_INTERVAL);
                if write_out(&writing).is_err() {
                    // Nobody reads any more; the lines have nowhere else to go.
                    return;
                }
            }
        });
        Self { queue, encoder }
    }
}

fn write_out(queue: &Mutex<Queue>) -> io::Result<()> {
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
        let urgent = record.level() <= Level::Warn;
        let room = if urgent { QUEUE_BYTES } else { QUEUE_BYTES / ORDINARY_PART };
        let mut queue = self.queue.lock();
        if queue.lines.len() + line.0.len() > room {
            queue.dropped += 1;
        } else {
            queue.lines.extend_from_slice(&line.0);
        }
        Ok(())
    }

    fn flush(&self) {
        // An error means that nobody reads any more.
        let _ = write_out(&self.queue);
    }
}
