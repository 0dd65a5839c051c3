//! Writes lines in a thread of its own.

use std::{
    io::{self, Write},
    sync::{
        Arc,
        atomic::{AtomicU64, Ordering},
        mpsc::{Receiver, SyncSender, sync_channel},
    },
    thread,
};

/// Lines that wait for the reader of standard output.
const WAITING_LINES: usize = 1024;
/// Lines that go into one write.
const LINES_PER_WRITE: usize = 128;

/// Hands lines to a thread that writes them; drops those for which there is no
/// room.
///
/// Standard output is a pipe whose reader may stop. A write to it would then
/// block the whole process, and every request with it.
#[derive(Debug)]
pub struct LineWriter {
    sender: SyncSender<String>,
    dropped_count: Arc<AtomicU64>,
}

impl LineWriter {
    /// Starts the thread; it ends with the writer.
    pub fn spawn<W: Write + Send + 'static>(output: W) -> io::Result<Self> {
        let (sender, receiver) = sync_channel(WAITING_LINES);
        thread::Builder::new()
            .name("log-lines".to_owned())
            .spawn(move || write_all(&receiver, output))?;
        Ok(Self {
            sender,
            dropped_count: Arc::default(),
        })
    }

    /// Writes a line, if there is room.
    pub fn write(&self, line: String) {
        if self.sender.try_send(line).is_err() {
            self.dropped_count.fetch_add(1, Ordering::Relaxed);
        }
    }

    /// Lines dropped since the last call.
    pub fn take_dropped_count(&self) -> u64 {
        self.dropped_count.swap(0, Ordering::Relaxed)
    }
}

/// Writes some of what waits in one go: each write wakes the reader.
fn write_all<W: Write>(lines: &Receiver<String>, mut output: W) {
    while let Ok(mut text) = lines.recv() {
        for line in lines.try_iter().take(LINES_PER_WRITE) {
            text.push_str(&line);
        }
        // Nobody is left to be told of a closed standard output.
        let _ = output.write_all(text.as_bytes());
        let _ = output.flush();
    }
}
