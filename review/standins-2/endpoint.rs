//! Stand-in of an application endpoint: runs requests, keeps connections, sends pings.

use {
    crate::{
        http::{Message, Reader, call},
        record::Record,
    },
    std::{
        io::Write,
        net::{SocketAddr, TcpListener, TcpStream},
        sync::{
            Arc, Mutex,
            atomic::{AtomicBool, AtomicU64, Ordering},
        },
        time::{Duration, Instant, SystemTime, UNIX_EPOCH},
    },
};

/// Period of the pings.
const BEAT: Duration = Duration::from_millis(1500);
/// Time after which a response that nobody reads is cut off.
const UNREAD_LIMIT: Duration = Duration::from_secs(8);
/// Work of a request whose path asks for none.
const USUAL_WORK_MS: u64 = 10;

/// A run of a request.
#[derive(Debug, Clone)]
pub struct Run {
    pub request_id: String,
    pub service: String,
    pub instance_id: String,
    pub at: Instant,
}

/// Runs of all endpoints; clones share them.
#[derive(Debug, Clone, Default)]
pub struct Runs(Arc<Mutex<Vec<Run>>>);

impl Runs {
    pub fn of(&self, request_id: &str) -> Vec<Run> {
        let runs = self.0.lock().unwrap();
        runs.iter()
            .filter(|run| run.request_id == request_id)
            .cloned()
            .collect()
    }

    fn add(&self, run: Run) {
        self.0.lock().unwrap().push(run);
    }
}

/// What an endpoint is.
#[derive(Debug, Clone)]
pub struct Description {
    pub service: String,
    pub zone: String,
    pub slots: u32,
    pub address: SocketAddr,
    pub control: SocketAddr,
}

/// An endpoint; clones share it.
#[derive(Clone)]
pub struct Endpoint {
    pub description: Description,
    pub instance_id: String,
    born_unix_ms: u64,
    sequence: Arc<AtomicU64>,
    is_draining: Arc<AtomicBool>,
    is_silent: Arc<AtomicBool>,
    cold_until: Arc<Mutex<Option<Instant>>>,
    runs: Runs,
    record: Record,
}

impl Endpoint {
    pub fn start(description: Description, runs: &Runs, record: &Record) -> std::io::Result<Self> {
        let listener = TcpListener::bind(description.address)?;
        let endpoint = Self {
            instance_id: format!(
                "i-{:08x}",
                unix_ms() as u32
                    ^ u32::from(description.address.port()) << 8
                    ^ last_octet(&description)
            ),
            description,
            born_unix_ms: unix_ms(),
            sequence: Arc::default(),
            is_draining: Arc::default(),
            is_silent: Arc::default(),
            cold_until: Arc::default(),
            runs: runs.clone(),
            record: record.clone(),
        };
        let serving = endpoint.clone();
        std::thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let endpoint = serving.clone();
                std::thread::spawn(move || endpoint.serve(stream));
            }
        });
        let beating = endpoint.clone();
        std::thread::spawn(move || {
            loop {
                let pause = match beating.is_silent.load(Ordering::Relaxed) || beating.ping() {
                    true => BEAT,
                    false => Duration::from_millis(100),
                };
                std::thread::sleep(pause);
            }
        });
        Ok(endpoint)
    }

    /// Sends a ping; returns whether it was acknowledged.
    pub fn ping(&self) -> bool {
        self.send_ping(self.next_sequence(), self.cold_left())
    }

    /// Sends no further pings by itself.
    pub fn pause_pings(&self) {
        self.is_silent.store(true, Ordering::Relaxed);
    }

    pub fn next_sequence(&self) -> u64 {
        self.sequence.fetch_add(1, Ordering::Relaxed) + 1
    }

    /// Becomes cold for this time.
    pub fn become_cold(&self, time: Duration) {
        *self.cold_until.lock().unwrap() = Some(Instant::now() + time);
    }

    pub fn cold_left(&self) -> Duration {
        let until = *self.cold_until.lock().unwrap();
        until.map_or(Duration::ZERO, |until| {
            until.saturating_duration_since(Instant::now())
        })
    }

    /// Sends a ping with this sequence and cold time; returns whether it was acknowledged.
    pub fn send_ping(&self, sequence: u64, cold_left: Duration) -> bool {
        let Description {
            service,
            zone,
            slots,
            address,
            control,
        } = &self.description;
        let state = if self.is_draining.load(Ordering::Relaxed) {
            "draining"
        } else {
            "ready"
        };
        let cold_left_s = cold_left.as_secs_f64();
        let body = format!(
            "{{\"Address\":\"{address}\",\"Info\":{{\"Service\":\"{service}\",\"Version\":\"v1\",\"Zone\":\"{zone}\",\"Slots\":{slots}}},\"Status\":{{\"State\":\"{state}\",\"Sequence\":{sequence},\"ColdLeftS\":{cold_left_s:.3}}},\"born\":{}}}",
            self.born_unix_ms
        );
        let request = format!(
            "PUT /v1/instances/{} HTTP/1.1\r\nHost: {control}\r\nContent-Type: application/json\r\nContent-Length: {}\r\n\r\n{body}",
            self.instance_id,
            body.len()
        );
        let answer = call(*control, request.as_bytes(), Duration::from_secs(1));
        answer.is_ok_and(|answer| answer.status() / 100 == 2)
    }

    fn serve(&self, stream: TcpStream) {
        let _ = stream.set_nodelay(true);
        let _ = stream.set_write_timeout(Some(UNREAD_LIMIT));
        let Ok(mut writer) = stream.try_clone() else {
            return;
        };
        let mut reader = Reader::new(stream);
        while let Ok(Some(request)) = reader.next() {
            let answer = self.answer(&request);
            if writer.write_all(&answer).is_err() {
                return;
            }
        }
    }

    fn answer(&self, request: &Message) -> Vec<u8> {
        let instance_id = &self.instance_id;
        if request.path() == "/health" {
            let status = match self.is_draining.load(Ordering::Relaxed) {
                true => "503 Service Unavailable",
                false => "200 OK",
            };
            return format!("HTTP/1.1 {status}\r\nX-Dogwoodbridge-Instance-Id: {instance_id}\r\nX-Dogwoodbridge-Cold-Remaining: {:.3}\r\nContent-Length: 0\r\n\r\n", self.cold_left().as_secs_f64()).into_bytes();
        }
        let id = request
            .header("X-Dogwoodbridge-Request-Id")
            .unwrap_or("")
            .to_owned();
        let expected = request.header("X-Dogwoodbridge-Expect-Instance");
        if expected.is_some_and(|expected| expected != instance_id) {
            self.record
                .line(&format!("endpoint {instance_id}: 421 for request {id}"));
            return format!("HTTP/1.1 421 Misdirected Request\r\nX-Dogwoodbridge-Request-Id: {id}\r\nX-Dogwoodbridge-Instance-Id: {instance_id}\r\nContent-Length: 0\r\n\r\n").into_bytes();
        }
        let service = &self.description.service;
        self.runs.add(Run {
            request_id: id.clone(),
            service: service.clone(),
            instance_id: instance_id.clone(),
            at: Instant::now(),
        });
        self.record.line(&format!(
            "endpoint {instance_id} of {service}: runs {} {} as request {id}",
            request.method(),
            request.path()
        ));
        std::thread::sleep(Duration::from_millis(
            figure(request.path(), "work-").unwrap_or(USUAL_WORK_MS),
        ));
        let body = match figure(request.path(), "large-") {
            Some(length) => vec![b'l'; length as usize],
            None => format!("{service} ran {id}").into_bytes(),
        };
        let mut answer = format!(
            "HTTP/1.1 200 OK\r\nX-Dogwoodbridge-Request-Id: {id}\r\nX-Dogwoodbridge-Server-Seal: {instance_id}.{id}\r\nContent-Length: {}\r\n\r\n",
            body.len()
        )
        .into_bytes();
        answer.extend(body);
        answer
    }
}

/// Number behind this word in the path.
fn figure(path: &str, word: &str) -> Option<u64> {
    let rest = path.split(word).nth(1)?;
    rest.split(['/', '?']).next()?.parse().ok()
}

fn last_octet(description: &Description) -> u32 {
    match description.address {
        SocketAddr::V4(address) => u32::from_be_bytes(address.ip().octets()),
        SocketAddr::V6(_) => 0,
    }
}

fn unix_ms() -> u64 {
    let since = SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap_or_default();
    u64::try_from(since.as_millis()).unwrap_or(u64::MAX)
}
