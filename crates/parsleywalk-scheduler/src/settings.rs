//! Settings of the policy.

use std::time::Duration;

/// Settings of the policy. Each mechanism can be switched off, which measurements use.
#[derive(Debug, Clone, PartialEq)]
#[expect(clippy::struct_excessive_bools, reason = "one switch for each mechanism")]
pub struct PolicySettings {
    /// How long a proposal is taken as pending before it is made again.
    pub pending: Duration,
    /// How long a kind of task that could not be placed rests before the next try.
    pub retry: Duration,
    /// Workers looked at in each zone for one start.
    pub candidates: usize,
    /// Workers that a search passes over where the sample finds no room; searches continue where the last one stopped.
    pub walk: usize,
    /// Commit more than declared where observed usage shows the need.
    pub learned_sizes: bool,
    /// Use observed run times in place of declared ones.
    pub learned_run_times: bool,
    /// Hold a worker for a large task that has waited, and start short tasks there meanwhile.
    pub backfill: bool,
    /// How long a task waits before a worker is held for it.
    pub hold_after: Duration,
    /// Order teams by their weighted dominant share instead of by arrival.
    pub fairness: bool,
    /// Spread instances of a service over zones, racks and workers.
    pub spread: bool,
    /// Put instances beside instances within the limits of the spread, so that they meet less batch.
    pub together: bool,
    /// Keep room for the service instances of any one rack.
    pub rack_reserve: bool,
    /// Avoid pairs that are known to interfere.
    pub interference_placement: bool,
    /// The share of batch starts that ignore the interference estimate, to refresh it.
    pub exploration: f64,
    /// Half-life of the interference estimate without new samples.
    pub interference_half_life: Duration,
    /// Throttle and evict batch tasks that slow services.
    pub guards: bool,
    /// Guards compare with running alone at the highest recent load instead of the present one.
    pub tail_budget: bool,
    /// Guards take the next step only when a report measured after the last one took effect has arrived.
    pub guard_waits: bool,
    /// Time from a guard's order to its full effect at the worker.
    pub guard_effect: Duration,
    /// How long a service stays fast before a guard releases one level.
    pub guard_release_delay: Duration,
    /// Quarantine workers that fail everything, and fail tasks that fail on several healthy workers.
    pub quarantine: bool,
    /// Distinct healthy workers on which a task fails before it is ended.
    pub failures: usize,
    /// The first pause between probes of a quarantined worker; doubles up to 8 times.
    pub probe_backoff: Duration,
    /// A zone that returns takes starts gradually.
    pub zone_ramp: bool,
    /// How long the ramp takes.
    pub ramp: Duration,
    /// Evict the tasks that lose the least; otherwise the newest ones.
    pub least_loss: bool,
}

impl Default for PolicySettings {
    fn default() -> Self {
        Self {
            pending: Duration::from_secs(2),
            retry: Duration::from_millis(100),
            candidates: 4,
            walk: 64,
            learned_sizes: true,
            learned_run_times: true,
            backfill: true,
            hold_after: Duration::from_secs(10),
            fairness: true,
            spread: true,
            together: true,
            rack_reserve: true,
            interference_placement: true,
            exploration: 0.02,
            interference_half_life: Duration::from_mins(30),
            guards: true,
            tail_budget: true,
            guard_waits: true,
            guard_effect: Duration::from_secs(2),
            guard_release_delay: Duration::from_secs(30),
            quarantine: true,
            failures: 3,
            probe_backoff: Duration::from_secs(30),
            zone_ramp: true,
            ramp: Duration::from_mins(1),
            least_loss: true,
        }
    }
}
