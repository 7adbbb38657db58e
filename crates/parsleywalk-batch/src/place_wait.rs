//! Whether the tasks of a step wait for a rack.
//!
//! A task away from the rack of its data, and a rack-local step on several racks, takes `remote_factor` times as long. A
//! task waits while the expected wait for capacity on the rack and the time there are below the time elsewhere. Waits are
//! bounded, because the forecast may be wrong; see `docs/design/place-wait.md`.

use std::time::Duration;

use crate::rack_forecast::RackForecast;
use crate::rack_room::{RackRoom, TaskNeed};

/// How long a job with nothing running may be idle before a wait ends. Callers must not see it idle for longer than 1.5 s,
/// and a placement takes up to 0.3 s until the task runs.
const MAX_IDLE_TIME: Duration = Duration::from_millis(1200);
/// How much of the slack is left when a wait ends, because a placement takes time.
const SLACK_MARGIN: Duration = Duration::from_millis(200);
/// The part of the detour that a new wait may take. On a hot rack every won wait is one that another task loses, so that
/// longer waits only add up: with twice the time elsewhere, jobs then ended later than without waiting.
const MAX_DETOUR_SHARE: u32 = 2;
/// The most tasks of a step that a decision looks at. If they may wait, so may the others.
const MAX_TASK_LOOKS: u32 = 400;

/// How it is decided whether to wait for a rack. All but the default serve comparison with it.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub enum PlaceWaitPolicy {
    /// Wait for the operators' bound, whatever is expected (delay scheduling).
    Fixed,
    /// Wait for as long as the job would still be in time elsewhere.
    Slack,
    /// Wait while the expected wait is shorter than what it gains.
    #[default]
    Gain,
}

/// What the decision for the tasks of a step depends on, besides the forecast of the rack.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(crate) struct PlaceWait {
    pub(crate) policy: PlaceWaitPolicy,
    /// The predicted duration of a task on the rack.
    pub(crate) duration: Duration,
    pub(crate) remote_factor: f32,
    /// How much later a task may start on the rack so that its job is in time; `None` if the job has no deadline.
    pub(crate) slack: Option<Duration>,
    /// For how long the job has had nothing running; `None` if it has.
    pub(crate) idle: Option<Duration>,
    /// The operators' bound.
    pub(crate) max_wait: Duration,
    /// What is left of the time stated when the wait began; `None` if it has not begun.
    pub(crate) stated: Option<Duration>,
    /// The time that lost waits for the rack have cost for each one that was won.
    pub(crate) lost_time: Duration,
}

/// The decision for the tasks of a step that find no free worker on their rack.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum PlaceDecision {
    /// All tasks go elsewhere.
    Elsewhere,
    /// All tasks wait.
    Wait {
        /// The longest wait from now.
        longest: Duration,
        /// The expected wait of the last of the tasks.
        expected: Duration,
        /// How much sooner than elsewhere the last of the tasks is expected to end.
        gain: Duration,
    },
}

impl PlaceWait {
    /// Returns how much longer a task takes elsewhere.
    pub(crate) fn detour(&self) -> Duration {
        let factor = (self.remote_factor - 1.0).max(0.0);
        Duration::try_from_secs_f32(self.duration.as_secs_f32() * factor).unwrap_or(Duration::MAX)
    }

    /// Returns the longest wait from now.
    pub(crate) fn longest(&self) -> Duration {
        let by_idleness = self.idle.map_or(Duration::MAX, |idle| MAX_IDLE_TIME.saturating_sub(idle));
        let stated = self.stated.unwrap_or_else(|| self.max_wait.min(self.slack_bound()));
        stated.min(by_idleness)
    }

    /// Returns the longest expected wait that is worth it. A new wait must also make up for what lost waits for the rack
    /// have cost for each won one.
    pub(crate) fn useful(&self) -> Duration {
        let useful = match self.stated {
            None => (self.detour() / MAX_DETOUR_SHARE).saturating_sub(self.lost_time),
            Some(_) => self.detour(),
        };
        self.longest().min(useful)
    }

    /// Returns how long a wait may be by the job's slack. A job that can be in time elsewhere must still be so after the
    /// wait. One that cannot may use all its slack, and a late job is not made late by waiting.
    fn slack_bound(&self) -> Duration {
        let Some(slack) = self.slack else { return Duration::MAX };
        match (slack.checked_sub(self.detour()), slack.is_zero()) {
            (Some(elsewhere), false) => elsewhere.saturating_sub(SLACK_MARGIN),
            (None, false) => slack,
            (_, true) if self.policy == PlaceWaitPolicy::Slack => Duration::ZERO,
            (_, true) => Duration::MAX,
        }
    }

    /// Decides for a number of tasks that find no free worker on the rack, and reserves capacity there if they wait. They
    /// wait all or not at all: a step ends with its last task, so that waiting gains nothing once one goes elsewhere.
    pub(crate) fn decide(
        &self,
        tasks: u32,
        need: &TaskNeed,
        free: &[Option<RackRoom>],
        forecast: &mut RackForecast,
    ) -> PlaceDecision {
        let longest = self.longest();
        if longest.is_zero() || tasks == 0 {
            return PlaceDecision::Elsewhere;
        }
        let is_blind = self.policy != PlaceWaitPolicy::Gain;
        if is_blind {
            return PlaceDecision::Wait { longest, expected: Duration::ZERO, gain: self.detour() };
        }
        let Some(expected) = self.last_wait(tasks, need, free, forecast) else { return PlaceDecision::Elsewhere };
        PlaceDecision::Wait { longest, expected, gain: self.detour().saturating_sub(expected) }
    }

    /// Reserves capacity for a number of tasks and returns the expected wait of the last one, or `None` if it is not worth
    /// it.
    pub(crate) fn last_wait(
        &self,
        tasks: u32,
        need: &TaskNeed,
        free: &[Option<RackRoom>],
        forecast: &mut RackForecast,
    ) -> Option<Duration> {
        forecast.reserve(tasks.min(MAX_TASK_LOOKS), (need, self.duration), free, self.useful())
    }
}
