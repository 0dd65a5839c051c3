//! Asks the local target whether it is healthy and stays.

use {
    super::connection::connect,
    crate::{dialect::Dialect, exchange::Segments, timer::timeout_unless_suspended},
    hyper::{
        Request, Uri,
        header::{HOST, HeaderValue},
    },
    std::{
        net::{IpAddr, SocketAddr},
        time::Duration,
    },
};

/// Maximum time for the response. The check waits for a slot like any request.
const HEALTH_TIMEOUT: Duration = Duration::from_millis(1000);

/// What a target says in response to a health check.
#[derives::key]
pub enum Health {
    /// It is healthy and stays.
    Staying,
    /// It leaves or fails.
    Unavailable,
    /// It did not respond in time, or had no room for the check.
    Unanswered,
    /// Its response does not tell, or it has no health check.
    Unknown,
}

/// A target's response to a health check.
#[derives::key]
pub struct HealthReport {
    /// Whether it stays.
    pub health: Health,
    /// How much longer it stays cold, in milliseconds; `None` if the response does not tell.
    pub cold_left_ms: Option<u64>,
}

impl HealthReport {
    /// A report that does not tell whether the target is cold.
    #[must_use]
    pub const fn new(health: Health) -> Self {
        Self {
            health,
            cold_left_ms: None,
        }
    }

    /// The report with a remaining cold time, in milliseconds.
    #[must_use]
    pub const fn with_cold_left_ms(self, cold_left_ms: Option<u64>) -> Self {
        Self {
            cold_left_ms,
            ..self
        }
    }
}

/// Sends one health check to the target at this port, on a connection of its own.
pub async fn check_health<D: Dialect>(
    dialect: &D,
    ip: IpAddr,
    port: u16,
    path: &str,
    instance_id: &str,
) -> HealthReport {
    let address = SocketAddr::new(ip, port);
    let Ok(uri) = path.parse::<Uri>() else {
        return HealthReport::new(Health::Unknown);
    };
    let exchange = async {
        let mut connection = connect(ip, address).await.ok()?;
        let mut request = Request::new(Segments::new());
        *request.uri_mut() = uri;
        let host = HeaderValue::try_from(address.to_string()).ok()?;
        request.headers_mut().insert(HOST, host);
        let response = connection.send(request).await.ok()?;
        Some(dialect.read_health(&response, instance_id))
    };
    let report = timeout_unless_suspended(HEALTH_TIMEOUT, exchange).await;
    let unanswered = HealthReport::new(Health::Unanswered);
    report.ok().flatten().unwrap_or(unanswered)
}
