//! Calls in progress at the local target, by their call handle.

use {
    super::{Node, Policies},
    crate::{
        keys::KeyDigest,
        model::{Class, RequestId, WorkspaceKey},
        retry::{CallKey, RetryPolicy},
    },
    std::{collections::HashMap, sync::Arc},
    tokio_util::sync::CancellationToken,
};

/// A call in progress; its child calls inherit these values.
#[derive(Debug, Clone)]
pub struct InFlightCall {
    /// The caller's original request.
    pub request_id: RequestId,
    /// Workspace.
    pub workspace: WorkspaceKey,
    /// Digest of the tenant key of the original request.
    pub key: KeyDigest,
    /// Class of the request.
    pub class: Class,
    /// Deadline of the caller, in microseconds of the node's timer.
    pub deadline_us: u64,
    /// Time of the latency objective, in microseconds of the node's timer, if there is one.
    pub objective_us: Option<u64>,
    /// Number of hops from the original request.
    pub depth: u8,
    /// Key of its retry allotment.
    pub retry: CallKey,
    /// Cancelled when the call ends.
    pub ended: CancellationToken,
    /// A child call exhausted its retries; this call must not be retried upstream.
    pub is_exhausted: bool,
}

/// Calls in progress at the local target.
///
/// Handles are 128 random bits, so that a target cannot guess another call's handle
/// and act for another workspace.
#[derive(Debug, Default)]
pub struct CallTable {
    calls: HashMap<u128, InFlightCall>,
}

impl CallTable {
    /// Creates an empty table.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// The call with this handle, unless it has ended.
    #[must_use]
    pub fn get(&self, handle: u128) -> Option<InFlightCall> {
        self.calls.get(&handle).cloned()
    }

    /// Records that a child of this call exhausted its retries.
    pub fn mark_exhausted(&mut self, handle: u128) {
        if let Some(call) = self.calls.get_mut(&handle) {
            call.is_exhausted = true;
        }
    }

    /// Number of calls in the table.
    #[must_use]
    pub fn len(&self) -> usize {
        self.calls.len()
    }

    /// Whether the table is empty.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.calls.is_empty()
    }
}

/// A call's entry in the table. Dropping it ends the call and cancels its children.
pub struct CallHandle<P: Policies> {
    node: Arc<Node<P>>,
    handle: u128,
    is_finished: bool,
}

/// Result of a call that its parent needs.
#[derive(Debug, Clone, Copy)]
pub struct CallRemainder {
    /// Unspent retry allotment, returned to the parent.
    pub unspent: u8,
    /// A child call exhausted its retries.
    pub is_exhausted: bool,
}

impl<P: Policies> CallHandle<P> {
    /// Adds a call with a new random handle.
    #[must_use]
    pub fn new(node: &Arc<Node<P>>, call: InFlightCall) -> Self {
        let handle = rand::random();
        node.calls().calls.insert(handle, call);
        Self {
            node: Arc::clone(node),
            handle,
            is_finished: false,
        }
    }

    /// Handle that is sent to the target.
    #[must_use]
    pub const fn handle(&self) -> u128 {
        self.handle
    }

    /// Ends the call and cancels its children.
    #[must_use]
    pub fn end(mut self) -> CallRemainder {
        self.finish()
    }

    fn finish(&mut self) -> CallRemainder {
        self.is_finished = true;
        let Some(call) = self.node.calls().calls.remove(&self.handle) else {
            return CallRemainder {
                unspent: 0,
                is_exhausted: false,
            };
        };
        call.ended.cancel();
        CallRemainder {
            unspent: self.node.retries().close(call.retry),
            is_exhausted: call.is_exhausted,
        }
    }
}

impl<P: Policies> Drop for CallHandle<P> {
    fn drop(&mut self) {
        if !self.is_finished {
            self.finish();
        }
    }
}
