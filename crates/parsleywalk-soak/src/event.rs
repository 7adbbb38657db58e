//! What is under way.

use std::cmp::Ordering;
use std::net::SocketAddr;

use parsleywalk_api::{WorkerReply, WorkerReport};
use parsleywalk_consensus::WriteTicket;
use parsleywalk_coordinator::{CallFailure, CoordinatorMessage, LeaderReply};
use parsleywalk_routing::{DispatchResult, EndpointAnnouncement};
use parsleywalk_units::{DispatchId, MonotonicTime};

/// A party of the network; VMs, workers and endpoints by their place in the world's lists.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum Party {
    Daemon(usize),
    Worker(usize),
    Endpoint(usize),
    /// Callers and operators.
    Client,
}

/// A message between daemons, as the daemon's own.
#[derive(Debug, Clone)]
pub(crate) enum PeerMessage {
    Coordinator(CoordinatorMessage),
    Announce(EndpointAnnouncement),
    Forward { call: DispatchId, request: ForwardedRequest },
    ForwardReply { call: DispatchId, result: DispatchResult },
}

/// A request on its way to another zone's entry.
#[derive(Debug, Clone)]
pub(crate) struct ForwardedRequest {
    pub(crate) logical: usize,
    pub(crate) repeatable: bool,
    pub(crate) timeout: std::time::Duration,
}

/// Something that happens to a party at a time. `life` ends with the process that it is meant for.
#[derive(Debug, Clone)]
pub(crate) enum Event {
    WakeDaemon {
        daemon: usize,
        life: u64,
    },
    Synced {
        daemon: usize,
        life: u64,
        ticket: WriteTicket,
    },
    Peer {
        from: usize,
        daemon: usize,
        message: Box<PeerMessage>,
        /// When it was sent.
        sent: u64,
    },
    Request {
        daemon: usize,
        copy: usize,
    },
    Job {
        daemon: usize,
        job: usize,
        cancel: bool,
    },
    Operate {
        daemon: usize,
        operation: usize,
    },
    OperationAnswered {
        operation: usize,
        result: Box<Result<LeaderReply, CallFailure>>,
    },
    OperationOverdue {
        operation: usize,
        attempt: u32,
    },
    Announce {
        daemon: usize,
        endpoint: usize,
        announcement: EndpointAnnouncement,
    },
    Report {
        daemon: usize,
        worker: usize,
        life: u64,
        report: Box<WorkerReport>,
    },
    ReportAnswered {
        worker: usize,
        life: u64,
        reply: Box<WorkerReply>,
    },
    WakeWorker {
        worker: usize,
        life: u64,
    },
    RestartWorker {
        worker: usize,
        life: u64,
    },
    WakeEndpoint {
        endpoint: usize,
        life: u64,
    },
    Dispatched {
        from: usize,
        life: u64,
        dispatch: DispatchId,
        logical: usize,
        copy: Option<usize>,
        address: SocketAddr,
    },
    EndpointDone {
        endpoint: usize,
        life: u64,
        reply: DispatchReply,
    },
    DispatchDone {
        daemon: usize,
        reply: DispatchReply,
    },
    DispatchOverdue {
        daemon: usize,
        life: u64,
        dispatch: DispatchId,
    },
}

/// An endpoint's answer on its way to the entry.
#[derive(Debug, Clone)]
pub(crate) struct DispatchReply {
    pub(crate) from: usize,
    /// The process that sent the request; a later one has no connection for the answer.
    pub(crate) life: u64,
    pub(crate) dispatch: DispatchId,
    /// The request id that the answer carries.
    pub(crate) echoed: DispatchId,
    pub(crate) whole: bool,
    pub(crate) result: DispatchResult,
}

impl Event {
    /// The party whose freeze delays the event.
    pub(crate) const fn party(&self) -> Party {
        match self {
            Self::WakeDaemon { daemon, .. }
            | Self::Synced { daemon, .. }
            | Self::Peer { daemon, .. }
            | Self::Request { daemon, .. }
            | Self::Job { daemon, .. }
            | Self::Operate { daemon, .. }
            | Self::Announce { daemon, .. }
            | Self::Report { daemon, .. }
            | Self::DispatchDone { daemon, .. }
            | Self::DispatchOverdue { daemon, .. } => Party::Daemon(*daemon),
            Self::ReportAnswered { worker, .. } | Self::WakeWorker { worker, .. } => Party::Worker(*worker),
            Self::EndpointDone { endpoint, .. } | Self::WakeEndpoint { endpoint, .. } => Party::Endpoint(*endpoint),
            Self::Dispatched { .. }
            | Self::RestartWorker { .. }
            | Self::OperationAnswered { .. }
            | Self::OperationOverdue { .. } => Party::Client,
        }
    }
}

/// An event and its time; earlier events come first, and equal times keep the order of scheduling.
#[derive(Debug)]
pub(crate) struct Scheduled {
    pub(crate) at: u64,
    pub(crate) number: u64,
    pub(crate) event: Event,
}

impl Ord for Scheduled {
    fn cmp(&self, other: &Self) -> Ordering {
        (other.at, other.number).cmp(&(self.at, self.number))
    }
}

impl PartialOrd for Scheduled {
    fn partial_cmp(&self, other: &Self) -> Option<Ordering> {
        Some(self.cmp(other))
    }
}

impl PartialEq for Scheduled {
    fn eq(&self, other: &Self) -> bool {
        self.cmp(other) == Ordering::Equal
    }
}

impl Eq for Scheduled {}

/// The earlier of two times, where `NEVER` is later than any.
pub(crate) fn earliest(times: impl IntoIterator<Item = MonotonicTime>) -> MonotonicTime {
    times.into_iter().min().unwrap_or(MonotonicTime::NEVER)
}
