//! The execution of a request, shared by the request and its resends.

use parsleywalk_units::{CallerName, ClaimId, DispatchId, MonotonicTime, RequestId, RequestKey};

use crate::RequestDigest;
use crate::endpoint_table::EndpointHandle;

/// The basis on which this entry may run a request, and may report that it did not run.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum ExecutionAuthority {
    /// The request has no key, so no other entry knows it.
    Unkeyed,
    /// The request has a key and is repeatable: it needs no claim, and copies of it may run at other entries.
    Unclaimed,
    /// The claim on the request's key is not decided yet.
    Pending,
    /// This entry holds the claim on the request's key.
    Holder,
    /// The entry that forwarded the request holds the claim on its key.
    Delegated,
}

/// The state of an execution.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum ExecutionState {
    /// Waiting for the decision on the claim.
    Claiming,
    /// Waiting for a free slot of an endpoint.
    Queued,
    /// Dispatched or forwarded; at least one attempt has no result yet.
    Running,
}

/// A request that gets its response when the execution ends.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Waiter {
    pub(crate) request: RequestId,
    pub(crate) deadline: MonotonicTime,
    pub(crate) forwarded: bool,
}

/// The execution of a request, with the resends that joined it as further waiters.
#[derive(Debug)]
pub(crate) struct RequestExecution {
    pub(crate) service: usize,
    pub(crate) caller: CallerName,
    pub(crate) key: Option<RequestKey>,
    pub(crate) digest: RequestDigest,
    pub(crate) repeatable: bool,
    pub(crate) authority: ExecutionAuthority,
    pub(crate) claim: Option<ClaimId>,
    pub(crate) state: ExecutionState,
    pub(crate) waiters: Vec<Waiter>,
    /// The attempts without a result.
    pub(crate) attempts: Vec<DispatchId>,
    /// The number of dispatches and forwards so far.
    pub(crate) send_count: u32,
    /// Whether an attempt ended and may have run.
    pub(crate) may_have_run: bool,
    pub(crate) tried_endpoints: Vec<EndpointHandle>,
    pub(crate) tried_zones: Vec<u32>,
    /// The time of the pending hedge timer.
    pub(crate) hedge_at: Option<MonotonicTime>,
    /// The time of the pending claim timer.
    pub(crate) claim_deadline: Option<MonotonicTime>,
}

impl RequestExecution {
    /// Returns the latest deadline of the waiters; `None` if there are none.
    pub(crate) fn deadline(&self) -> Option<MonotonicTime> {
        self.waiters.iter().map(|waiter| waiter.deadline).max()
    }

    /// Returns true if an entry of another zone waits for the response.
    pub(crate) fn has_forwarded_waiter(&self) -> bool {
        self.waiters.iter().any(|waiter| waiter.forwarded)
    }

    /// Returns true if no attempt has run or is running.
    pub(crate) fn cannot_have_run(&self) -> bool {
        !self.may_have_run && self.attempts.is_empty()
    }

    /// Returns true if the waiter may be told that the request did not run, provided that it did not run here.
    ///
    /// A forwarding entry only asks about its own forward, so it may always be told.
    pub(crate) fn may_report_not_run(&self, waiter: &Waiter) -> bool {
        waiter.forwarded || matches!(self.authority, ExecutionAuthority::Unkeyed | ExecutionAuthority::Holder)
    }
}
