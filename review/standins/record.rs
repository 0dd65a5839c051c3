//! The record of a run: what was sent, answered and run.

use std::{
    collections::BTreeMap,
    fs::File,
    io::{BufWriter, Write},
    path::Path,
    sync::Mutex,
    time::Instant,
};

/// What clients and endpoints have seen of one request.
#[derive(Debug, Clone, Default)]
pub struct RequestRecord {
    /// Final status; 0 if the connection ended without an answer.
    pub status: Option<u16>,
    pub sent_ms: u64,
    pub method: String,
    /// When endpoints began to run it.
    pub run_ms: Vec<u64>,
}

impl RequestRecord {
    pub fn is_unsafe(&self) -> bool {
        self.method == "POST"
    }
}

struct State {
    file: BufWriter<File>,
    requests: BTreeMap<String, RequestRecord>,
}

pub struct Record {
    begun: Instant,
    state: Mutex<State>,
}

impl Record {
    pub fn create(path: &Path) -> std::io::Result<Self> {
        let state = State {
            file: BufWriter::new(File::create(path)?),
            requests: BTreeMap::new(),
        };
        Ok(Self {
            begun: Instant::now(),
            state: Mutex::new(state),
        })
    }

    pub fn now_ms(&self) -> u64 {
        self.begun.elapsed().as_millis() as u64
    }

    /// Writes a line with the time.
    pub fn line(&self, text: &str) {
        let now_ms = self.now_ms();
        let mut state = self.state.lock().unwrap();
        let _ = writeln!(state.file, "{now_ms:>7} ms  {text}");
        let _ = state.file.flush();
    }

    /// Writes a line to the record and to standard output.
    pub fn report(&self, text: &str) {
        println!("{text}");
        self.line(text);
    }

    pub fn sent(&self, id: &str, method: &str, what: &str) {
        self.line(&format!("{id} sent: {method} {what}"));
        let now_ms = self.now_ms();
        self.update(id, |request| {
            request.sent_ms = now_ms;
            request.method = method.to_owned();
        });
    }

    pub fn answered(&self, id: &str, status: u16) {
        self.line(&format!("{id} answered {status}"));
        self.update(id, |request| request.status = Some(status));
    }

    pub fn run(&self, id: &str, endpoint: &str) {
        self.line(&format!("{id} runs at {endpoint}"));
        let now_ms = self.now_ms();
        self.update(id, |request| request.run_ms.push(now_ms));
    }

    fn update(&self, id: &str, change: impl FnOnce(&mut RequestRecord)) {
        let mut state = self.state.lock().unwrap();
        change(state.requests.entry(id.to_owned()).or_default());
    }

    pub fn requests(&self) -> BTreeMap<String, RequestRecord> {
        self.state.lock().unwrap().requests.clone()
    }
}
