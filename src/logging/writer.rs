//! Writes log lines on a separate thread.

use std::{
    io::{self, Write},
    sync::{
        Arc,
        atomic::{AtomicU64, Ordering},
        mpsc::{Receiver, SyncSender, sync_channel},
    },
    thread,
};

/// Capacity of the queue to the writer thread, in lines.
const QUEUE_CAPACITY_LINES: usize = 1024;
/// Queued lines appended to the first one in a single write.
const MAX_BATCHED_LINES: usize = 128;

/// Queues lines for a thread that writes them; drops lines when the queue is full.
///
/// Standard output is a pipe whose reader may stop. A direct write to it would then
/// block the process and all its requests.
#[derive(Debug)]
pub struct LineWriter {
    sender: SyncSender<String>,
    dropped_count: Arc<AtomicU64>,
}

impl LineWriter {
    /// Starts the thread, which ends when the `LineWriter` is dropped.
    pub fn spawn<W: Write + Send + 'static>(output: W) -> io::Result<Self> {
        let (sender, receiver) = sync_channel(QUEUE_CAPACITY_LINES);
        thread::Builder::new()
            .name("log-lines".to_owned())
            .spawn(move || write_all(&receiver, output))?;
        Ok(Self {
            sender,
            dropped_count: Arc::default(),
        })
    }

    /// Queues a line, or drops it when the queue is full.
    pub fn write(&self, line: String) {
        if self.sender.try_send(line).is_err() {
            self.dropped_count.fetch_add(1, Ordering::Relaxed);
        }
    }

    /// Returns the number of lines dropped since the last call.
    pub fn take_dropped_count(&self) -> u64 {
        self.dropped_count.swap(0, Ordering::Relaxed)
    }
}

/// Writes queued lines in batches, since each write wakes the reader.
fn write_all<W: Write>(lines: &Receiver<String>, mut output: W) {
    while let Ok(mut text) = lines.recv() {
        for line in lines.try_iter().take(MAX_BATCHED_LINES) {
            text.push_str(&line);
        }
        // An error cannot be reported once standard output is closed.
        let _ = output.write_all(text.as_bytes());
        let _ = output.flush();
    }
}
