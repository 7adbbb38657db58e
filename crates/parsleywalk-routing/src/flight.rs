//! A request in progress and those who wait for it.

use parsleywalk_units::{CallerName, ClaimId, DispatchId, MonotonicTime, RequestId, RequestKey};

use crate::RequestDigest;
use crate::endpoint_table::EndpointHandle;

/// What a request's right to run, and to be called not run, rests on.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum FlightAuthority {
    /// It has no key: it is known to this entry alone.
    Unkeyed,
    /// It has a key and is repeatable: copies may run at other entries.
    Unclaimed,
    /// It waits for the decision on its claim.
    Pending,
    /// This entry holds the claim on its key.
    Holder,
    /// The forwarding entry holds the claim on its key.
    Delegated,
}

/// How far a request has come.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum FlightState {
    /// Waiting for the decision on its claim.
    Claiming,
    /// Waiting for a slot.
    Queued,
    /// At least one attempt has no result.
    Running,
}

/// A request that is answered when the flight ends.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Waiter {
    pub(crate) request: RequestId,
    pub(crate) deadline: MonotonicTime,
    pub(crate) forwarded: bool,
}

/// One request in progress, with all the resends that joined it.
#[derive(Debug)]
pub(crate) struct Flight {
    pub(crate) service: usize,
    pub(crate) caller: CallerName,
    pub(crate) key: Option<RequestKey>,
    pub(crate) digest: RequestDigest,
    pub(crate) repeatable: bool,
    pub(crate) authority: FlightAuthority,
    pub(crate) claim: Option<ClaimId>,
    pub(crate) state: FlightState,
    pub(crate) waiters: Vec<Waiter>,
    /// Attempts without a result.
    pub(crate) attempts: Vec<DispatchId>,
    pub(crate) sends: u32,
    /// Whether an attempt ended without proof that it did not run.
    pub(crate) ran: bool,
    pub(crate) tried: Vec<EndpointHandle>,
    pub(crate) zones_tried: Vec<u32>,
    pub(crate) hedge_at: Option<MonotonicTime>,
    pub(crate) claim_until: Option<MonotonicTime>,
}

impl Flight {
    /// The time until which at least one waiter waits.
    pub(crate) fn deadline(&self) -> Option<MonotonicTime> {
        self.waiters.iter().map(|waiter| waiter.deadline).max()
    }

    /// Whether an entry of another zone waits for it.
    pub(crate) fn serves_forwarded(&self) -> bool {
        self.waiters.iter().any(|waiter| waiter.forwarded)
    }

    /// Whether it is proved that nothing of it ran or is running.
    pub(crate) fn is_proved_not_run(&self) -> bool {
        !self.ran && self.attempts.is_empty()
    }

    /// Whether this entry may tell the waiter that the request did not run, given that it did not.
    ///
    /// A forwarding entry asks about its own forward only, so it may always be told.
    pub(crate) fn may_call_not_run(&self, waiter: &Waiter) -> bool {
        waiter.forwarded || matches!(self.authority, FlightAuthority::Unkeyed | FlightAuthority::Holder)
    }
}
