//! What the way through the nodes adds to a call.

use {
    crate::{
        LabError,
        caller::{CallRequest, Caller, Judgement},
        mesh::Mesh,
    },
    hdrhistogram::Histogram,
    std::{fmt, net::SocketAddr, time::Duration},
    tokio::time::sleep,
};

const WARM_UP_COUNT: usize = 100;
const PAIR_COUNT: usize = 1000;
/// Keeps the load low, so that service times don't add up in queues.
const PAUSE: Duration = Duration::from_millis(1);
const MAX_LATENCY_US: u64 = 60_000_000;

/// Latencies of the same target, called directly and through the nodes, in
/// turn.
#[derive(Debug)]
pub struct Overhead {
    /// Called directly over a kept connection.
    pub direct_us: Histogram<u64>,
    /// Called through a node beside another target, one hop away.
    pub proxied_us: Histogram<u64>,
    /// Requests through the nodes that brought no whole answer.
    pub failed_count: u64,
}

impl Overhead {
    /// Difference of a quantile, such as 0.99, in microseconds.
    #[must_use]
    pub fn added_us(&self, quantile: f64) -> i64 {
        let proxied_us = self.proxied_us.value_at_quantile(quantile).cast_signed();
        proxied_us - self.direct_us.value_at_quantile(quantile).cast_signed()
    }
}

/// Calls pricing through the node of catalog in the same availability zone,
/// and directly, in turn.
pub async fn measure_overhead(mesh: &Mesh, key: &str) -> Result<Overhead, LabError> {
    let ingress = &mesh.instances[0];
    let target = mesh
        .instances
        .iter()
        .find(|instance| instance.zone == ingress.zone && instance.service == "pricing")
        .ok_or(LabError::Scenario {
            message: "pricing is missing".to_owned(),
        })?;
    let proxied = Probe {
        caller: Caller::new(),
        address: ingress.caller_address(),
        path: "/pricing/quotes/7",
    };
    let direct = Probe {
        caller: Caller::new(),
        address: target.target_address(),
        path: "/quotes/7",
    };
    let mut overhead = Overhead {
        direct_us: histogram(),
        proxied_us: histogram(),
        failed_count: 0,
    };
    for index in 0..WARM_UP_COUNT + PAIR_COUNT {
        let direct_us = direct.latency_us("").await?;
        let proxied_us = proxied.latency_us(key).await?;
        sleep(PAUSE).await;
        if index < WARM_UP_COUNT {
            continue;
        }
        match (direct_us, proxied_us) {
            (Some(direct_us), Some(proxied_us)) => {
                overhead.direct_us.saturating_record(direct_us);
                overhead.proxied_us.saturating_record(proxied_us);
            }
            _ => overhead.failed_count += 1,
        }
    }
    Ok(overhead)
}

struct Probe {
    caller: Caller,
    address: SocketAddr,
    path: &'static str,
}

impl Probe {
    /// Latency of one whole answer.
    async fn latency_us(&self, key: &str) -> Result<Option<u64>, LabError> {
        let mut request = CallRequest::new("GET", self.path);
        if !key.is_empty() {
            request = request.with_key(key);
        }
        let record = self.caller.send(self.address, &request).await?;
        Ok((record.judgement == Judgement::Whole).then_some(record.latency_us))
    }
}

fn histogram() -> Histogram<u64> {
    Histogram::new_with_max(MAX_LATENCY_US, 3).expect("bounds in range")
}

impl fmt::Display for Overhead {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        let ms = |us: u64| us as f64 / 1000.0;
        writeln!(
            formatter,
            "latency of pricing, {} pairs in turn, low load",
            self.direct_us.len()
        )?;
        writeln!(formatter, "{:<28}{:>8}{:>9}", "", "p50 ms", "p99 ms")?;
        let rows = [
            ("called directly", &self.direct_us),
            ("through the nodes, one hop", &self.proxied_us),
        ];
        for (name, latency_us) in rows {
            let p50_ms = ms(latency_us.value_at_quantile(0.5));
            let p99_ms = ms(latency_us.value_at_quantile(0.99));
            writeln!(formatter, "{name:<28}{p50_ms:>8.3}{p99_ms:>9.3}")?;
        }
        let added_ms = |quantile| self.added_us(quantile) as f64 / 1000.0;
        writeln!(
            formatter,
            "{:<28}{:>8.3}{:>9.3}",
            "added",
            added_ms(0.5),
            added_ms(0.99)
        )?;
        write!(
            formatter,
            "{:<28}{:>8}",
            "pairs that failed", self.failed_count
        )
    }
}
