//! Log lines under load, and with a reader that stops reading.

use {
    dogwoodbridge::logging::{LineBudget, LineWriter, json_line},
    log::Level,
    std::{
        io::{self, Write},
        sync::{Arc, Mutex, mpsc},
    },
};

#[test]
fn a_line_holds_event_and_fields() {
    let message = "E410 RequestRefused port=caller request=9c41 error=connection reset by peer";
    let line = json_line(Level::Warn, message, 3);
    let value: serde_json::Value = serde_json::from_str(&line).unwrap();
    assert_eq!(value["event"], "E410");
    assert_eq!(value["name"], "RequestRefused");
    assert_eq!(value["level"], "WARN");
    assert_eq!(value["request"], "9c41");
    assert_eq!(value["error"], "connection reset by peer");
    assert_eq!(value["left_out"], 3);
    let plain = json_line(Level::Info, "no event at all", 0);
    let value: serde_json::Value = serde_json::from_str(&plain).unwrap();
    assert_eq!(value["text"], "no event at all");
    assert!(value.get("left_out").is_none());
}

/// The text of an error holds words that look like fields. Taken for them, a
/// caller could put another request's id into the line of its own failure.
#[test]
fn words_of_an_error_change_no_field() {
    let message = "E410 RequestRefused request=9c41 error=bad header request=other level=INFO";
    let line = json_line(Level::Warn, message, 0);
    let value: serde_json::Value = serde_json::from_str(&line).unwrap();
    assert_eq!(value["request"], "9c41");
    assert_eq!(value["level"], "WARN");
    assert_eq!(value["error"], "bad header request=other level=INFO");
}

/// Thousands of requests a second are refused. Written one by one, the lines
/// would take the processor that serves the others.
#[test]
fn lines_of_an_event_are_bounded_and_what_is_left_out_is_told() {
    let mut budget = LineBudget::new();
    let mut written_count = 0;
    for index in 0..5000_u64 {
        let verdict = budget.spend("RequestRefused", Level::Info, index * 200);
        written_count += u64::from(verdict.is_written);
    }
    assert!(written_count <= 100, "{written_count}");
    assert!(budget.spend("MemberDead", Level::Info, 999_999).is_written);
    let next = budget.spend("RequestRefused", Level::Info, 1_000_000);
    assert!(next.is_written);
    assert_eq!(next.left_out_count, 5000 - written_count);
}

/// An output that blocks until it is told to go on.
struct Stuck {
    go_on: Mutex<mpsc::Receiver<()>>,
    written: Arc<Mutex<Vec<u8>>>,
}

impl Write for Stuck {
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        let _ = self.go_on.lock().unwrap().recv();
        self.written.lock().unwrap().extend_from_slice(bytes);
        Ok(bytes.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

/// Whoever reads standard output stops. Were writing to block, every request of
/// the node would stand still until somebody notices.
#[test]
fn a_reader_that_stops_costs_lines_and_nothing_else() {
    let (go_on, receiver) = mpsc::channel();
    let written = Arc::default();
    let output = Stuck {
        go_on: Mutex::new(receiver),
        written: Arc::clone(&written),
    };
    let writer = LineWriter::spawn(output).unwrap();
    for index in 0..10_000 {
        writer.write(format!("line {index}\n"));
    }
    let dropped_count = writer.take_dropped_count();
    assert!(dropped_count > 8000, "{dropped_count}");
    drop(go_on);
}
