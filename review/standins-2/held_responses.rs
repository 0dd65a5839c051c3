//! Clients send several requests on a connection, the first of which takes long while endpoints are
//! slow: the responses to the others wait for it at the node.

use {
    crate::{
        crowd::ALLOWED_COUNT,
        http::Reader,
        mesh::{Mesh, config},
        record::Record,
    },
    std::{
        io::Write,
        net::TcpStream,
        time::{Duration, Instant},
    },
};

/// Memory of a machine, in MB.
const MEMORY_MB: u32 = 260;
/// Clients, and the time between two: with five requests each, 125 requests a second.
const CLIENT_COUNT: u32 = 120;
const CLIENT_GAP: Duration = Duration::from_millis(40);
/// Work of the first request at an endpoint as it usually is, and how many times as long a slow one
/// takes.
const WORK_MS: u64 = 125;
const SLOW_FACTOR: u64 = 12;
/// The others, and the size of their responses.
const FURTHER_COUNT: usize = 4;
const FILE_BYTES: usize = 250_000;
const DEADLINE_MS: u64 = 5000;

pub fn run(record: &Record, has_trouble: bool) -> Result<bool, String> {
    // Only endpoints of the first service are slow.
    let routes = [
        ("/list/", "svc-a", "safe", 5.0),
        ("/file/", "svc-b", "download", 5.0),
    ];
    let plan = [("z-a", "svc-a", MEMORY_MB), ("z-b", "svc-b", MEMORY_MB)];
    let mesh = Mesh::start(&plan, &config(7, &routes, &["svc-a", "svc-b"]), record)?;
    let work_ms = if has_trouble {
        WORK_MS * SLOW_FACTOR
    } else {
        WORK_MS
    };
    let lost_count = std::thread::scope(|scope| {
        let clients: Vec<_> = (0..CLIENT_COUNT)
            .map(|_| {
                std::thread::sleep(CLIENT_GAP);
                scope.spawn(|| pipelined(&mesh, work_ms))
            })
            .collect();
        let lost = clients
            .into_iter()
            .map(|client| client.join().unwrap_or(Ok(false)));
        let lost: Result<Vec<bool>, String> = lost.collect();
        lost.map(|lost| lost.into_iter().filter(|lost| *lost).count())
    })?;
    println!("closed without an answer: {lost_count}; more than {ALLOWED_COUNT} break LOST");
    record.line(&format!(
        "connections closed without an answer: {lost_count} of {CLIENT_COUNT}"
    ));
    Ok(lost_count <= ALLOWED_COUNT)
}

/// Sends the requests on a kept connection; returns whether it ended without any answer to them
/// although endpoints had run them.
fn pipelined(mesh: &Mesh, work_ms: u64) -> Result<bool, String> {
    let failed = |error: std::io::Error| error.to_string();
    let mut stream = TcpStream::connect(mesh.nodes[0].outbound()).map_err(failed)?;
    stream
        .set_read_timeout(Some(Duration::from_millis(DEADLINE_MS + 1000)))
        .map_err(failed)?;
    let mut reader = Reader::new(stream.try_clone().map_err(failed)?);
    let kept = mesh.request_id();
    stream
        .write_all(&mesh.get("/list/c", &kept, DEADLINE_MS))
        .map_err(failed)?;
    reader.next().map_err(failed)?;
    let ids: Vec<String> = (0..=FURTHER_COUNT).map(|_| mesh.request_id()).collect();
    let mut requests = mesh.get(&format!("/list/work-{work_ms}/"), &ids[0], DEADLINE_MS);
    for id in &ids[1..] {
        requests.extend(mesh.get(&format!("/file/large-{FILE_BYTES}/"), id, DEADLINE_MS));
    }
    let sent = Instant::now();
    stream.write_all(&requests).map_err(failed)?;
    for (index, id) in ids.iter().enumerate() {
        let answer = reader.next();
        let after_ms = sent.elapsed().as_millis();
        match answer {
            Ok(Some(answer)) => mesh.record.line(&format!(
                "request {id}: {} after {after_ms} ms",
                answer.status()
            )),
            Ok(None) | Err(_) => {
                let runs: usize = ids.iter().map(|id| mesh.runs.of(id).len()).sum();
                mesh.record.line(&format!("request {id}: connection closed after {after_ms} ms with {index} of {} answers; runs: {runs}", ids.len()));
                return Ok(runs > index);
            }
        }
    }
    Ok(false)
}
