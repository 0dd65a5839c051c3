//! A crowd of clients at one machine while some clients read their responses slowly. Later, in
//! calm, clients with several requests on a kept connection must still get their answers.

use {
    crate::{
        http::Reader,
        mesh::{Mesh, config},
        record::Record,
    },
    std::{
        io::Write,
        net::TcpStream,
        sync::{
            Arc,
            atomic::{AtomicBool, Ordering},
        },
        time::{Duration, Instant},
    },
};

/// Memory of a machine, in MB.
pub const MEMORY_MB: u32 = 160;
/// Clients that read slowly, and the size of what they ask for.
const SLOW_COUNT: usize = 60;
const SLOW_BYTES: usize = 8 << 20;
/// How long they and the route wait.
const SLOW_MS: u64 = 10_000;
/// Further clients, each with a connection and a request of its own: 95 a second, 1.8 times what
/// a machine of `iml-grille` usually gets.
const CROWD_COUNT: usize = 800;
/// They come on so many threads, with this time between two on each.
const CROWD_THREADS: usize = 8;
const CROWD_GAP: Duration = Duration::from_millis(84);
/// Time between the end of the crowd and the check.
const CALM: Duration = Duration::from_secs(16);
/// Checked connections, with three requests each, and requests of other clients beside them.
const CHECKED_COUNT: usize = 20;
/// Size of two of the three responses.
const PAGE_BYTES: usize = 100_000;
const BESIDE_GAP: Duration = Duration::from_millis(20);
/// More than this many broken connections break the rule.
pub const ALLOWED_COUNT: usize = 3;

pub fn run(record: &Record, has_trouble: bool) -> Result<bool, String> {
    let routes = [
        ("/list/", "svc-a", "safe", 5.0),
        ("/file/", "svc-a", "download", 10.0),
    ];
    let plan = [("z-a", "svc-a", MEMORY_MB), ("z-b", "svc-a", MEMORY_MB)];
    let mesh = Mesh::start(&plan, &config(7, &routes, &["svc-a"]), record)?;
    let before = check(&mesh, "before")?;
    if has_trouble {
        crowd(&mesh)?;
    }
    record.line("calm begins");
    std::thread::sleep(CALM);
    let after = check(&mesh, "in calm")?;
    record.line(&format!(
        "connections closed without an answer: {before} before, {after} in calm"
    ));
    println!(
        "closed without an answer: {before} before, {after} in calm; more than {ALLOWED_COUNT} break LOST"
    );
    Ok(before + after <= ALLOWED_COUNT)
}

/// Slow readers, then a crowd of clients that send one request each and keep their connection.
fn crowd(mesh: &Mesh) -> Result<(), String> {
    let record = &mesh.record;
    let address = mesh.nodes[0].outbound();
    let mut slow = Vec::new();
    for _ in 0..SLOW_COUNT {
        let id = mesh.request_id();
        let mut stream = TcpStream::connect(address).map_err(|error| error.to_string())?;
        let request = mesh.get(&format!("/file/large-{SLOW_BYTES}/"), &id, SLOW_MS);
        stream
            .write_all(&request)
            .map_err(|error| error.to_string())?;
        slow.push(stream);
    }
    record.line(&format!(
        "{SLOW_COUNT} clients asked for {SLOW_BYTES} bytes each and read slowly"
    ));
    std::thread::sleep(Duration::from_millis(1200));
    let begun = Instant::now();
    let crowds = gather(mesh);
    let answered: usize = crowds.iter().map(Vec::len).sum();
    let took_ms = begun.elapsed().as_millis();
    record.line(&format!(
        "{CROWD_COUNT} further clients in {took_ms} ms: {answered} answered with success"
    ));
    drop(slow);
    record.line("the slow clients have given up");
    drop(crowds);
    record.line("the further clients have closed their connections");
    Ok(())
}

/// The further clients; returns their open connections.
pub fn gather(mesh: &Mesh) -> Vec<Vec<Reader>> {
    std::thread::scope(|scope| {
        let threads: Vec<_> = (0..CROWD_THREADS)
            .map(|_| scope.spawn(|| come(mesh)))
            .collect();
        threads
            .into_iter()
            .map(|thread| thread.join().unwrap_or_default())
            .collect()
    })
}

/// Clients that come one after the other and keep their connections, those with an answer.
fn come(mesh: &Mesh) -> Vec<Reader> {
    let mut kept = Vec::new();
    let begun = Instant::now();
    for index in 0..CROWD_COUNT / CROWD_THREADS {
        let due = CROWD_GAP * u32::try_from(index).unwrap_or(0);
        std::thread::sleep(due.saturating_sub(begun.elapsed()));
        let id = mesh.request_id();
        if let Ok(mut stream) = TcpStream::connect(mesh.nodes[0].outbound()) {
            let _ = stream.set_read_timeout(Some(Duration::from_secs(5)));
            let _ = stream.write_all(&mesh.get("/list/a", &id, 5000));
            let mut reader = Reader::new(stream);
            let answer = reader.next().ok().flatten();
            if answer.is_some_and(|answer| Mesh::is_whole(&answer, &id)) {
                kept.push(reader);
            }
        }
    }
    kept
}

/// Connections with three requests that end without an answer though an endpoint got one of them.
fn check(mesh: &Mesh, when: &str) -> Result<usize, String> {
    let address = mesh.nodes[0].outbound();
    let stop = Arc::new(AtomicBool::new(false));
    std::thread::scope(|scope| {
        let beside_stop = Arc::clone(&stop);
        scope.spawn(move || {
            let Ok(mut stream) = TcpStream::connect(address) else {
                return;
            };
            let Ok(reading) = stream.try_clone() else {
                return;
            };
            let mut reader = Reader::new(reading);
            while !beside_stop.load(Ordering::Relaxed) {
                let id = mesh.request_id();
                if stream.write_all(&mesh.get("/list/b", &id, 5000)).is_err()
                    || !matches!(reader.next(), Ok(Some(_)))
                {
                    return;
                }
                std::thread::sleep(BESIDE_GAP);
            }
        });
        let checks: Vec<_> = (0..CHECKED_COUNT)
            .map(|_| {
                std::thread::sleep(Duration::from_millis(150));
                scope.spawn(|| pipelined(mesh, when))
            })
            .collect();
        let lost = checks
            .into_iter()
            .map(|check| check.join().unwrap_or(Ok(false)));
        let lost: Result<Vec<bool>, String> = lost.collect();
        stop.store(true, Ordering::Relaxed);
        Ok(lost?.into_iter().filter(|lost| *lost).count())
    })
}

/// Sends three requests on one connection; returns whether it ended without an answer to one of
/// them that an endpoint had run.
fn pipelined(mesh: &Mesh, when: &str) -> Result<bool, String> {
    let failed = |error: std::io::Error| error.to_string();
    let mut stream = TcpStream::connect(mesh.nodes[0].outbound()).map_err(failed)?;
    stream
        .set_read_timeout(Some(Duration::from_secs(6)))
        .map_err(failed)?;
    let mut reader = Reader::new(stream.try_clone().map_err(failed)?);
    // The connection is a kept one: it has had an answer.
    let first = mesh.request_id();
    stream
        .write_all(&mesh.get("/list/c", &first, 5000))
        .map_err(failed)?;
    let answer = reader.next().map_err(failed)?;
    if !answer.is_some_and(|answer| Mesh::is_whole(&answer, &first)) {
        return Err(format!(
            "{when}: the first request of a connection was not answered"
        ));
    }
    let ids: Vec<String> = (0..3).map(|_| mesh.request_id()).collect();
    let mut requests = mesh.get("/list/work-300/", &ids[0], 5000);
    requests.extend(mesh.get(&format!("/list/large-{PAGE_BYTES}/"), &ids[1], 5000));
    requests.extend(mesh.get(&format!("/list/large-{PAGE_BYTES}/"), &ids[2], 5000));
    let sent = Instant::now();
    stream.write_all(&requests).map_err(failed)?;
    for id in &ids {
        match reader.next() {
            Ok(Some(answer)) => {
                let status = answer.status();
                mesh.record.line(&format!(
                    "{when}: request {id}: {status} after {} ms",
                    sent.elapsed().as_millis()
                ));
            }
            Ok(None) | Err(_) => {
                let runs = mesh.runs.of(id).len();
                let after_ms = sent.elapsed().as_millis();
                mesh.record.line(&format!("{when}: request {id}: connection closed without an answer after {after_ms} ms; runs of it: {runs}"));
                return Ok(runs > 0);
            }
        }
    }
    Ok(false)
}
