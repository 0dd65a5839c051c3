//! The node as operators see it.

use {
    super::guard::FleetGuard,
    crate::{
        admission::AdmissionPolicy,
        control::{
            ExplainRequest, Explanation, KeyVerdict, MemberStatus, NodeCapacity, NodeFacts,
            NodeStatus, Operated, TargetStatus, Traffic, node_capacity, resolve,
        },
        documents::DocumentStore,
        keys::{KeyDigest, Revocations},
        model::{AdmissionLevel, Class, ServiceKey},
        node::{Node, PolicySet},
        quota::LeasedQuota,
        retry::RetryPolicy,
        routing::ZoneRouter,
        slices::{Section, VersionedSliceTable},
    },
    std::sync::Arc,
    tokio::sync::watch,
};

/// The daemon's choice of policies around the two that vary.
type DaemonNode<A, T> = Node<PolicySet<A, ZoneRouter, T, LeasedQuota, FleetGuard>>;

/// Answers operators from the parts of a running node.
pub struct OperatedNode<A: AdmissionPolicy, T: RetryPolicy> {
    node: Arc<DaemonNode<A, T>>,
    store: DocumentStore,
    revocations: Revocations,
    tables: watch::Receiver<Option<Arc<VersionedSliceTable>>>,
    traffic: Arc<Traffic>,
}

impl<A: AdmissionPolicy, T: RetryPolicy> Clone for OperatedNode<A, T> {
    fn clone(&self) -> Self {
        Self {
            node: self.node.clone(),
            store: self.store.clone(),
            revocations: self.revocations.clone(),
            tables: self.tables.clone(),
            traffic: self.traffic.clone(),
        }
    }
}

impl<A: AdmissionPolicy, T: RetryPolicy> OperatedNode<A, T> {
    /// A view on these parts.
    pub fn new(
        node: Arc<DaemonNode<A, T>>,
        store: DocumentStore,
        revocations: Revocations,
        tables: watch::Receiver<Option<Arc<VersionedSliceTable>>>,
    ) -> Self {
        Self {
            node,
            store,
            revocations,
            tables,
            traffic: Arc::default(),
        }
    }

    fn owned_slice_count(&self) -> u32 {
        let held = self.tables.borrow();
        let owned = held.as_ref().and_then(|held| {
            let table = &held.table;
            let slot = table.find(&self.node.settings.node_id)?;
            Some(table.owned(Section::Quota, slot).count())
        });
        u32::try_from(owned.unwrap_or(0)).unwrap_or(u32::MAX)
    }

    fn target_status(&self) -> Option<TargetStatus> {
        let target = self.node.own_state.borrow().target.clone()?;
        let admission = self.node.admission();
        let (running, waiting) = admission.counts();
        let now_us = self.node.timer.now_us();
        let level = admission.level(Class::Browse, now_us);
        let evacuations = self.node.evacuations();
        Some(TargetStatus {
            service: target.service,
            slot_count: target.slot_count,
            running_count: u32::try_from(running).unwrap_or(u32::MAX),
            queued_count: u32::try_from(waiting).unwrap_or(u32::MAX),
            lowest_class: level.lowest_class,
            load_percent: level.load_percent,
            draining: target.draining || level.draining,
            is_cold: self.node.target.gate().is_cold(now_us),
            is_evacuated: evacuations.contains(&self.node.settings.zone),
        })
    }

    /// Level of the own target; other targets' levels are known to their own
    /// nodes, which an operator asks there.
    fn own_level(&self, service: Option<ServiceKey>) -> AdmissionLevel {
        let own_state = self.node.own_state.borrow();
        let own = own_state
            .target
            .as_ref()
            .map(|target| self.node.names.service(&target.service));
        if own.is_none() || own != service {
            return AdmissionLevel::idle();
        }
        self.node
            .admission()
            .level(Class::Browse, self.node.timer.now_us())
    }

    fn facts(&self, service: Option<ServiceKey>) -> NodeFacts {
        let level = self.own_level(service);
        NodeFacts {
            node_id: self.node.settings.node_id.clone(),
            ready: self.node.is_ready(),
            draining: self.node.is_draining(),
            quota_token_count: None,
            target_count: service.map_or(0, |service| self.node.routes().target_count(service)),
            level,
        }
    }
}

impl<A: AdmissionPolicy, T: RetryPolicy> Operated for OperatedNode<A, T> {
    fn status(&self) -> NodeStatus {
        let settings = &self.node.settings;
        let now_ms = self.node.timer.now_ms();
        let seen_ms = self.node.own_state.borrow().platform_seen_ms;
        NodeStatus {
            node_id: settings.node_id.clone(),
            region: settings.region.clone(),
            zone: settings.zone.clone(),
            ready: self.node.is_ready(),
            draining: self.node.is_draining(),
            revision: self.node.running().revision,
            versions: self.store.versions().into(),
            platform_seen_age_ms: seen_ms.map(|seen_ms| now_ms.saturating_sub(seen_ms)),
            freshness: self.node.freshness().into(),
            owned_slice_count: self.owned_slice_count(),
            target: self.target_status(),
            members: self.node.view().iter().map(MemberStatus::from).collect(),
        }
    }

    fn drain(&self) {
        self.node.drain();
    }

    fn explain(&self, request: &ExplainRequest) -> Explanation {
        let resolved = resolve(request, &self.node.running(), &self.node.names);
        let facts = self.facts(resolved.service);
        resolved.explain(&facts)
    }

    fn capacity(&self) -> NodeCapacity {
        node_capacity(&self.node)
    }

    fn revoke(&self, digest: KeyDigest) {
        self.revocations.apply(digest);
    }

    fn traffic(&self) -> Arc<Traffic> {
        self.traffic.clone()
    }

    fn key_verdict(&self, digest: &KeyDigest) -> KeyVerdict {
        KeyVerdict::new(self.node.running().key_state(digest), &self.node.names)
    }
}
