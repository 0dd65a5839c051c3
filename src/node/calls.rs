//! Calls that the own target works on, by the handle that it was given.

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

/// What a child call inherits.
#[derive(Debug, Clone)]
pub struct InFlightCall {
    /// The caller's original request.
    pub request_id: RequestId,
    /// Workspace.
    pub workspace: WorkspaceKey,
    /// Digest of the key that the original request carried.
    pub key: KeyDigest,
    /// Importance.
    pub class: Class,
    /// End of the caller's patience.
    pub deadline_us: u64,
    /// Hops above.
    pub depth: u8,
    /// Holder of its retry allotment.
    pub retry: CallKey,
    /// Cancelled when the call is over.
    pub over: CancellationToken,
    /// A child failed for good; hops above may not repeat this call.
    pub is_exhausted: bool,
}

/// Calls that the own target works on.
///
/// Handles are 128 random bits: a target cannot guess another call's handle,
/// and so cannot act for another workspace.
#[derive(Debug, Default)]
pub struct CallTable {
    calls: HashMap<u128, InFlightCall>,
}

impl CallTable {
    /// An empty table.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// The call of this handle, unless it is over.
    #[must_use]
    pub fn get(&self, handle: u128) -> Option<InFlightCall> {
        self.calls.get(&handle).cloned()
    }

    /// Marks that a child of this call failed for good.
    pub fn mark_exhausted(&mut self, handle: u128) {
        if let Some(call) = self.calls.get_mut(&handle) {
            call.is_exhausted = true;
        }
    }

    /// Calls in the table.
    #[must_use]
    pub fn len(&self) -> usize {
        self.calls.len()
    }

    /// Whether there is none.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.calls.is_empty()
    }
}

/// A call's entry in the table; its children die with it.
pub struct CallHandle<P: Policies> {
    node: Arc<Node<P>>,
    handle: u128,
    over: bool,
}

/// What is left of a call at its end.
#[derive(Debug, Clone, Copy)]
pub struct CallRemainder {
    /// Retry allotment that goes back to the parent.
    pub unspent: u8,
    /// A child failed for good.
    pub is_exhausted: bool,
}

impl<P: Policies> CallHandle<P> {
    /// Enters a call under a new random handle.
    #[must_use]
    pub fn new(node: &Arc<Node<P>>, call: InFlightCall) -> Self {
        let handle = rand::random();
        node.calls().calls.insert(handle, call);
        Self {
            node: Arc::clone(node),
            handle,
            over: false,
        }
    }

    /// The handle for the target.
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
        self.over = true;
        let Some(call) = self.node.calls().calls.remove(&self.handle) else {
            return CallRemainder {
                unspent: 0,
                is_exhausted: false,
            };
        };
        call.over.cancel();
        CallRemainder {
            unspent: self.node.retries().close(call.retry),
            is_exhausted: call.is_exhausted,
        }
    }
}

impl<P: Policies> Drop for CallHandle<P> {
    fn drop(&mut self) {
        if !self.over {
            self.finish();
        }
    }
}
