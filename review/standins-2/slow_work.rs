//! A crowd of clients at one machine while endpoints work slowly on requests that were sent behind
//! others on kept connections.

use {
    crate::{
        crowd::{ALLOWED_COUNT, MEMORY_MB, gather},
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

/// Clients with two requests on a kept connection.
const CLIENT_COUNT: usize = 12;
/// Work of the second one at an endpoint that is slow, and how long its client waits.
const WORK_MS: u64 = 9000;
const DEADLINE_MS: u64 = 10_000;

pub fn run(record: &Record, has_trouble: bool) -> Result<bool, String> {
    let routes = [
        ("/list/", "svc-a", "safe", 5.0),
        ("/hive/", "svc-a", "safe", 10.0),
    ];
    let plan = [("z-a", "svc-a", MEMORY_MB), ("z-b", "svc-a", MEMORY_MB)];
    let mesh = Mesh::start(&plan, &config(7, &routes, &["svc-a"]), record)?;
    let lost_count = std::thread::scope(|scope| {
        let clients: Vec<_> = (0..CLIENT_COUNT)
            .map(|_| scope.spawn(|| two_requests(&mesh)))
            .collect();
        let crowd = has_trouble.then(|| {
            std::thread::sleep(Duration::from_millis(300));
            gather(&mesh)
        });
        let lost = clients
            .into_iter()
            .map(|client| client.join().unwrap_or(Ok(false)));
        let lost: Result<Vec<bool>, String> = lost.collect();
        drop(crowd);
        lost.map(|lost| lost.into_iter().filter(|lost| *lost).count())
    })?;
    println!("closed without an answer: {lost_count}; more than {ALLOWED_COUNT} break LOST");
    record.line(&format!(
        "connections closed without an answer: {lost_count}"
    ));
    Ok(lost_count <= ALLOWED_COUNT)
}

/// Sends two requests on a kept connection; returns whether it ended without an answer to the
/// second one while an endpoint was at work on it.
fn two_requests(mesh: &Mesh) -> Result<bool, String> {
    let failed = |error: std::io::Error| error.to_string();
    let mut stream = TcpStream::connect(mesh.nodes[0].outbound()).map_err(failed)?;
    stream
        .set_read_timeout(Some(Duration::from_millis(DEADLINE_MS + 1000)))
        .map_err(failed)?;
    let mut reader = Reader::new(stream.try_clone().map_err(failed)?);
    let kept = mesh.request_id();
    stream
        .write_all(&mesh.get("/list/c", &kept, 5000))
        .map_err(failed)?;
    reader.next().map_err(failed)?;
    let ids = [mesh.request_id(), mesh.request_id()];
    let mut requests = mesh.get("/list/work-100/", &ids[0], 5000);
    requests.extend(mesh.get(&format!("/hive/work-{WORK_MS}/"), &ids[1], DEADLINE_MS));
    let sent = Instant::now();
    stream.write_all(&requests).map_err(failed)?;
    for id in &ids {
        let after = || sent.elapsed().as_millis();
        match reader.next() {
            Ok(Some(answer)) => mesh.record.line(&format!(
                "request {id}: {} after {} ms",
                answer.status(),
                after()
            )),
            Ok(None) | Err(_) => {
                let runs = mesh.runs.of(id).len();
                mesh.record.line(&format!("request {id}: connection closed without an answer after {} ms; runs of it: {runs}", after()));
                return Ok(runs > 0);
            }
        }
    }
    Ok(false)
}
