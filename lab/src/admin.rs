//! Typed access to the admin interfaces of stand-ins and nodes.

use {
    crate::LabError,
    bytes::Bytes,
    http_body_util::{BodyExt, Full},
    hyper::Request,
    hyper_util::{
        client::legacy::{Client, connect::HttpConnector},
        rt::TokioExecutor,
    },
    serde::{Serialize, de::DeserializeOwned},
    standins::{
        faultproxy::{Rule, Rules},
        platform::{self, CallCounts},
        target::{self, Entry},
    },
    std::{net::SocketAddr, time::Duration},
    tokio::time::timeout,
};

const CALL_LIMIT: Duration = Duration::from_secs(10);

/// An address with an admin interface.
#[derives::key]
pub struct AdminAddress(pub SocketAddr);

impl AdminAddress {
    /// Status and body of a call.
    pub async fn call(
        self,
        method: &str,
        path: &str,
        body: Bytes,
    ) -> Result<(u16, Bytes), LabError> {
        let failed = |message: String| LabError::Admin {
            method: method.to_owned(),
            address: self.0,
            path: path.to_owned(),
            message,
        };
        let request = Request::builder()
            .method(method)
            .uri(format!("http://{}{path}", self.0))
            .body(Full::new(body))?;
        let client: Client<HttpConnector, Full<Bytes>> =
            Client::builder(TokioExecutor::new()).build_http();
        let exchange = async {
            let answer = client.request(request).await.map_err(|e| e.to_string())?;
            let status = answer.status().as_u16();
            let body = answer
                .into_body()
                .collect()
                .await
                .map_err(|e| e.to_string())?;
            Ok::<_, String>((status, body.to_bytes()))
        };
        let answer = timeout(CALL_LIMIT, exchange).await;
        answer
            .map_err(|_| failed("no answer".to_owned()))?
            .map_err(failed)
    }

    /// A body with status 200, read as JSON.
    pub async fn get<T: DeserializeOwned>(self, path: &str) -> Result<T, LabError> {
        let (status, body) = self.call("GET", path, Bytes::new()).await?;
        serde_json::from_slice(&body).map_err(|error| LabError::Admin {
            method: "GET".to_owned(),
            address: self.0,
            path: path.to_owned(),
            message: format!("status {status}: {error}"),
        })
    }

    /// Sends JSON; an error unless the status is 200.
    pub async fn put<T: Serialize>(self, path: &str, value: &T) -> Result<(), LabError> {
        let body = serde_json::to_vec(value).unwrap_or_default();
        let (status, body) = self.call("PUT", path, body.into()).await?;
        if status == 200 {
            return Ok(());
        }
        Err(LabError::Admin {
            method: "PUT".to_owned(),
            address: self.0,
            path: path.to_owned(),
            message: format!("status {status}: {}", String::from_utf8_lossy(&body)),
        })
    }

    /// Whether a plain read of this path has status 200.
    pub async fn is_ok(self, path: &str) -> bool {
        matches!(self.call("GET", path, Bytes::new()).await, Ok((200, _)))
    }

    /// Calls that the platform has counted.
    pub async fn platform_calls(self) -> Result<CallCounts, LabError> {
        self.get("/-/calls").await
    }

    /// Sets the platform's faults.
    pub async fn set_platform_faults(self, faults: platform::Faults) -> Result<(), LabError> {
        self.put("/-/faults", &faults).await
    }

    /// Sets a target's faults.
    pub async fn set_target_faults(self, faults: target::Faults) -> Result<(), LabError> {
        self.put("/-/faults", &faults).await
    }

    /// Entries of a target's journal.
    pub async fn journal(self, from_sequence: u64) -> Result<Vec<Entry>, LabError> {
        self.get(&format!("/-/journal?from={from_sequence}")).await
    }

    /// Lets a target ask for no new work, then end.
    pub async fn drain_target(self) -> Result<(), LabError> {
        self.put("/-/drain", &()).await
    }

    /// Sets all rules of the fault proxy.
    pub async fn set_rules(self, rules: Vec<Rule>) -> Result<(), LabError> {
        self.put("/-/rules", &Rules(rules)).await
    }

    /// Text of a node's metrics.
    pub async fn metrics(self) -> Result<String, LabError> {
        let (_, body) = self.call("GET", "/metrics", Bytes::new()).await?;
        Ok(String::from_utf8_lossy(&body).into_owned())
    }
}
