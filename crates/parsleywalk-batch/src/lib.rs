//! Jobs as graphs of steps: the replicated state, and the leader's decisions about workers.
//!
//! [`BatchState`] holds the configuration of queues, the zones, the jobs and which worker runs what. It changes only by
//! [`BatchCommand`]s of the replicated log. [`Dispatcher`] is the leader's volatile part: it takes [`WorkerReport`]s,
//! says what must be committed before each is answered, answers with orders under a lease, and chooses workers for
//! waiting tasks. Nothing here does I/O or reads a clock.

mod admission;
mod candidate;
mod command;
mod dispatcher;
mod error;
mod ids;
mod interference;
mod job;
mod pacing;
mod placement;
mod queues;
mod report;
mod settings;
mod spec;
mod state;
mod suspicion;
mod table;
mod urgency;
mod worker_view;

pub use admission::JobRefusal;
pub use command::{BatchCommand, JobSubmission, RunEnd, RunOutcome, RunPlacement, decode_commands, encode_commands};
pub use dispatcher::{Dispatcher, ReportStep};
pub use error::{BatchError, Result};
pub use ids::{EndNumber, FencingToken, JobId, RunNumber, TaskKey};
pub use job::{JobRecord, JobStatus, OccurrenceRecord, StepRecord, TaskRecord};
pub use queues::{AdviceRule, JobQueue, QueueConfiguration, WorkerPool};
pub use report::{ReportResponse, RunningTask, StartOrder, WorkerOrders, WorkerReport};
pub use settings::DispatchSettings;
pub use spec::{JobSchedule, JobSpec, STEP_LIMIT, StepSpec, TASK_LIMIT};
pub use state::{BatchReply, BatchState, CommittedRun, WorkerRecord};
pub use table::SortedTable;
