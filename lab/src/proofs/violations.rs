//! Callers' records against targets' journals.

use {
    super::Sent,
    crate::{caller::Judgement, measure::Execution},
    standins::target::EntryState,
    std::collections::BTreeMap,
};

/// Something that must never be.
#[derives::value]
#[derive(Eq)]
pub enum Violation {
    /// All sends of a request were answered `not-run`, yet a target began it.
    FalseNotRun {
        /// Name of the request.
        test_id: String,
        /// Service that began it.
        service: String,
    },
    /// A target began an unrepeatable request, or a call of one, again.
    DoubleExecution {
        /// Name of the request.
        test_id: String,
        /// Service that began it.
        service: String,
        /// How often.
        count: usize,
    },
    /// A caller got a cut answer or someone else's as if it were right.
    WrongAnswer {
        /// Name of the request.
        test_id: String,
        /// What is wrong with it.
        error: Option<String>,
    },
    /// A target saw a tenant key.
    LeakedKey {
        /// Node beside the target.
        node_id: String,
        /// Path of the request.
        path: String,
    },
}

/// All violations that records and journals show together.
#[must_use]
pub fn violations(sent: &[Sent], executions: &[Execution], keys: &[String]) -> Vec<Violation> {
    let mut sends: BTreeMap<&str, Vec<&Sent>> = BTreeMap::new();
    for one in sent {
        sends.entry(&one.record.test_id).or_default().push(one);
    }
    let begun = begun_by_test_id(executions);
    let mut found = leaks(executions, keys);
    found.extend(sent.iter().filter_map(wrong_answer));
    for (test_id, sends) in sends {
        let Some(begun) = begun.get(test_id) else {
            continue;
        };
        let is_refused = |one: &&Sent| one.record.judgement == Judgement::NotRun;
        if sends.iter().all(is_refused) {
            found.push(Violation::FalseNotRun {
                test_id: test_id.to_owned(),
                service: begun[0].service.clone(),
            });
        }
        if sends[0].request.method != "GET" {
            found.extend(double_executions(test_id, begun));
        }
    }
    found
}

/// Requests that targets of a service began, by name of the request.
#[must_use]
pub fn executions_of<'a>(
    executions: &'a [Execution],
    service: &str,
) -> BTreeMap<&'a str, Vec<&'a Execution>> {
    let mut begun = begun_by_test_id(executions);
    for executions in begun.values_mut() {
        executions.retain(|execution| execution.service == service);
    }
    begun.retain(|_, executions| !executions.is_empty());
    begun
}

fn begun_by_test_id(executions: &[Execution]) -> BTreeMap<&str, Vec<&Execution>> {
    let mut begun: BTreeMap<&str, Vec<&Execution>> = BTreeMap::new();
    for execution in executions {
        // A target that refuses has begun nothing.
        if execution.entry.state == EntryState::Refused {
            continue;
        }
        if let Some(test_id) = execution.entry.test_id.as_deref() {
            begun.entry(test_id).or_default().push(execution);
        }
    }
    begun
}

fn wrong_answer(sent: &Sent) -> Option<Violation> {
    let record = &sent.record;
    (record.judgement == Judgement::Wrong).then(|| Violation::WrongAnswer {
        test_id: record.test_id.clone(),
        error: record.error.clone(),
    })
}

fn double_executions<'a>(
    test_id: &'a str,
    begun: &'a [&Execution],
) -> impl Iterator<Item = Violation> + 'a {
    let mut counts: BTreeMap<(&str, &str), usize> = BTreeMap::new();
    for execution in begun {
        let place = (execution.service.as_str(), execution.entry.path.as_str());
        *counts.entry(place).or_default() += 1;
    }
    let doubled = counts.into_iter().filter(|(_, count)| *count > 1);
    doubled.map(move |((service, _), count)| Violation::DoubleExecution {
        test_id: test_id.to_owned(),
        service: service.to_owned(),
        count,
    })
}

fn leaks(executions: &[Execution], keys: &[String]) -> Vec<Violation> {
    let has_key = |text: &str| keys.iter().any(|key| text.contains(key.as_str()));
    let is_leak = |execution: &&Execution| {
        let entry = &execution.entry;
        let mut headers = entry.headers.iter();
        let in_headers = headers.any(|(name, value)| has_key(name) || has_key(value));
        in_headers || has_key(&entry.path) || has_key(&entry.body)
    };
    let leaks = executions.iter().filter(is_leak);
    leaks
        .map(|execution| Violation::LeakedKey {
            node_id: execution.node_id.clone(),
            path: execution.entry.path.clone(),
        })
        .collect()
}
