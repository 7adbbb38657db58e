//! The events of the simulation.

use std::cmp::Ordering;
use std::net::SocketAddr;

use parsleywalk_api::{WorkerReply, WorkerReport};
use parsleywalk_consensus::WriteTicket;
use parsleywalk_coordinator::{CallFailure, CoordinatorMessage, LeaderReply};
use parsleywalk_routing::{DispatchResult, EndpointAnnouncement};
use parsleywalk_units::{DispatchId, MonotonicTime};

/// A node of the simulated network. Daemons, workers and endpoints are identified by their index in the world's lists.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum NetworkNode {
    Daemon(usize),
    Worker(usize),
    Endpoint(usize),
    /// Callers and operators.
    Client,
}

/// A message between daemons, with the same contents as in the real daemon.
#[derive(Debug, Clone)]
pub(crate) enum PeerMessage {
    Coordinator(CoordinatorMessage),
    Announce(EndpointAnnouncement),
    Forward { call: DispatchId, request: ForwardedRequest },
    ForwardReply { call: DispatchId, result: DispatchResult },
}

/// A request forwarded to an entry daemon of another zone.
#[derive(Debug, Clone)]
pub(crate) struct ForwardedRequest {
    pub(crate) logical: usize,
    pub(crate) repeatable: bool,
    pub(crate) timeout: std::time::Duration,
}

/// An event that a node handles at a simulated time. An event with a `generation` is dropped if the process for which
/// it was scheduled has ended, since every start or stop of a process increments its generation.
#[derive(Debug, Clone)]
pub(crate) enum Event {
    WakeDaemon {
        daemon: usize,
        generation: u64,
    },
    Synced {
        daemon: usize,
        generation: u64,
        ticket: WriteTicket,
    },
    Peer {
        from: usize,
        daemon: usize,
        message: Box<PeerMessage>,
        /// When it was sent, in microseconds of simulated time.
        sent_at: u64,
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
    Operation {
        daemon: usize,
        operation: usize,
    },
    OperationResponse {
        operation: usize,
        result: Box<Result<LeaderReply, CallFailure>>,
    },
    OperationTimeout {
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
        generation: u64,
        report: Box<WorkerReport>,
    },
    ReportResponse {
        worker: usize,
        generation: u64,
        reply: Box<WorkerReply>,
    },
    WakeWorker {
        worker: usize,
        generation: u64,
    },
    RestartWorker {
        worker: usize,
        generation: u64,
    },
    WakeEndpoint {
        endpoint: usize,
        generation: u64,
    },
    Dispatch {
        from: usize,
        generation: u64,
        dispatch: DispatchId,
        logical: usize,
        copy: Option<usize>,
        address: SocketAddr,
    },
    ExecutionDone {
        endpoint: usize,
        generation: u64,
        reply: DispatchReply,
    },
    DispatchReply {
        daemon: usize,
        reply: DispatchReply,
    },
    DispatchTimeout {
        daemon: usize,
        generation: u64,
        dispatch: DispatchId,
    },
}

/// An endpoint's response in transit to the entry daemon.
#[derive(Debug, Clone)]
pub(crate) struct DispatchReply {
    pub(crate) from: usize,
    /// The generation of the entry daemon that sent the request. A later process has no connection for the response.
    pub(crate) generation: u64,
    pub(crate) dispatch: DispatchId,
    /// The request id in the response.
    pub(crate) echoed: DispatchId,
    /// Whether the body arrived completely.
    pub(crate) is_complete: bool,
    pub(crate) result: DispatchResult,
}

impl Event {
    /// Returns the node that handles the event; while it is frozen, the event is delayed.
    pub(crate) const fn receiver(&self) -> NetworkNode {
        match self {
            Self::WakeDaemon { daemon, .. }
            | Self::Synced { daemon, .. }
            | Self::Peer { daemon, .. }
            | Self::Request { daemon, .. }
            | Self::Job { daemon, .. }
            | Self::Operation { daemon, .. }
            | Self::Announce { daemon, .. }
            | Self::Report { daemon, .. }
            | Self::DispatchReply { daemon, .. }
            | Self::DispatchTimeout { daemon, .. } => NetworkNode::Daemon(*daemon),
            Self::ReportResponse { worker, .. } | Self::WakeWorker { worker, .. } => NetworkNode::Worker(*worker),
            Self::ExecutionDone { endpoint, .. } | Self::WakeEndpoint { endpoint, .. } => {
                NetworkNode::Endpoint(*endpoint)
            }
            Self::Dispatch { .. }
            | Self::RestartWorker { .. }
            | Self::OperationResponse { .. }
            | Self::OperationTimeout { .. } => NetworkNode::Client,
        }
    }
}

/// An event and its time. Earlier events come first; events with equal times keep the order in which they were
/// scheduled. The order is reversed, since `BinaryHeap` is a max-heap.
#[derive(Debug)]
pub(crate) struct ScheduledEvent {
    pub(crate) at: u64,
    pub(crate) number: u64,
    pub(crate) event: Event,
}

impl Ord for ScheduledEvent {
    fn cmp(&self, other: &Self) -> Ordering {
        (other.at, other.number).cmp(&(self.at, self.number))
    }
}

impl PartialOrd for ScheduledEvent {
    fn partial_cmp(&self, other: &Self) -> Option<Ordering> {
        Some(self.cmp(other))
    }
}

impl PartialEq for ScheduledEvent {
    fn eq(&self, other: &Self) -> bool {
        self.cmp(other) == Ordering::Equal
    }
}

impl Eq for ScheduledEvent {}

/// Returns the earliest time, or `NEVER` if there is none.
pub(crate) fn earliest(times: impl IntoIterator<Item = MonotonicTime>) -> MonotonicTime {
    times.into_iter().min().unwrap_or(MonotonicTime::NEVER)
}
