//! A leader-based replicated log as a pure state machine.
//!
//! The protocol follows Raft, with pre-vote, check-quorum, leader leases, learners and two-phase membership changes.
//!
//! A [`ConsensusNode`] does no I/O and reads no clock. The caller passes the time and one [`ConsensusEvent`] to
//! [`ConsensusNode::step`] and executes the returned [`ConsensusAction`]s in order. The time must be read from the
//! process's monotonic clock after the event has arrived. The next step is due at [`ConsensusNode::next_deadline`] at
//! the latest.
//!
//! # Writes
//!
//! [`ConsensusAction::Persist`] is asynchronous: the caller may batch writes and sync them together, then reports them
//! with [`ConsensusEvent::Persisted`] in ticket order. Everything that depends on a write, such as a vote, an
//! acknowledgement or the leader's own copy of an entry, is held back inside the node until then.
//!
//! # Proposals
//!
//! A leader answers [`ConsensusEvent::Propose`] with `Accepted` and later applies an entry with the same index and
//! term, or it ends the proposal with `Refused`. After `Accepted`, the only possible reason is
//! [`ProposalRefusal::LeadershipLost`]: it is then unknown whether the entry will be committed.
//!
//! # Leadership
//!
//! [`ConsensusNode::is_ready`] returns true once everything that earlier leaders committed is applied.
//! [`ConsensusNode::has_leader_lease`] returns true while no other replica can be elected. The lease starts when the
//! leader sends a heartbeat that a quorum answers. Followers withhold their votes long enough to outlast the lease on
//! clocks that drift by the permitted amount. A follower that restarts withholds its vote for the same time.
//!
//! # Membership
//!
//! A replica is identified by a VM and an incarnation ([`ReplicaId`]). A replica that is not a voter announces itself
//! as a learner and receives the log. A newer incarnation of a voter's VM replaces the older one automatically as soon
//! as it holds everything committed and the older one is unresponsive. Other changes are requested with
//! [`ConsensusEvent::ChangeMembership`]. A change takes two entries: the first needs majorities of the old and the new
//! voters; the second repeats the new set once the first is committed, and its commit ends the change. Until then
//! further changes are refused. While [`ConsensusNode::is_changing_membership`] returns true, a replica that is being
//! removed must keep running.
//!
//! Messages addressed to [`ReplicaId::any`] are delivered to the current incarnation on the VM. The transport drops
//! messages addressed to another incarnation.
//!
//! # Example
//!
//! A single-member deployment elects its leader as soon as the first write is synced:
//!
//! ```
//! use parsleywalk_consensus::{
//!     ConsensusAction, ConsensusEvent, ConsensusNode, ConsensusSettings, EntryPayload, ProposalId, RecoveredLog,
//!     ReplicaSet,
//! };
//! use parsleywalk_units::MonotonicTime;
//!
//! let id = "vm1.7f2a".parse()?;
//! let recovered = RecoveredLog::bootstrapped(ReplicaSet::new(vec![id]));
//! let mut node = ConsensusNode::open(ConsensusSettings::default(), id, recovered, 1, MonotonicTime::ZERO)?;
//!
//! let mut events = vec![ConsensusEvent::Tick];
//! let mut applied = Vec::new();
//! let mut proposed = false;
//! while let Some(event) = events.pop() {
//!     for action in node.step(MonotonicTime::from_millis(1), event) {
//!         match action {
//!             // A daemon passes the write to its storage thread and reports it after the sync.
//!             ConsensusAction::Persist { ticket, .. } => events.push(ConsensusEvent::Persisted { ticket }),
//!             ConsensusAction::Apply { entry } => applied.push(entry.payload),
//!             _ => {}
//!         }
//!     }
//!     if node.is_ready() && !proposed {
//!         proposed = true;
//!         events.push(ConsensusEvent::Propose { proposal: ProposalId::new(1), payload: b"start".to_vec() });
//!     }
//! }
//! assert_eq!(applied.last(), Some(&EntryPayload::Command(b"start".to_vec())));
//! # Ok::<(), Box<dyn std::error::Error>>(())
//! ```

mod action;
mod batch;
mod entry;
mod error;
mod history;
mod ids;
mod message;
mod node;
mod progress;
mod settings;
mod status;
mod window;
mod write;

pub use action::{ConsensusAction, ConsensusEvent, MembershipChange, ProposalRefusal, ReplicaRole};
pub use entry::{EntryPayload, LogEntry, ReplicaSet};
pub use error::{ConsensusError, Result};
pub use ids::{LogIndex, LogTerm, ProposalId, ReplicaId, WriteTicket};
pub use message::ConsensusMessage;
pub use node::ConsensusNode;
pub use settings::ConsensusSettings;
#[doc(hidden)]
pub use settings::DisabledMechanisms;
pub use status::{ConsensusStatus, PeerStatus};
pub use write::{HardState, LogSnapshot, LogWrite, RecoveredLog};
