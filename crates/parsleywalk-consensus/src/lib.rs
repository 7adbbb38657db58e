//! A leader-based replicated log as a pure state machine.

mod action;
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
