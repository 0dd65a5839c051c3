//! Stand-in of the platform's metadata store: linearizable, loses nothing.

use {
    crate::{
        http::{Message, Reader},
        json,
        record::Record,
    },
    std::{
        collections::BTreeMap,
        io::Write,
        net::{SocketAddr, TcpListener, TcpStream},
        sync::{Arc, Condvar, Mutex},
        time::{Duration, Instant},
    },
};

#[derive(Debug, Clone)]
struct Object {
    name: String,
    revision: u64,
    created: u64,
    spec: String,
    status: String,
}

impl Object {
    fn text(&self) -> String {
        format!(
            "{{\"Metadata\":{{\"Name\":\"{}\",\"Revision\":{},\"Created\":{},\"Finalizers\":[],\"Deleting\":false}},\"Spec\":{},\"Status\":{}}}",
            self.name, self.revision, self.created, self.spec, self.status
        )
    }
}

#[derive(Debug, Default)]
struct State {
    revision: u64,
    objects: BTreeMap<(String, String), Object>,
    /// Revision, kind and text of each event.
    events: Vec<(u64, String, String)>,
}

#[derive(Debug)]
struct Shared {
    state: Mutex<State>,
    changed: Condvar,
    record: Record,
}

/// The store; clones share it.
#[derive(Debug, Clone)]
pub struct Store {
    shared: Arc<Shared>,
    pub address: SocketAddr,
}

impl Store {
    pub fn start(ip: &str, record: &Record) -> std::io::Result<Self> {
        let listener = TcpListener::bind((ip, 0))?;
        let state = State {
            revision: 100,
            ..State::default()
        };
        let shared = Arc::new(Shared {
            state: Mutex::new(state),
            changed: Condvar::new(),
            record: record.clone(),
        });
        let store = Self {
            shared,
            address: listener.local_addr()?,
        };
        let serving = store.clone();
        std::thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let store = serving.clone();
                std::thread::spawn(move || store.serve(stream));
            }
        });
        Ok(store)
    }

    /// Writes an object as the operator does; the return is the acknowledgement.
    pub fn put(&self, kind: &str, name: &str, spec: &str) -> Instant {
        let mut state = self.shared.state.lock().unwrap();
        Self::replace(&mut state, kind, name, spec);
        drop(state);
        self.shared.changed.notify_all();
        self.shared
            .record
            .line(&format!("store: {kind}/{name} written and acknowledged"));
        Instant::now()
    }

    fn replace(state: &mut State, kind: &str, name: &str, spec: &str) -> Object {
        let key = (kind.to_owned(), name.to_owned());
        if let Some(held) = state.objects.get(&key).filter(|held| held.spec == spec) {
            return held.clone();
        }
        state.revision += 1;
        let revision = state.revision;
        let created = state
            .objects
            .get(&key)
            .map_or(revision, |held| held.created);
        let object = Object {
            name: name.to_owned(),
            revision,
            created,
            spec: spec.to_owned(),
            status: "null".to_owned(),
        };
        state.objects.insert(key, object.clone());
        let event = format!("{{\"Removed\":false,\"Object\":{}}}", object.text());
        state.events.push((revision, kind.to_owned(), event));
        object
    }

    fn serve(&self, stream: TcpStream) {
        let _ = stream.set_nodelay(true);
        let Ok(mut writer) = stream.try_clone() else {
            return;
        };
        let mut reader = Reader::new(stream);
        while let Ok(Some(request)) = reader.next() {
            let (status, body) = self.answer(&request);
            let head = format!(
                "HTTP/1.1 {status}\r\nContent-Type: application/json\r\nContent-Length: {}\r\n\r\n",
                body.len()
            );
            if writer.write_all((head + &body).as_bytes()).is_err() {
                return;
            }
        }
    }

    fn answer(&self, request: &Message) -> (&'static str, String) {
        let (path, query) = request
            .path()
            .split_once('?')
            .unwrap_or((request.path(), ""));
        let Some(rest) = path.strip_prefix("/v1/objects/") else {
            return ("404 Not Found", "{}".to_owned());
        };
        let (kind, name) = match rest.split_once('/') {
            Some((kind, name)) => (kind, Some(name)),
            None => (rest, None),
        };
        match (request.method(), name) {
            ("GET", None) => match parameter(query, "Watch") {
                Some(after) => self.watch(kind, after, parameter(query, "WaitMs").unwrap_or(0)),
                None => self.list(kind),
            },
            ("GET", Some(name)) => {
                let state = self.shared.state.lock().unwrap();
                let object = state.objects.get(&(kind.to_owned(), name.to_owned()));
                object.map_or(("404 Not Found", "{}".to_owned()), |object| {
                    ("200 OK", object.text())
                })
            }
            ("POST" | "PUT", _) => self.write(kind, name, &request.text(), request.method()),
            _ => ("405 Method Not Allowed", "{}".to_owned()),
        }
    }

    fn list(&self, kind: &str) -> (&'static str, String) {
        let state = self.shared.state.lock().unwrap();
        let objects = state.objects.iter().filter(|((of, _), _)| of == kind);
        let items: Vec<String> = objects.map(|(_, object)| object.text()).collect();
        let body = format!(
            "{{\"items\":[{}],\"HasMore\":false,\"AsOf\":{}}}",
            items.join(","),
            state.revision
        );
        ("200 OK", body)
    }

    fn watch(&self, kind: &str, after: u64, wait_ms: u64) -> (&'static str, String) {
        let until = Instant::now() + Duration::from_millis(wait_ms.min(30_000));
        let mut state = self.shared.state.lock().unwrap();
        loop {
            let events = state.events.iter();
            let newer = events.filter(|(revision, of, _)| *revision > after && of == kind);
            let texts: Vec<&str> = newer.map(|(_, _, text)| text.as_str()).collect();
            let now = Instant::now();
            if !texts.is_empty() || now >= until {
                let body = format!(
                    "{{\"events\":[{}],\"AsOf\":{}}}",
                    texts.join(","),
                    state.revision
                );
                return ("200 OK", body);
            }
            state = self
                .shared
                .changed
                .wait_timeout(state, until - now)
                .unwrap()
                .0;
        }
    }

    fn write(
        &self,
        kind: &str,
        name: Option<&str>,
        body: &str,
        method: &str,
    ) -> (&'static str, String) {
        let told = json::string(body, "Metadata.Name");
        let Some(name) = name.or(told) else {
            return ("400 Bad Request", "{}".to_owned());
        };
        let condition =
            json::field(body, "Metadata.Revision").and_then(|text| text.parse::<u64>().ok());
        let mut state = self.shared.state.lock().unwrap();
        let held = state
            .objects
            .get(&(kind.to_owned(), name.to_owned()))
            .cloned();
        match (&held, condition) {
            (Some(held), _) if method == "POST" => return ("409 Conflict", held.text()),
            (Some(held), Some(revision)) if held.revision != revision => {
                return ("409 Conflict", held.text());
            }
            (None, _) if method == "PUT" => return ("404 Not Found", "{}".to_owned()),
            _ => {}
        }
        let object = Self::replace(
            &mut state,
            kind,
            name,
            json::field(body, "Spec").unwrap_or("null"),
        );
        drop(state);
        self.shared.changed.notify_all();
        ("200 OK", object.text())
    }
}

fn parameter(query: &str, name: &str) -> Option<u64> {
    let pairs = query.split('&').filter_map(|pair| pair.split_once('='));
    let mut values = pairs
        .filter(|(key, _)| *key == name)
        .map(|(_, value)| value);
    values.next()?.parse().ok()
}
