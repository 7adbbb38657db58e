//! Settings of the scheduling policy.

use std::time::Duration;

/// Settings of the scheduling policy. Each mechanism has a switch, so that benchmarks can measure its effect.
#[derive(Debug, Clone, PartialEq)]
#[expect(clippy::struct_excessive_bools, reason = "one switch for each mechanism")]
pub struct PolicySettings {
    /// How long a proposal counts as pending before it is repeated.
    pub proposal_timeout: Duration,
    /// First backoff of a task group that could not be placed. For plain batch work it doubles with each failed search,
    /// up to 16 times this value.
    pub retry_backoff: Duration,
    /// Workers sampled in each zone for one batch start; twice as many are sampled for a service instance.
    pub candidates_per_zone: usize,
    /// Workers scanned in each zone when the sample has no worker with enough free capacity. Each scan continues where
    /// the previous one stopped.
    pub scan_limit: usize,
    /// Base allocations on observed usage: allocate more memory than declared where tasks of the service use more.
    pub learned_sizes: bool,
    /// Use observed run times instead of declared ones.
    pub learned_run_times: bool,
    /// Reserve a worker for a batch task that has waited long, and backfill it with short tasks meanwhile.
    pub backfill: bool,
    /// How long a batch task waits before a worker is reserved for it.
    pub reservation_delay: Duration,
    /// Order teams by their weighted dominant share instead of by arrival.
    pub fairness: bool,
    /// Spread the instances of a service over zones, racks and workers.
    pub spread: bool,
    /// Pack instances onto workers that already run instances, within the limits of `spread`, so that less batch work
    /// runs beside them.
    pub instance_packing: bool,
    /// Keep enough capacity free to restart the service instances of any one rack.
    pub rack_reserve: bool,
    /// Avoid placing services together that are known to interfere.
    pub interference_avoidance: bool,
    /// Share of batch starts that ignore the interference estimate to collect new samples, from 0 to 1.
    pub exploration_rate: f64,
    /// Half-life of an interference estimate without new samples; zero disables the decay.
    pub interference_half_life: Duration,
    /// Throttle and evict batch tasks that slow services.
    pub guards: bool,
    /// Compare latencies with the baseline at the highest recent load instead of the current load.
    pub tail_budget: bool,
    /// Delay the next guard step until reports show the effect of the previous one.
    pub guard_waits_for_effect: bool,
    /// Time from a guard step to its full effect on the worker.
    pub guard_effect_delay: Duration,
    /// How long the slowdown must stay low before a guard releases one throttle level.
    pub guard_release_delay: Duration,
    /// Quarantine workers on which all tasks fail, and end tasks that fail on several healthy workers.
    pub quarantine: bool,
    /// Number of distinct healthy workers on which a task must fail to be ended as failed.
    pub failed_worker_limit: usize,
    /// First backoff before a quarantined worker is probed; doubles with each failed probe, up to 8 times this value.
    pub probe_backoff: Duration,
    /// Limit the start rate in a zone that is back in service.
    pub zone_ramp: bool,
    /// How long the start rate of a zone stays limited.
    pub ramp: Duration,
    /// Evict the tasks that lose the least work instead of the newest tasks.
    pub least_loss_eviction: bool,
}

impl Default for PolicySettings {
    fn default() -> Self {
        Self {
            proposal_timeout: Duration::from_secs(2),
            retry_backoff: Duration::from_millis(100),
            candidates_per_zone: 4,
            scan_limit: 64,
            learned_sizes: true,
            learned_run_times: true,
            backfill: true,
            reservation_delay: Duration::from_secs(10),
            fairness: true,
            spread: true,
            instance_packing: true,
            rack_reserve: true,
            interference_avoidance: true,
            exploration_rate: 0.02,
            interference_half_life: Duration::from_mins(30),
            guards: true,
            tail_budget: true,
            guard_waits_for_effect: true,
            guard_effect_delay: Duration::from_secs(2),
            guard_release_delay: Duration::from_secs(30),
            quarantine: true,
            failed_worker_limit: 3,
            probe_backoff: Duration::from_secs(30),
            zone_ramp: true,
            ramp: Duration::from_mins(1),
            least_loss_eviction: true,
        }
    }
}
