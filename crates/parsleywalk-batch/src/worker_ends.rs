//! The predicted ends of the runs on a worker.

use std::time::Duration;

use parsleywalk_units::MonotonicTime;

use crate::rack_forecast::RoomRelease;
use crate::rack_room::RackRoom;
use crate::work_model::WorkModel;
use crate::worker_view::WorkerView;
use crate::{BatchState, JobId, WorkerRecord};

/// A run that has not ended this long after its predicted end no longer counts: nothing is known of its end.
const MAX_OVERDUE_TIME: Duration = Duration::from_millis(500);

/// The predicted ends of a worker's runs, as of a report and a version of its record.
#[derive(Debug, Default)]
pub(crate) struct WorkerEnds {
    /// The sequence number of the report and the version of the record.
    source: (u64, u64),
    /// The ends by time. Long-running tasks do not end.
    ends: Vec<(MonotonicTime, RackRoom)>,
}

impl WorkerEnds {
    /// Predicts the ends again if there is a newer report or a run has been placed or removed. Away from its rack a task
    /// takes `remote_factor` times as long.
    pub(crate) fn refresh(
        &mut self,
        now: MonotonicTime,
        state: &BatchState,
        view: &WorkerView,
        record: &WorkerRecord,
        (model, remote_factor): (&WorkModel, f32),
    ) {
        let source = (view.sequence, record.version);
        if self.source == source {
            return;
        }
        self.source = source;
        self.ends.clear();
        let mut known: Option<((JobId, u16), Duration)> = None;
        for (task, entry) in record.runs.iter() {
            let run = view.running.get(task).filter(|run| run.run == entry.run);
            let submission = run.and_then(|run| run.submission.as_ref());
            let Some(submission) = submission.or_else(|| state.job(task.job).map(|job| &job.submission)) else {
                continue;
            };
            let Some(spec) = submission.spec.steps.get(usize::from(task.step)) else { continue };
            if spec.long_running {
                continue;
            }
            let step = (task.job, task.step);
            let duration = match known.filter(|(known, _)| *known == step) {
                Some((_, duration)) => duration,
                None => model.predict(submission, task.step),
            };
            known = Some((step, duration));
            let is_remote = spec.preferred_rack.is_some() && spec.preferred_rack != view.rack;
            let duration = if is_remote { duration.mul_f32(remote_factor) } else { duration };
            let end = match run {
                Some(run) => view.reported_at + run.remaining_time(duration, view.reported_at),
                None => now + duration,
            };
            self.ends.push((end, RackRoom::of_run(&entry.size, entry.best_effort)));
        }
        self.ends.sort_unstable_by_key(|(end, _)| *end);
    }

    /// Returns the capacity that becomes free within a time, with the time until then. The leader learns of an end after
    /// `report_delay` on average.
    pub(crate) fn releases(&self, now: MonotonicTime, horizon: Duration, report_delay: Duration) -> Vec<RoomRelease> {
        let first = self.ends.partition_point(|(end, _)| *end + MAX_OVERDUE_TIME < now);
        let in_time = self.ends[first..].iter().take_while(|(end, _)| *end <= now + horizon);
        let release =
            |(end, room): &(MonotonicTime, RackRoom)| RoomRelease { after: end.since(now) + report_delay, room: *room };
        in_time.map(release).collect()
    }
}
