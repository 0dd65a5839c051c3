//! Control traffic, processor time and size of the state as metrics.

use {
    super::{
        process::{CpuTime, resident_bytes},
        traffic::Traffic,
    },
    crate::{
        documents::{DocumentKind, DocumentStore},
        guard::GuardHome,
        membership::GossipTraffic,
        platform::Platform,
        rpc::{CallKind, RpcClient},
        slices::{Section, VersionedSliceTable},
    },
    prometheus_client::{
        collector::Collector,
        encoding::{DescriptorEncoder, EncodeMetric},
        metrics::{counter::ConstCounter, gauge::ConstGauge},
    },
    std::{
        fmt,
        sync::{Arc, OnceLock, atomic::Ordering},
    },
    tokio::sync::watch,
};

/// What the control parts of a node count and hold.
pub struct ControlSources {
    /// Name of the own slot.
    pub node_id: String,
    /// Datagrams of gossip.
    pub gossip: Arc<GossipTraffic>,
    /// Calls between nodes.
    pub client: RpcClient,
    /// Calls of the platform.
    pub platform: Platform,
    /// Calls of operators.
    pub operators: Arc<Traffic>,
    /// Documents held.
    pub store: DocumentStore,
    /// Slice table followed.
    pub tables: watch::Receiver<Option<Arc<VersionedSliceTable>>>,
    /// Records of idempotency keys.
    pub guard: Arc<GuardHome>,
}

/// Label of a kind and its value.
type Sample = (&'static str, u64);

impl ControlSources {
    fn messages(&self) -> Vec<Sample> {
        let calls = self.platform.call_counts();
        let rpc = CallKind::ALL.map(|kind| (rpc_label(kind), self.calls(kind).call_count));
        let mut samples = vec![
            ("gossip", self.gossip.sent_count.load(Ordering::Relaxed)),
            ("platform-read", calls.read_count),
            ("platform-write", calls.write_count),
            ("platform-watch", calls.watch_count),
            ("operators", self.operators.message_count()),
        ];
        samples.extend(rpc);
        samples
    }

    fn bytes(&self) -> Vec<Sample> {
        let rpc = CallKind::ALL.map(|kind| (rpc_label(kind), self.calls(kind).byte_count));
        let mut samples = vec![
            ("gossip", self.gossip.sent_bytes.load(Ordering::Relaxed)),
            ("platform", self.platform.byte_count()),
            ("operators", self.operators.byte_count()),
        ];
        samples.extend(rpc);
        samples
    }

    fn calls(&self, kind: CallKind) -> crate::rpc::CallCount {
        self.client.counters().for_kind(kind)
    }

    fn entries(&self) -> Vec<Sample> {
        let held = self.tables.borrow().clone();
        let owned = |section| {
            let table = &held.as_ref()?.table;
            let slot = table.find(&self.node_id)?;
            u64::try_from(table.owned(section, slot).count()).ok()
        };
        let slots = held.as_ref().map_or(0, |held| held.table.slots().len());
        vec![
            ("slices-quota", owned(Section::Quota).unwrap_or(0)),
            ("slices-keys", owned(Section::Keys).unwrap_or(0)),
            ("slots", length(slots)),
            ("guard-records", length(self.guard.record_count())),
        ]
    }

    fn documents(&self, value: impl Fn(DocumentKind) -> u64) -> Vec<Sample> {
        let kinds = DocumentKind::ALL.into_iter();
        kinds.map(|kind| (kind.name(), value(kind))).collect()
    }

    fn encode(&self, encoder: &mut DescriptorEncoder<'_>) -> fmt::Result {
        counters(
            encoder,
            "control_messages",
            "Control messages that this node sent or calls that it began, by kind",
            &self.messages(),
        )?;
        counters(
            encoder,
            "control_bytes",
            "Bytes of control messages: sent for gossip, both ways for calls",
            &self.bytes(),
        )?;
        let rejected = self.gossip.rejected_count.load(Ordering::Relaxed);
        counters(
            encoder,
            "gossip_rejected",
            "Datagrams that were not valid packets of this fleet",
            &[("gossip", rejected)],
        )?;
        let version = |kind| self.store.versions().of(kind);
        let size = |kind| {
            let held = self.store.newest(kind);
            held.map_or(0, |document| length(document.content.len()))
        };
        gauges(
            encoder,
            "document_version",
            "Versions of the documents held",
            &self.documents(version),
        )?;
        gauges(
            encoder,
            "document_bytes",
            "Sizes of the documents held",
            &self.documents(size),
        )?;
        gauges(
            encoder,
            "control_entries",
            "Entries of control tables",
            &self.entries(),
        )
    }
}

/// Reads the sources at each scrape, once they are known.
#[derive(Clone, Default)]
pub(super) struct ControlCollector(pub(super) Arc<OnceLock<ControlSources>>);

impl fmt::Debug for ControlCollector {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str("ControlCollector")
    }
}

impl Collector for ControlCollector {
    fn encode(&self, mut encoder: DescriptorEncoder<'_>) -> fmt::Result {
        encode_process(&mut encoder)?;
        self.0
            .get()
            .map_or(Ok(()), |sources| sources.encode(&mut encoder))
    }
}

fn encode_process(encoder: &mut DescriptorEncoder<'_>) -> fmt::Result {
    let time = CpuTime::of_this_process();
    let metric_type = ConstCounter::new(0.0_f64).metric_type();
    let help = "Processor time of the process by thread, in seconds";
    let mut family = encoder.encode_descriptor("cpu_seconds", help, None, metric_type)?;
    for (thread, time_s) in [("rpc", time.rpc_s), ("workers", time.workers_s)] {
        let labels = [("thread", thread)];
        ConstCounter::new(time_s).encode(family.encode_family(&labels)?)?;
    }
    let resident = i64::try_from(resident_bytes()).unwrap_or(i64::MAX);
    let gauge = ConstGauge::new(resident);
    let help = "Resident memory of the process";
    let metric = encoder.encode_descriptor("resident_bytes", help, None, gauge.metric_type())?;
    gauge.encode(metric)
}

fn counters(
    encoder: &mut DescriptorEncoder<'_>,
    name: &str,
    help: &str,
    samples: &[Sample],
) -> fmt::Result {
    let metric_type = ConstCounter::new(0_u64).metric_type();
    let mut family = encoder.encode_descriptor(name, help, None, metric_type)?;
    for (kind, value) in samples {
        let labels = [("kind", *kind)];
        ConstCounter::new(*value).encode(family.encode_family(&labels)?)?;
    }
    Ok(())
}

fn gauges(
    encoder: &mut DescriptorEncoder<'_>,
    name: &str,
    help: &str,
    samples: &[Sample],
) -> fmt::Result {
    let metric_type = ConstGauge::new(0_i64).metric_type();
    let mut family = encoder.encode_descriptor(name, help, None, metric_type)?;
    for (kind, value) in samples {
        let labels = [("kind", *kind)];
        let value = i64::try_from(*value).unwrap_or(i64::MAX);
        ConstGauge::new(value).encode(family.encode_family(&labels)?)?;
    }
    Ok(())
}

const fn rpc_label(kind: CallKind) -> &'static str {
    match kind {
        CallKind::Document => "rpc-document",
        CallKind::Lease => "rpc-lease",
        CallKind::Borrow => "rpc-borrow",
        CallKind::HandOver => "rpc-hand-over",
        CallKind::TakeOver => "rpc-take-over",
    }
}

fn length(count: usize) -> u64 {
    u64::try_from(count).unwrap_or(u64::MAX)
}
