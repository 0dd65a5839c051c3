//! `dogwoodctl room`.

use {
    super::{
        Args, CliError, Exit, Finished, Fleet, FleetView,
        args::RoomArgs,
        fleet::call_context,
        room_report::{NodeRoom, RoomReport, SilentNode},
    },
    std::collections::BTreeMap,
};

/// Nodes that reported their target, and those that did not respond.
struct Answers {
    answered: Vec<NodeRoom>,
    silent: Vec<SilentNode>,
}

pub(super) async fn run(args: &Args, room: &RoomArgs) -> Result<Finished, CliError> {
    let fleet = args.fleet()?;
    let view = fleet.look().await;
    let answers = ask(&fleet, view).await;
    let mut report = RoomReport::new(answers.answered, answers.silent);
    let exit = match (report.responded_count(), report.silent_count()) {
        (0, _) => Exit::Failed,
        (_, 0) => Exit::Done,
        _ => Exit::Unsure,
    };
    if let Some(service) = &room.service {
        let known = report.keep_only(service);
        if !known.contains(service) && exit != Exit::Failed {
            return Err(CliError::UnknownService {
                service: service.clone(),
                known,
                silent_count: report.silent_count(),
            });
        }
    }
    Ok(Finished::new(exit, &report))
}

/// Asks all nodes that responded before.
async fn ask(fleet: &Fleet, view: FleetView) -> Answers {
    let services = services_by_node(&view);
    let (reached, unreached): (Vec<_>, Vec<_>) = view
        .nodes
        .into_iter()
        .partition(|answer| answer.status.is_ok());
    let addresses = reached.iter().map(|answer| answer.address).collect();
    let call = |client: crate::control::OperatorsClient| async move {
        Ok(client.capacity(call_context()).await?)
    };
    let capacities = fleet.ask_each(addresses, call).await;
    let mut answered = Vec::new();
    let mut failed: Vec<_> = unreached
        .iter()
        .filter_map(|answer| {
            let error = answer.status.as_ref().err()?;
            Some((answer, error.to_string()))
        })
        .collect();
    for (node, capacity) in reached.iter().zip(capacities) {
        match capacity {
            Ok(sent) => answered.push(NodeRoom {
                node_id: sent.answer.node_id,
                target: sent.answer.target,
                since_sent_ms: u64::try_from(sent.sent_at.elapsed().as_millis())
                    .unwrap_or(u64::MAX),
            }),
            Err(error) => failed.push((node, error.to_string())),
        }
    }
    let silent = failed.into_iter().map(|(node, error)| SilentNode {
        node_id: node.name().to_owned(),
        zone: node.zone().to_owned(),
        address: node.address,
        service: services.get(node.name()).cloned(),
        error,
    });
    let silent = silent.collect();
    Answers { answered, silent }
}

/// Services of all nodes, as known to the members that responded.
fn services_by_node(view: &FleetView) -> BTreeMap<String, String> {
    let statuses = view
        .nodes
        .iter()
        .filter_map(|node| node.status.as_ref().ok());
    let members = statuses.flat_map(|status| &status.members);
    members
        .filter_map(|member| Some((member.node_id.clone(), member.service.clone()?)))
        .collect()
}
