//! The counters of a run.

use std::fmt::{self, Display, Formatter};
use std::ops::AddAssign;

macro_rules! totals {
    ($($(#[$doc:meta])* $name:ident,)+) => {
        /// The counters of a run, displayed as `name=value` pairs.
        #[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
        pub struct SoakTotals {
            $($(#[$doc])* pub $name: u64,)+
        }

        impl AddAssign for SoakTotals {
            fn add_assign(&mut self, other: Self) {
                $(self.$name += other.$name;)+
            }
        }

        impl Display for SoakTotals {
            fn fmt(&self, formatter: &mut Formatter<'_>) -> fmt::Result {
                let counts = [$((stringify!($name), self.$name),)+];
                let words: Vec<String> = counts.iter().map(|(name, count)| format!("{name}={count}")).collect();
                formatter.write_str(&words.join(" "))
            }
        }
    };
}

totals! {
    /// Simulation events handled.
    events,
    /// The simulated time of the run in seconds.
    simulated_seconds,
    /// Leaders that became ready after an election.
    elections,
    /// Kills of daemons.
    kills,
    /// Disks that were replaced by empty ones.
    disks_lost,
    /// Link cuts.
    cuts,
    /// Freezes of daemons and workers.
    freezes,
    /// Messages lost, because of a cut or at random.
    messages_lost,
    /// Messages duplicated.
    messages_duplicated,
    /// Snapshots installed on a replica or observer.
    snapshots,
    /// Workers stopped to be restarted with a new incarnation.
    worker_restarts,
    /// Workers removed permanently.
    workers_lost,
    /// Workers that the leader declared lost because their lease expired.
    expired_workers,
    /// Attempts started.
    starts,
    /// Attempts that started from a checkpoint.
    resumes,
    /// Attempts stopped on order.
    evictions,
    /// Attempts that stopped because their lease expired.
    expired_attempts,
    /// Jobs whose submission was confirmed.
    jobs,
    /// Cancels sent.
    cancels,
    /// Operators' commands, without resends.
    operations,
    /// Resends of operators' commands.
    operation_resends,
    /// Responses to operators that accepted a configuration.
    configurations,
    /// Committed changes that took a zone out of service or returned it.
    zone_changes,
    /// Requests received by an entry daemon, including resends.
    requests,
    /// Requests that got an endpoint's response.
    whole,
    /// Requests that were refused as not run.
    not_run,
    /// Requests that ended with an unknown outcome.
    unknown,
    /// Requests forwarded to an entry daemon of another zone.
    forwards,
    /// Executions of requests at endpoints.
    executions,
    /// Endpoints that announced that they were leaving.
    endpoint_leaves,
    /// Start and eviction commands that the policy did not decide, sent to test that invalid ones are rejected.
    faulty_commands,
}
