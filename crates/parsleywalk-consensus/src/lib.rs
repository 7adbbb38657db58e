//! A leader-based replicated log as a pure state machine.
//!
//! A [`ConsensusNode`] does no I/O and reads no clock. Its owner calls [`ConsensusNode::step`] with the time and one
//! [`ConsensusEvent`], and carries out the returned [`ConsensusAction`]s in order. The time is read from the process's
//! monotonic clock after the event has arrived. A step is due at [`ConsensusNode::next_deadline`] at the latest.
//!
//! # Writing
//!
//! [`ConsensusAction::Persist`] is asynchronous: writes are collected, synced together and reported with
//! [`ConsensusEvent::Persisted`], in ticket order. Whatever depends on a write, such as a vote, an acknowledgement or the
//! leader's own copy, waits inside the node until then.
//!
//! # Proposing
//!
//! A leader answers [`ConsensusEvent::Propose`] with `Accepted` and later applies an entry with the same index and term.
//! `Refused` ends a proposal otherwise. After an `Accepted`, the only possible reason is
//! [`ProposalRefusal::LeadershipLost`]: whether the entry is committed is then unknown.
//!
//! # Leading
//!
//! [`ConsensusNode::is_ready`] tells whether everything that earlier leaders committed is applied.
//! [`ConsensusNode::has_leader_lease`] tells whether no other replica can be elected at that moment. The lease is counted
//! from the sending of the heartbeat that a quorum has answered; followers withhold their votes for as long as clocks that
//! drift by the permitted amount need. A restarted follower withholds its vote for the same time.
//!
//! # Members
//!
//! A replica is a VM and an incarnation ([`ReplicaId`]). A replica that is not a voter announces itself as a learner and
//! receives the log. A newer incarnation of a voter's VM replaces the older one as soon as it holds everything committed
//! and the older one is silent. Other changes are asked for with [`ConsensusEvent::ChangeMembership`]. A change takes two
//! entries: the first needs majorities of the old and the new voters, the second repeats the set once the first is
//! committed and ends the change. Until then further changes are refused, and [`ConsensusNode::is_changing_membership`] tells that a
//! replica which leaves must not be switched off yet.
//!
//! Messages addressed to [`ReplicaId::any`] go to whichever incarnation lives on the VM; others are dropped by the link if
//! another incarnation lives there.
//!
//! # Example
//!
//! The only member of a set leads as soon as its first write is synced:
//!
//! ```
//! use parsleywalk_consensus::{
//!     ConsensusAction, ConsensusEvent, ConsensusNode, ConsensusSettings, EntryPayload, ProposalId, RecoveredLog,
//!     ReplicaSet,
//! };
//! use parsleywalk_units::MonotonicTime;
//!
//! let id = "vm1.7f2a".parse()?;
//! let recovered = RecoveredLog::founded(ReplicaSet::new(vec![id]));
//! let mut node = ConsensusNode::open(ConsensusSettings::default(), id, recovered, 1, MonotonicTime::ZERO)?;
//!
//! let mut events = vec![ConsensusEvent::Tick];
//! let mut applied = Vec::new();
//! let mut proposed = false;
//! while let Some(event) = events.pop() {
//!     for action in node.step(MonotonicTime::from_millis(1), event) {
//!         match action {
//!             // A daemon hands the write to its storage thread and reports it after the sync.
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
