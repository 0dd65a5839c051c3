//! An application endpoint: serves requests, tells of itself, and shows the faults that the
//! pages name.

use {
    crate::{
        client::send_once,
        http::{read_message, Message},
        node::Node,
        random::Random,
        record::Record,
    },
    std::{
        io::{BufReader, Write},
        net::{Shutdown, SocketAddr, TcpListener, TcpStream},
        sync::{
            atomic::{AtomicBool, AtomicU64, AtomicUsize, Ordering},
            Arc, Mutex,
        },
        thread,
        time::{Duration, SystemTime, UNIX_EPOCH},
    },
};

/// How an endpoint works at the moment.
#[derive(Debug, Clone, Copy)]
pub struct Behaviour {
    pub work: Duration,
    /// Share of the arrivals that it rejects as not executed.
    pub shed_share: f64,
    /// Share of its answers of which a second copy arrives late, where the next answer of the
    /// connection is expected.
    pub late_extra_share: f64,
}

struct State {
    id: String,
    service: String,
    address: SocketAddr,
    slots: usize,
    running: AtomicUsize,
    born_ms: u64,
    sequence: AtomicU64,
    behaviour: Mutex<Behaviour>,
    random: Random,
    is_stopped: AtomicBool,
    is_paused: AtomicBool,
    is_leaving: AtomicBool,
    late_extra_count: AtomicU64,
    connections: Mutex<Vec<TcpStream>>,
    record: Arc<Record>,
}

/// A running endpoint; clones share it.
#[derive(Clone)]
pub struct Endpoint(Arc<State>);

impl Endpoint {
    pub fn start(
        node: &Node,
        slots: usize,
        behaviour: Behaviour,
        seed: u64,
        record: &Arc<Record>,
    ) -> std::io::Result<Self> {
        let since_epoch = SystemTime::now()
            .duration_since(UNIX_EPOCH)
            .unwrap_or_default();
        let endpoint = Self(Arc::new(State {
            id: format!("i-{:08x}", seed.wrapping_mul(0x9e37_79b9) as u32),
            service: node.service.clone(),
            address: node.endpoint(),
            slots,
            running: AtomicUsize::new(0),
            born_ms: since_epoch.as_millis() as u64,
            sequence: AtomicU64::new(0),
            behaviour: Mutex::new(behaviour),
            random: Random::new(seed),
            is_stopped: AtomicBool::new(false),
            is_paused: AtomicBool::new(false),
            is_leaving: AtomicBool::new(false),
            late_extra_count: AtomicU64::new(0),
            connections: Mutex::default(),
            record: Arc::clone(record),
        }));
        let listener = TcpListener::bind(node.endpoint())?;
        let accepting = endpoint.clone();
        thread::spawn(move || accepting.accept(&listener));
        let (beating, control, zone) = (endpoint.clone(), node.control(), node.zone.clone());
        thread::spawn(move || {
            while !beating.0.is_stopped.load(Ordering::Relaxed) {
                if !beating.0.is_paused.load(Ordering::Relaxed) {
                    beating.beat(control, &zone, beating.next_sequence());
                }
                thread::sleep(Duration::from_millis(1500));
            }
        });
        Ok(endpoint)
    }

    /// Ends the process: nothing listens any more, and all connections break.
    pub fn crash(&self) {
        let state = &self.0;
        state.record.line(&format!("{} crashes", state.id));
        state.is_stopped.store(true, Ordering::Relaxed);
        // Wakes the thread that accepts, which then closes its listener.
        let _ = TcpStream::connect(state.address);
        for connection in state.connections.lock().unwrap().drain(..) {
            let _ = connection.shutdown(Shutdown::Both);
        }
    }

    fn accept(&self, listener: &TcpListener) {
        for stream in listener.incoming().flatten() {
            if self.0.is_stopped.load(Ordering::Relaxed) {
                return;
            }
            if let Ok(connection) = stream.try_clone() {
                self.0.connections.lock().unwrap().push(connection);
            }
            let endpoint = self.clone();
            thread::spawn(move || endpoint.serve(stream));
        }
    }

    pub fn set_behaviour(&self, change: impl FnOnce(&mut Behaviour)) {
        change(&mut self.0.behaviour.lock().unwrap());
    }

    pub fn late_extra_count(&self) -> u64 {
        self.0.late_extra_count.load(Ordering::Relaxed)
    }

    /// Stops the regular heartbeats; [`Self::beat`] sends single ones.
    pub fn pause_beats(&self) {
        self.0.is_paused.store(true, Ordering::Relaxed);
    }

    /// Sequence of the next heartbeat.
    pub fn next_sequence(&self) -> u64 {
        self.0.sequence.fetch_add(1, Ordering::Relaxed) + 1
    }

    /// Sends a heartbeat that says that the endpoint is ready; returns the status of the answer.
    pub fn beat(&self, control: SocketAddr, zone: &str, sequence: u64) -> u16 {
        self.beat_cold(control, zone, sequence, Duration::ZERO)
    }

    /// Sends a heartbeat that says how much longer the endpoint is cold.
    pub fn beat_cold(
        &self,
        control: SocketAddr,
        zone: &str,
        sequence: u64,
        cold_left: Duration,
    ) -> u16 {
        let state = &self.0;
        let cold_left_s = cold_left.as_secs_f64();
        let body = format!(
            "{{\"Address\":\"{}\",\"born\":{},\"Info\":{{\"Service\":\"{}\",\"Version\":\"v1\",\"Zone\":\"{zone}\",\"Slots\":{}}},\"Status\":{{\"State\":\"ready\",\"Sequence\":{sequence},\"ColdLeftS\":{cold_left_s}}}}}",
            state.address, state.born_ms, state.service, state.slots
        );
        let answer = self.notify(control, "PUT", &body);
        answer.map_or(0, |answer| answer.status())
    }

    /// Says that the endpoint leaves; returns the status of the answer.
    pub fn leave(&self, control: SocketAddr) -> u16 {
        self.0.is_leaving.store(true, Ordering::Relaxed);
        let body = format!("{{\"born\":{}}}", self.0.born_ms);
        let answer = self.notify(control, "DELETE", &body);
        answer.map_or(0, |answer| answer.status())
    }

    fn notify(&self, control: SocketAddr, method: &str, body: &str) -> Option<Message> {
        let head = format!(
            "{method} /v1/instances/{} HTTP/1.1\r\nHost: node\r\nContent-Type: application/json\r\n",
            self.0.id
        );
        send_once(control, &head, body.as_bytes())
    }

    fn serve(&self, stream: TcpStream) {
        let _ = stream.set_nodelay(true);
        let mut reader = BufReader::new(stream);
        let mut late_extra: Option<Vec<u8>> = None;
        while let Ok(Some(request)) = read_message(&mut reader) {
            if let Some(copy) = late_extra.take() {
                if reader.get_mut().write_all(&copy).is_err() {
                    return;
                }
            }
            let answer = self.answer(&request);
            if reader.get_mut().write_all(&answer).is_err() {
                return;
            }
            let share = self.0.behaviour.lock().unwrap().late_extra_share;
            if self.0.random.next() < share {
                let id = request.header("x-dogwoodbridge-request-id");
                self.0.late_extra_count.fetch_add(1, Ordering::Relaxed);
                self.0
                    .record
                    .line(&format!("{id} a second copy of the answer will come late"));
                late_extra = Some(answer);
            }
        }
    }

    fn answer(&self, request: &Message) -> Vec<u8> {
        let state = &self.0;
        let id = request.header("x-dogwoodbridge-request-id");
        let load = format!(
            "{},0,{}",
            state.running.load(Ordering::Relaxed),
            state.slots
        );
        let head = |status: &str, more: &str, body: &str| {
            let echo = match id {
                "" => String::new(),
                id => format!("X-Dogwoodbridge-Request-Id: {id}\r\n"),
            };
            let length = body.len();
            format!(
                "HTTP/1.1 {status}\r\n{echo}X-Dogwoodbridge-Server-Load: {load}\r\n{more}Content-Length: {length}\r\n\r\n{body}"
            )
            .into_bytes()
        };
        if request.target() == "/health" {
            return self.health(&head);
        }
        if request.header("x-dogwoodbridge-expect-instance") != state.id {
            let instance = format!("X-Dogwoodbridge-Instance-Id: {}\r\n", state.id);
            return head("421 Misdirected Request", &instance, "");
        }
        let behaviour = *state.behaviour.lock().unwrap();
        let is_full = state.running.fetch_add(1, Ordering::Relaxed) >= state.slots;
        if is_full || state.random.next() < behaviour.shed_share {
            state.running.fetch_sub(1, Ordering::Relaxed);
            state.record.line(&format!("{id} rejected by {}", state.id));
            return head(
                "503 Service Unavailable",
                "X-Dogwoodbridge-Not-Executed: 1\r\n",
                "",
            );
        }
        state.record.run(id, &state.id);
        // It does not notice that a connection closes, but it stops at the deadline.
        let deadline = request.header("x-dogwoodbridge-request-deadline");
        let limit = Duration::from_millis(deadline.parse().unwrap_or(u64::MAX));
        thread::sleep(behaviour.work.min(limit));
        state.running.fetch_sub(1, Ordering::Relaxed);
        if behaviour.work > limit {
            return head("504 Gateway Timeout", "", "");
        }
        let seal = format!("X-Dogwoodbridge-Server-Seal: {}.{id}\r\n", state.id);
        head("200 OK", &seal, &format!("done {id}"))
    }
}

/// Builds an answer from its status, further header lines and body.
type Head<'a> = dyn Fn(&str, &str, &str) -> Vec<u8> + 'a;

impl Endpoint {
    /// A health check waits for a slot or is rejected like any other request.
    fn health(&self, head: &Head<'_>) -> Vec<u8> {
        let state = &self.0;
        let instance = format!("X-Dogwoodbridge-Instance-Id: {}\r\n", state.id);
        if state.running.load(Ordering::Relaxed) >= state.slots {
            state
                .record
                .line(&format!("health check rejected by {}", state.id));
            let not_run = "X-Dogwoodbridge-Not-Executed: 1\r\n";
            return head("503 Service Unavailable", not_run, "");
        }
        match state.is_leaving.load(Ordering::Relaxed) {
            true => head("503 Service Unavailable", &instance, ""),
            false => head("200 OK", &instance, ""),
        }
    }
}

impl Drop for State {
    fn drop(&mut self) {
        self.is_stopped.store(true, Ordering::Relaxed);
    }
}
