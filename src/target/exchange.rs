//! One exchange with the own target.

use {
    super::{Lease, PoolError, TargetPool},
    crate::{
        dialect::{Dialect, TargetCall, TargetSignal},
        exchange::Outbound,
        model::{Reason, Refusal},
    },
    bytes::Bytes,
    http_body_util::Full,
    hyper::{Request, Response, Uri, body::Incoming},
    std::sync::Arc,
};

/// Connections tried when idle ones turn out to be closed.
const CONNECTION_TRIES: usize = 3;

/// Head of a target's answer.
#[derive(Debug)]
pub struct TargetAnswer {
    /// The answer, its body still to be read.
    pub response: Response<Incoming>,
    /// The connection that it comes over.
    pub lease: Lease,
    /// What the head means.
    pub word: TargetSignal,
}

/// Sends the request under this handle and returns the head of the answer.
///
/// `pass` is asked at the moment of sending: a connection that was slow to open
/// would otherwise bunch requests that were let through one by one.
pub async fn exchange<D: Dialect>(
    dialect: &D,
    pool: &Arc<TargetPool>,
    handle: u128,
    outbound: &Outbound,
    remaining_ms: u64,
    pass: impl Fn() -> Result<(), Refusal>,
) -> Result<TargetAnswer, Refusal> {
    for _ in 0..CONNECTION_TRIES {
        let mut lease = pool.lease().await.map_err(|error| refusal_of(&error))?;
        let instance_id = lease.instance_id().to_owned();
        let Some(sender) = lease.sender() else {
            continue;
        };
        if sender.ready().await.is_err() {
            continue;
        }
        let call = TargetCall {
            handle,
            remaining_ms,
            instance_id: &instance_id,
            host: outbound.host.as_deref(),
            sent: &outbound.headers,
        };
        let mut request = request_of(outbound);
        dialect.address(&mut request, &call);
        pass()?;
        match sender.try_send_request(request).await {
            Ok(response) => {
                let word = dialect.judge(&outbound.method, &call, &response);
                return Ok(TargetAnswer {
                    response,
                    lease,
                    word,
                });
            }
            // Only a request that comes back has provably not left; any other
            // error leaves open whether the target has begun.
            Err(mut error) => {
                if error.take_message().is_none() {
                    return Err(Refusal::unknown(Reason::ConnectionLost));
                }
            }
        }
    }
    Err(Refusal::not_run(Reason::ConnectionLost))
}

fn request_of(outbound: &Outbound) -> Request<Full<Bytes>> {
    let mut request = Request::new(Full::new(outbound.body.clone()));
    *request.method_mut() = outbound.method.clone();
    *request.uri_mut() = Uri::from(outbound.path.clone());
    *request.headers_mut() = outbound.headers.clone();
    request
}

const fn refusal_of(error: &PoolError) -> Refusal {
    match error {
        PoolError::NoTarget => Refusal::not_run(Reason::NoTarget),
        PoolError::AllInUse => Refusal::not_run(Reason::TooManyConnections),
        PoolError::Connect(_) | PoolError::Timeout | PoolError::Handshake(_) => {
            Refusal::not_run(Reason::ConnectionLost)
        }
    }
}
