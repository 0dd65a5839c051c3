//! The platform's metadata store: lists, watches, creates and replaces objects.

use {
    crate::{
        http::{read_message, Message},
        json::spec_of,
    },
    std::{
        collections::BTreeMap,
        io::{BufReader, Write},
        net::{IpAddr, SocketAddr, TcpListener, TcpStream},
        sync::{Arc, Condvar, Mutex},
        thread,
        time::{Duration, Instant},
    },
};

struct Object {
    revision: u64,
    created: u64,
    /// JSON text.
    spec: String,
}

#[derive(Default)]
struct State {
    revision: u64,
    objects: BTreeMap<(String, String), Object>,
}

/// A running store; clones share the objects.
#[derive(Clone)]
pub struct Store {
    pub address: SocketAddr,
    state: Arc<(Mutex<State>, Condvar)>,
}

impl Store {
    pub fn start(ip: IpAddr) -> std::io::Result<Self> {
        let listener = TcpListener::bind((ip, 0))?;
        let store = Self {
            address: listener.local_addr()?,
            state: Arc::default(),
        };
        store.state.0.lock().unwrap().revision = 1;
        let serving = store.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let store = serving.clone();
                thread::spawn(move || store.serve(stream));
            }
        });
        Ok(store)
    }

    /// Writes an object as the operator does.
    pub fn put(&self, kind: &str, name: &str, spec: &str) {
        let mut state = self.state.0.lock().unwrap();
        state.put(kind, name, spec.to_owned());
        self.state.1.notify_all();
    }

    fn serve(&self, stream: TcpStream) {
        let mut reader = BufReader::new(stream);
        while let Ok(Some(request)) = read_message(&mut reader) {
            let (status, body) = self.answer(&request);
            let head = format!(
                "HTTP/1.1 {status} -\r\nContent-Type: application/json\r\nContent-Length: {}\r\n\r\n",
                body.len()
            );
            if reader
                .get_mut()
                .write_all((head + &body).as_bytes())
                .is_err()
            {
                return;
            }
        }
    }

    fn answer(&self, request: &Message) -> (u16, String) {
        let (path, query) = request
            .target()
            .split_once('?')
            .unwrap_or((request.target(), ""));
        let Some(rest) = path.strip_prefix("/v1/objects/") else {
            return (404, "{}".to_owned());
        };
        let (kind, name) = match rest.split_once('/') {
            Some((kind, name)) => (kind, Some(name)),
            None => (rest, None),
        };
        let parameter = |wanted: &str| {
            let mut pairs = query.split('&').filter_map(|pair| pair.split_once('='));
            pairs
                .find(|(key, _)| *key == wanted)
                .map(|(_, value)| value)
        };
        match (request.method(), name) {
            ("GET", None) => match parameter("Watch").and_then(|after| after.parse().ok()) {
                Some(after) => {
                    let wait_ms = parameter("WaitMs").and_then(|wait| wait.parse().ok());
                    (200, self.watch(kind, after, wait_ms.unwrap_or(0)))
                }
                None => (
                    200,
                    self.state.0.lock().unwrap().list(kind, parameter("after")),
                ),
            },
            ("GET", Some(name)) => {
                let state = self.state.0.lock().unwrap();
                match state.objects.get(&(kind.to_owned(), name.to_owned())) {
                    Some(object) => (200, object.text(name)),
                    None => (404, "{}".to_owned()),
                }
            }
            ("POST" | "PUT", _) => self.write(kind, name, &request.body),
            _ => (400, "{}".to_owned()),
        }
    }

    fn watch(&self, kind: &str, after: u64, wait_ms: u64) -> String {
        let (state, changed) = &*self.state;
        let until = Instant::now() + Duration::from_millis(wait_ms);
        let mut state = state.lock().unwrap();
        loop {
            let events = state.events(kind, after);
            let left = until.saturating_duration_since(Instant::now());
            if !events.is_empty() || left.is_zero() {
                let (events, as_of) = (events.join(","), state.revision);
                return format!("{{\"events\":[{events}],\"AsOf\":{as_of}}}");
            }
            state = changed.wait_timeout(state, left).unwrap().0;
        }
    }

    fn write(&self, kind: &str, name: Option<&str>, body: &[u8]) -> (u16, String) {
        let text = String::from_utf8_lossy(body);
        let Some(written) = spec_of(&text) else {
            return (400, "{}".to_owned());
        };
        let name = name.unwrap_or(&written.name);
        let mut state = self.state.0.lock().unwrap();
        let key = (kind.to_owned(), name.to_owned());
        let known = state.objects.get(&key);
        if known.map(|object| object.revision) != written.revision {
            return (
                409,
                known.map_or("{}".to_owned(), |object| object.text(name)),
            );
        }
        state.put(kind, name, written.spec);
        let answer = state.objects[&key].text(name);
        drop(state);
        self.state.1.notify_all();
        (200, answer)
    }
}

impl State {
    fn put(&mut self, kind: &str, name: &str, spec: String) {
        self.revision += 1;
        let revision = self.revision;
        let key = (kind.to_owned(), name.to_owned());
        let created = self
            .objects
            .get(&key)
            .map_or(revision, |object| object.created);
        let object = Object {
            revision,
            created,
            spec,
        };
        self.objects.insert(key, object);
    }

    fn list(&self, kind: &str, after: Option<&str>) -> String {
        let objects = self.objects.iter().filter(|((of_kind, name), _)| {
            of_kind == kind && after.is_none_or(|after| name.as_str() > after)
        });
        let items: Vec<String> = objects
            .map(|((_, name), object)| object.text(name))
            .collect();
        let (items, as_of) = (items.join(","), self.revision);
        format!("{{\"items\":[{items}],\"HasMore\":false,\"AsOf\":{as_of}}}")
    }

    fn events(&self, kind: &str, after: u64) -> Vec<String> {
        let objects = self.objects.iter();
        let newer =
            objects.filter(|((of_kind, _), object)| of_kind == kind && object.revision > after);
        newer
            .map(|((_, name), object)| {
                format!("{{\"Removed\":false,\"Object\":{}}}", object.text(name))
            })
            .collect()
    }
}

impl Object {
    fn text(&self, name: &str) -> String {
        format!(
            "{{\"Metadata\":{{\"Name\":\"{name}\",\"Revision\":{},\"Created\":{},\"Finalizers\":[],\"Deleting\":false}},\"Spec\":{},\"Status\":null}}",
            self.revision, self.created, self.spec
        )
    }
}
