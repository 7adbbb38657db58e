//! Replicated state of batch jobs, and the leader's scheduling of their tasks on workers.
//!
//! A job is a graph of steps, and a step is a set of equal tasks. [`BatchState`] holds the queue configuration, the
//! zones, the jobs and the runs placed on each worker; it changes only by applying [`BatchCommand`]s from the
//! replicated log. [`Dispatcher`] is the leader's volatile part: it handles [`WorkerReport`]s, returns the commands to
//! commit before the response to each, responds with orders under a lease, and chooses workers for waiting tasks.
//! Nothing here does I/O or reads a clock.

mod account_cycle;
mod admission;
mod begun_jobs;
mod candidate;
mod command;
mod dispatcher;
mod drain_rate;
mod error;
mod failure_evidence;
mod gang_placement;
mod headroom_rule;
mod health;
mod ids;
mod interference;
mod job;
mod job_failures;
mod job_outlook;
mod job_work;
mod late_end;
mod late_report;
mod log_average;
mod outcomes;
mod overload;
mod overload_feed;
mod pacing;
mod place_wait;
#[cfg(test)]
mod place_wait_tests;
mod place_waits;
mod placement;
mod placement_request;
mod queues;
mod rack_cycle;
mod rack_forecast;
mod rack_index;
mod rack_placement;
mod rack_results;
mod rack_room;
mod ranking;
mod ready_step;
mod refusal_audit;
mod report;
mod restart_delays;
mod run_progress;
mod settings;
mod settlement;
mod shared_order;
mod snapshot_extension;
mod sorted_map;
mod spec;
mod state;
mod step_class;
mod step_history;
mod step_order;
mod task_shape;
#[cfg(test)]
mod test_submission;
mod unordered_runs;
mod urgency;
#[cfg(test)]
mod urgency_tests;
mod waiting;
mod work_backlog;
mod work_feed;
mod work_kind;
mod work_model;
#[cfg(test)]
mod work_model_tests;
mod worker_ends;
mod worker_rank;
mod worker_speed;
mod worker_view;
mod workspace;
mod workspace_allocations;
mod workspace_shares;
mod workspace_summary;

pub use admission::JobRefusal;
pub use command::{BatchCommand, JobSubmission, RunEnd, RunOutcome, RunPlacement, decode_commands, encode_commands};
pub use dispatcher::{Dispatcher, ReportAction};
pub use error::{BatchError, Result};
pub use ids::{EndNumber, FencingToken, JobId, RunNumber, TaskKey};
pub use job::{JobRecord, JobStatus, OccurrenceRecord, StepRecord, TaskRecord};
pub use job_failures::JobFailures;
pub use place_wait::PlaceWaitPolicy;
pub use place_waits::PlaceWaitResults;
pub use queues::{AdviceRule, JobQueue, QueueConfiguration, WorkerPool};
pub use report::{ReportResponse, RunningTask, StartOrder, WorkerOrders, WorkerReport};
pub use settings::DispatchSettings;
pub use sorted_map::SortedMap;
pub use spec::{JobSchedule, JobSpec, MAX_JOB_STEPS, MAX_JOB_TASKS, MAX_PAYLOAD_BYTES, StepSpec};
pub use state::{BatchReply, BatchState, PlacedRun, WorkerRecord};
pub use workspace::{ApiKey, Workspace, WorkspaceConfiguration};
pub use workspace_summary::WorkspaceUsage;
