//! Calls of the model: admission at a target, calls below it, responses and failures.

use {
    super::{Call, Event, HOP_US, Layer, Model, Scenario},
    dogwoodbridge::{
        admission::{AdmissionPolicy, Arrival, Decision, TargetResult},
        model::{AdmissionLevel, Class, ServiceKey, WorkspaceKey},
    },
    rand::Rng,
};

const BRANCH_COUNT: u8 = 2;
const CALLS_PER_BRANCH: u8 = 4;
const CALL_DEADLINE_US: u64 = 700_000;
pub const TREE_DEADLINE_US: u64 = 2_000_000;

impl Model<'_> {
    fn call_below(&mut self, parent: usize) {
        let Call {
            kind,
            layer,
            deadline_us,
            ..
        } = self.calls[parent];
        let (below, limit_us) = match layer {
            Layer::MIDDLE => (Layer::DEEPEST, CALL_DEADLINE_US),
            _ => (Layer::MIDDLE, TREE_DEADLINE_US),
        };
        let deadline_us = deadline_us.min(self.now_us + limit_us);
        let child = self.new_call(kind, Some(parent), below, deadline_us);
        self.calls[parent].children.push(child);
        self.schedule(HOP_US, Event::Arrive(child));
        self.schedule(deadline_us - self.now_us, Event::Expire(child));
    }

    pub(super) fn arrive(&mut self, call: usize) {
        if self.calls[call].has_ended {
            return;
        }
        let Call {
            kind,
            parent,
            node,
            deadline_us,
            ..
        } = self.calls[call];
        // A call does not show the class of its root.
        let class = match parent {
            None => self.scenario.kinds[kind].class,
            Some(_) => Class::Standard,
        };
        let arrival = Arrival {
            class,
            workspace: WorkspaceKey::new(0),
            deadline_us,
            objective_us: None,
        };
        let mut decisions = Vec::new();
        let model_node = &mut self.nodes[node];
        if parent.is_some() {
            model_node.control.record_arrival(None, self.now_us);
        }
        let ticket = model_node
            .policy
            .arrive(arrival, self.now_us, &mut decisions);
        model_node.calls.insert(ticket, call);
        self.calls[call].ticket = Some(ticket);
        self.apply(node, decisions);
    }

    pub(super) fn apply(&mut self, node: usize, decisions: Vec<Decision>) {
        for decision in decisions {
            match decision {
                Decision::Start(ticket) => {
                    let call = self.nodes[node].calls[&ticket];
                    self.begin(call);
                }
                Decision::Refuse(ticket, _) => {
                    if let Some(call) = self.nodes[node].calls.remove(&ticket) {
                        self.calls[call].ticket = None;
                        self.respond(call, false);
                    }
                }
            }
        }
    }

    fn begin(&mut self, call: usize) {
        self.calls[call].started_us = Some(self.now_us);
        match self.calls[call].layer {
            Layer::DEEPEST => {
                let spread = self.rng.random_range(0.6..1.4);
                let service_us = self.scenario.service_us(self.now_us) * spread;
                self.schedule(service_us as u64, Event::Finish(call));
            }
            Layer::MIDDLE => {
                self.calls[call].left_count = CALLS_PER_BRANCH;
                self.call_below(call);
            }
            _ => {
                self.calls[call].left_count = BRANCH_COUNT;
                (0..BRANCH_COUNT).for_each(|_| self.call_below(call));
            }
        }
    }

    /// Ends a call that runs, with a complete response.
    pub(super) fn end(&mut self, call: usize, is_ok: bool) {
        self.leave_slot(call, TargetResult::Completed);
        self.respond(call, is_ok);
    }

    fn respond(&mut self, call: usize, is_ok: bool) {
        self.mark_ended(call);
        let level = self.level(self.calls[call].node);
        match self.calls[call].parent {
            Some(_) => self.schedule(HOP_US, Event::Respond(call, is_ok, level)),
            None => self.end_tree(call, is_ok),
        }
    }

    fn mark_ended(&mut self, call: usize) {
        self.calls[call].has_ended = true;
        let node = self.calls[call].node;
        self.nodes[node].outstanding_count -= 1;
        for child in std::mem::take(&mut self.calls[call].children) {
            if !self.calls[child].has_ended {
                self.cancel(child);
            }
        }
    }

    fn leave_slot(&mut self, call: usize, result: TargetResult) {
        let Call {
            layer,
            node,
            parent,
            kind,
            ..
        } = self.calls[call];
        let Some(ticket) = self.calls[call].ticket.take() else {
            return;
        };
        let mut decisions = Vec::new();
        let model_node = &mut self.nodes[node];
        model_node.calls.remove(&ticket);
        match result {
            TargetResult::Cancelled => {
                model_node
                    .policy
                    .withdraw(ticket, self.now_us, &mut decisions);
            }
            _ => model_node
                .policy
                .end(ticket, result, self.now_us, &mut decisions),
        }
        if let Some(started_us) = self.calls[call].started_us {
            let run_us = self.now_us - started_us;
            let new_class = parent.is_none().then_some(self.scenario.kinds[kind].class);
            model_node
                .control
                .record_run(new_class, run_us, self.now_us);
            if layer == Layer::DEEPEST {
                self.outcome.slot_us += run_us;
                let root = self.root(call);
                // Slot time used after the tree has failed is wasted too.
                match self.calls[root].has_ended && root != call {
                    true => self.outcome.wasted_us += run_us,
                    false => self.calls[root].slot_us += run_us,
                }
            }
        }
        self.apply(node, decisions);
    }

    fn root(&self, mut call: usize) -> usize {
        while let Some(parent) = self.calls[call].parent {
            call = parent;
        }
        call
    }

    pub(super) fn cancel(&mut self, call: usize) {
        self.mark_ended(call);
        self.leave_slot(call, TargetResult::Cancelled);
    }

    /// The caller of `call` receives its response, or notices the missing one.
    pub(super) fn receive(&mut self, call: usize, is_ok: bool, level: Option<AdmissionLevel>) {
        let Some(parent) = self.calls[call].parent else {
            self.end_tree(call, is_ok);
            return;
        };
        let service = ServiceKey::new(self.calls[call].layer as u16);
        let control = &mut self.nodes[self.calls[parent].node].control;
        if let Some(level) = level {
            control.record_level(service, level, self.now_us);
        }
        if self.calls[parent].has_ended {
            return;
        }
        control.record_call(!is_ok, self.now_us);
        if !is_ok {
            self.end(parent, false);
            return;
        }
        self.calls[parent].left_count -= 1;
        if self.calls[parent].left_count == 0 {
            self.end(parent, true);
        } else if self.calls[parent].layer == Layer::MIDDLE {
            self.call_below(parent);
        }
    }

    fn end_tree(&mut self, call: usize, is_ok: bool) {
        let Call {
            kind,
            layer,
            node,
            slot_us,
            deadline_us,
            ..
        } = self.calls[call];
        let Scenario {
            counted_us: (from_us, until_us),
            ..
        } = self.scenario;
        let began_us = deadline_us - TREE_DEADLINE_US;
        let is_counted = *from_us <= began_us && began_us < *until_us;
        let ends_counted = self.is_counted();
        let kind_count = &mut self.outcome.kinds[kind];
        kind_count.completed += u32::from(is_ok && is_counted);
        kind_count.ended += u32::from(is_ok && ends_counted);
        if !is_ok {
            self.outcome.wasted_us += slot_us;
        }
        if layer != Layer::DEEPEST {
            let class = self.scenario.kinds[kind].class;
            self.nodes[node].control.record_request_end(class, !is_ok);
        }
    }
}
