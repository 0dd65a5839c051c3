//! Log line format, rate limit, and behaviour when the reader of the output stops.

use {
    dogwoodbridge::logging::{LineRateLimiter, LineWriter, json_line},
    log::Level,
    std::{
        io::{self, Write},
        sync::{Arc, Mutex, mpsc},
    },
};

#[test]
fn line_contains_event_and_fields() {
    let message = "E410 RequestRefused port=caller request=9c41 error=connection reset by peer";
    let line = json_line(Level::Warn, message, 3);
    let value: serde_json::Value = serde_json::from_str(&line).unwrap();
    assert_eq!(value["event"], "E410");
    assert_eq!(value["name"], "RequestRefused");
    assert_eq!(value["level"], "WARN");
    assert_eq!(value["request"], "9c41");
    assert_eq!(value["error"], "connection reset by peer");
    assert_eq!(value["left_out"], 3);
    let line_without_event = json_line(Level::Info, "no event at all", 0);
    let value: serde_json::Value = serde_json::from_str(&line_without_event).unwrap();
    assert_eq!(value["text"], "no event at all");
    assert!(value.get("left_out").is_none());
}

/// An error text can contain words of the form `name=value`. Parsed as fields,
/// they would let a caller put another request's id into its own log line.
#[test]
fn error_text_does_not_overwrite_fields() {
    let message = "E410 RequestRefused request=9c41 error=bad header request=other level=INFO";
    let line = json_line(Level::Warn, message, 0);
    let value: serde_json::Value = serde_json::from_str(&line).unwrap();
    assert_eq!(value["request"], "9c41");
    assert_eq!(value["level"], "WARN");
    assert_eq!(value["error"], "bad header request=other level=INFO");
}

/// When thousands of requests per second are refused, one log line for each
/// would use the CPU time needed to serve the others.
#[test]
fn lines_per_event_are_limited_and_suppressed_lines_counted() {
    let mut rate_limit = LineRateLimiter::new();
    let mut written_count = 0;
    for index in 0..5000_u64 {
        let decision = rate_limit.check("RequestRefused", Level::Info, index * 200);
        written_count += u64::from(decision.should_write);
    }
    assert!(written_count <= 100, "{written_count}");
    assert!(
        rate_limit
            .check("MemberDead", Level::Info, 999_999)
            .should_write
    );
    let next_second = rate_limit.check("RequestRefused", Level::Info, 1_000_000);
    assert!(next_second.should_write);
    assert_eq!(next_second.suppressed_count, 5000 - written_count);
}

/// An output that blocks each write until the test unblocks it.
struct BlockingOutput {
    unblock: Mutex<mpsc::Receiver<()>>,
    written: Arc<Mutex<Vec<u8>>>,
}

impl Write for BlockingOutput {
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        let _ = self.unblock.lock().unwrap().recv();
        self.written.lock().unwrap().extend_from_slice(bytes);
        Ok(bytes.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

/// The reader of standard output stops reading. If logging blocked, all requests
/// of the node would stall.
#[test]
fn stopped_reader_drops_lines_without_blocking() {
    let (unblock_sender, unblock) = mpsc::channel();
    let written = Arc::default();
    let output = BlockingOutput {
        unblock: Mutex::new(unblock),
        written: Arc::clone(&written),
    };
    let writer = LineWriter::spawn(output).unwrap();
    for index in 0..10_000 {
        writer.write(format!("line {index}\n"));
    }
    let dropped_count = writer.take_dropped_count();
    assert!(dropped_count > 8000, "{dropped_count}");
    drop(unblock_sender);
}
