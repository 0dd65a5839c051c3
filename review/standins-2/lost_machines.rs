//! Several machines lose power at once, and a configuration is written right after. The machines
//! that are left must work by it in time.

use {
    crate::{
        http::call,
        mesh::{Mesh, open_config},
        node::Node,
        record::Record,
    },
    std::{
        sync::Mutex,
        time::{Duration, Instant},
    },
};

/// Machines that are left, by their place in the plan: one in each zone. Neither is one of the two
/// of its zone that ask the store.
const LEFT: [usize; 2] = [2, 3];
/// `ConfigApplyS` of the settings.
const CONFIG_APPLY: Duration = Duration::from_secs(2);
/// How long requests are sent after the acknowledgement, and the time between two.
const WATCHED: Duration = Duration::from_secs(5);
/// How often machines are lost, and the time between their return and the next loss.
const ROUND_COUNT: u32 = 3;
const BETWEEN: Duration = Duration::from_secs(10);
const GAP: Duration = Duration::from_millis(50);
const DEADLINE_MS: u64 = 2000;

pub fn run(record: &Record, has_trouble: bool) -> Result<bool, String> {
    let plan = [
        ("z-a", "svc-a", 260),
        ("z-a", "svc-a", 260),
        ("z-a", "svc-a", 260),
        ("z-b", "svc-b", 260),
        ("z-b", "svc-b", 260),
        ("z-b", "svc-b", 260),
    ];
    let mut mesh = Mesh::start(&plan, &configuration(0), record)?;
    std::thread::sleep(Duration::from_secs(4));
    if send(&mesh, LEFT[0], "/list/a") != 200 {
        return Err("a request before the first change was not answered".to_owned());
    }
    let mut late = Vec::new();
    for round in 1..=ROUND_COUNT {
        if has_trouble {
            for node in lost(&mut mesh) {
                // Silent from now on, as a machine without power is.
                node.signal("STOP");
                record.line(&format!("{} loses power", node.machine.name));
            }
        }
        late.extend(change(&mesh, round));
        if has_trouble {
            for node in lost(&mut mesh) {
                node.start_again().map_err(|error| error.to_string())?;
                record.line(&format!("{} has power again", node.machine.name));
            }
        }
        std::thread::sleep(BETWEEN);
    }
    println!(
        "answered with 404 although sent more than {} s after the acknowledgement of the route: {}; the last was sent after {:.3} s",
        CONFIG_APPLY.as_secs(),
        late.len(),
        late.iter().max().copied().unwrap_or_default().as_secs_f64()
    );
    Ok(late.is_empty())
}

/// The configuration after so many changes; each adds a route.
fn configuration(round: u32) -> String {
    let prefixes: Vec<String> = (1..=round).map(|round| format!("/new-{round}/")).collect();
    let mut routes = vec![("/list/", "svc-a", "safe", 5.0)];
    routes.extend(
        prefixes
            .iter()
            .map(|prefix| (prefix.as_str(), "svc-a", "safe", 5.0)),
    );
    open_config(7 + 2 * round, &routes, &["svc-a", "svc-b"])
}

/// Nodes of the machines that lose power.
fn lost(mesh: &mut Mesh) -> impl Iterator<Item = &mut Node> {
    let nodes = mesh.nodes.iter_mut().enumerate();
    nodes
        .filter(|(index, _)| !LEFT.contains(index))
        .map(|(_, node)| node)
}

/// Writes a configuration with a further route, and sends requests on it at the machines that are
/// left; returns how long after the acknowledgement those were sent that got 404 too late.
fn change(mesh: &Mesh, round: u32) -> Vec<Duration> {
    let acknowledged = mesh.store.put("config", "main", &configuration(round));
    let path = format!("/new-{round}/a");
    let late = Mutex::new(Vec::new());
    std::thread::scope(|scope| {
        while acknowledged.elapsed() < WATCHED {
            for index in LEFT {
                let sent_after = acknowledged.elapsed();
                let (late, path) = (&late, &path);
                scope.spawn(move || {
                    if send(mesh, index, path) == 404 && sent_after > CONFIG_APPLY {
                        late.lock().unwrap().push(sent_after);
                    }
                });
            }
            std::thread::sleep(GAP);
        }
    });
    late.into_inner().unwrap()
}

/// Sends a request at a machine; returns the status of the answer, 0 if there is none.
fn send(mesh: &Mesh, index: usize, path: &str) -> u16 {
    let (id, sent) = (mesh.request_id(), Instant::now());
    let request = mesh.get(path, &id, DEADLINE_MS);
    let limit = Duration::from_millis(DEADLINE_MS);
    let status =
        call(mesh.nodes[index].outbound(), &request, limit).map_or(0, |answer| answer.status());
    let (name, after_ms) = (&mesh.nodes[index].machine.name, sent.elapsed().as_millis());
    mesh.record.line(&format!(
        "request {id}, {path}, at {name}: {status} after {after_ms} ms"
    ));
    status
}
