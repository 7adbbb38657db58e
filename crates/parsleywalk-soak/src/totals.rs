//! What happened in a run.

use std::fmt::{self, Display, Formatter};
use std::ops::AddAssign;

macro_rules! totals {
    ($($(#[$doc:meta])* $name:ident,)+) => {
        /// Counts of what happened in a run.
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
    /// Events handled.
    events,
    /// Simulated seconds.
    seconds,
    /// Leaders that became ready.
    elections,
    /// Daemons killed.
    kills,
    /// Disks lost.
    disks_lost,
    /// Cuts made.
    cuts,
    /// Freezes of daemons and workers.
    freezes,
    /// Messages lost, by cuts and otherwise.
    lost,
    /// Messages duplicated.
    duplicated,
    /// Snapshots installed.
    snapshots,
    /// Workers restarted under a new incarnation.
    worker_restarts,
    /// Workers that were lost for good.
    workers_lost,
    /// Losses of workers that were committed.
    lease_ends,
    /// Attempts started.
    starts,
    /// Attempts that resumed from a checkpoint.
    resumes,
    /// Attempts stopped on order.
    evictions,
    /// Attempts that ended with their lease.
    lease_stops,
    /// Jobs whose submission was answered.
    jobs,
    /// Cancels sent.
    cancels,
    /// Operators' commands.
    operations,
    /// Operators' commands sent again.
    operation_resends,
    /// Configurations accepted.
    configurations,
    /// Zone changes committed.
    zone_changes,
    /// Requests, resends included.
    requests,
    /// Requests answered by an endpoint.
    whole,
    /// Requests answered as not run.
    not_run,
    /// Requests answered as unknown.
    unknown,
    /// Requests sent to another zone's entry.
    forwards,
    /// Executions at endpoints.
    executions,
    /// Endpoints that left.
    leaves,
    /// Start and eviction commands from a proposer that is wrong.
    faulty_commands,
}
