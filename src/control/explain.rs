//! Explains a request's fate step by step.

use {
    super::records::{ExplainRequest, ExplainStep, Explanation},
    crate::{
        conf::{CompiledConfiguration, RouteRules},
        keys::KeyState,
        model::{AdmissionLevel, Class, Names, Reason, ServiceKey, WorkspaceKey},
    },
};

/// What the published rules decide about a request, before the node's present
/// state comes in.
#[derive(Debug, Clone)]
pub struct Resolved {
    /// Service, if it is configured.
    pub service: Option<ServiceKey>,
    /// Workspace, if the key or name stands for one.
    pub workspace: Option<WorkspaceKey>,
    /// Class, if a route matches.
    pub class: Option<Class>,
    steps: Steps,
}

/// A node's present state, as far as it concerns one request.
#[derives::value]
#[derive(Eq)]
pub struct NodeFacts {
    /// The node.
    pub node_id: String,
    /// It has a configuration.
    pub ready: bool,
    /// It takes no new work.
    pub draining: bool,
    /// Requests that the workspace may send at once through this node; absent
    /// when not known.
    pub quota_token_count: Option<u64>,
    /// Usable targets of the service.
    pub target_count: usize,
    /// Admission level of the least loaded target.
    pub level: AdmissionLevel,
}

#[derive(Debug, Clone, Default)]
struct Steps {
    steps: Vec<ExplainStep>,
    reason: Option<Reason>,
}

impl Steps {
    fn add(&mut self, decision: &str, refusal: Option<Reason>, detail: String) {
        self.reason = self.reason.or(refusal);
        self.steps.push(ExplainStep {
            decision: decision.to_owned(),
            passed: refusal.is_none(),
            detail,
        });
    }
}

/// Looks up key and route.
#[must_use]
pub fn resolve(
    request: &ExplainRequest,
    running: &CompiledConfiguration,
    names: &Names,
) -> Resolved {
    let mut steps = Steps::default();
    let workspace = resolve_workspace(request, running, names, &mut steps);
    let service = running.service_names.get(&request.service).copied();
    let route = service.and_then(|service| running.route(service, &request.method, &request.path));
    explain_route(request, service, route, &mut steps);
    Resolved {
        service,
        workspace,
        class: route.map(|route| request.class.unwrap_or(route.class)),
        steps,
    }
}

impl Resolved {
    /// Completes the explanation with the node's state.
    #[must_use]
    pub fn explain(mut self, node: &NodeFacts) -> Explanation {
        self.explain_node(node);
        self.explain_quota(node);
        self.explain_target(node);
        self.explain_admission(node);
        Explanation {
            node_id: node.node_id.clone(),
            admitted: self.steps.reason.is_none(),
            reason: self.steps.reason.map(|reason| reason.name().to_owned()),
            steps: self.steps.steps,
        }
    }

    fn explain_node(&mut self, node: &NodeFacts) {
        let (refusal, detail) = match (node.ready, node.draining) {
            (false, _) => (Some(Reason::NotReady), "has no configuration yet"),
            (true, true) => (Some(Reason::Draining), "is draining"),
            (true, false) => (None, "serves"),
        };
        self.steps
            .add("node", refusal, format!("{} {detail}", node.node_id));
        // Without a configuration the node looks at nothing else, so that its
        // own state is the reason that a caller would be told.
        if !node.ready {
            self.steps.reason = refusal;
        }
    }

    fn explain_quota(&mut self, node: &NodeFacts) {
        if self.workspace.is_none() {
            return;
        }
        let (refusal, detail) = match node.quota_token_count {
            Some(0) => (
                Some(Reason::OverQuota),
                "no request left at present".to_owned(),
            ),
            Some(count) => (None, format!("{count} requests left at present")),
            None => (None, "not asked for yet through this node".to_owned()),
        };
        self.steps.add("quota", refusal, detail);
    }

    fn explain_target(&mut self, node: &NodeFacts) {
        if self.service.is_none() {
            return;
        }
        let refusal = (node.target_count == 0).then_some(Reason::NoTarget);
        let detail = format!("{} usable targets", node.target_count);
        self.steps.add("target", refusal, detail);
    }

    fn explain_admission(&mut self, node: &NodeFacts) {
        let Some(class) = self.class else {
            return;
        };
        let level = node.level;
        let refusal = if level.draining {
            Some(Reason::Draining)
        } else {
            (class < level.lowest_class).then_some(Reason::Overloaded)
        };
        let detail = format!(
            "class {}; admitted from {} upwards, load {}%",
            class.name(),
            level.lowest_class.name(),
            level.load_percent
        );
        self.steps.add("admission", refusal, detail);
    }
}

fn resolve_workspace(
    request: &ExplainRequest,
    running: &CompiledConfiguration,
    names: &Names,
    steps: &mut Steps,
) -> Option<WorkspaceKey> {
    if let Some(digest) = &request.digest {
        return resolve_key(running.key_state(digest), names, steps);
    }
    let Some(name) = &request.workspace else {
        steps.add("key", Some(Reason::MissingKey), "no key given".to_owned());
        return None;
    };
    let known = running
        .workspaces
        .keys()
        .copied()
        .find(|workspace| names.workspace_name(*workspace) == *name);
    let refusal = known.is_none().then_some(Reason::UnknownKey);
    let detail = if known.is_some() {
        "is configured"
    } else {
        "is not configured"
    };
    steps.add("key", refusal, format!("workspace {name} {detail}"));
    known
}

fn resolve_key(state: KeyState, names: &Names, steps: &mut Steps) -> Option<WorkspaceKey> {
    match state {
        KeyState::Granted(workspace) => {
            let name = names.workspace_name(workspace);
            steps.add("key", None, format!("stands for workspace {name}"));
            Some(workspace)
        }
        KeyState::Revoked => {
            steps.add("key", Some(Reason::RevokedKey), "was revoked".to_owned());
            None
        }
        KeyState::Unknown => {
            steps.add(
                "key",
                Some(Reason::UnknownKey),
                "was never granted".to_owned(),
            );
            None
        }
    }
}

fn explain_route(
    request: &ExplainRequest,
    service: Option<ServiceKey>,
    route: Option<&RouteRules>,
    steps: &mut Steps,
) {
    if service.is_none() {
        let detail = format!("service {:?} is not configured", request.service);
        steps.add("route", Some(Reason::NoRoute), detail);
        return;
    }
    let Some(route) = route else {
        let detail = format!("no route matches {} {:?}", request.method, request.path);
        steps.add("route", Some(Reason::NoRoute), detail);
        return;
    };
    let repeatable = if route.repeatable {
        "repeatable"
    } else {
        "not repeatable"
    };
    let detail = format!(
        "matches {:?}: class {}, {repeatable}, deadline {} ms",
        route.path.join("/"),
        route.class.name(),
        route.deadline_ms
    );
    steps.add("route", None, detail);
}
