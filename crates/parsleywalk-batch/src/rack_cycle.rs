//! What a scheduling cycle knows of racks and of the steps that wait for them.

use parsleywalk_units::MonotonicTime;

use crate::candidate::CandidateWorker;
use crate::place_waits::PlaceWaits;
use crate::rack_forecast::RackForecast;
use crate::rack_index::RackIndex;
use crate::worker_ends::WorkerEnds;
use crate::{BatchState, Dispatcher};

/// The state of a cycle in which steps may wait for racks. Nothing is computed before a step asks for a rack.
#[derive(Debug)]
pub(crate) struct RackCycle<'a> {
    /// How many times as long a task takes elsewhere; `None` if no step waits.
    pub(crate) remote_factor: Option<f32>,
    pub(crate) waits: PlaceWaits,
    pub(crate) index: RackIndex<'a>,
    /// The number of steps that have looked for a rack.
    pub(crate) searches: usize,
}

impl<'a> RackCycle<'a> {
    /// Returns the forecast of the rack at a position.
    pub(crate) fn forecast(
        &mut self,
        dispatcher: &Dispatcher,
        (now, state): (MonotonicTime, &BatchState),
        position: usize,
        candidates: &[CandidateWorker<'a>],
    ) -> &mut RackForecast {
        let model = (&dispatcher.work_model, self.remote_factor.unwrap_or(1.0));
        let report_delay = dispatcher.settings.report_period(dispatcher.workers.len()) / 2;
        let ends = &mut self.waits.ends;
        let row = &mut self.index.rows(candidates)[position];
        let (potential_cores, workers) = (&mut row.potential_cores, &row.workers);
        row.forecast.get_or_insert_with(|| {
            let forecast = RackForecast::new(workers.iter().map(|worker| {
                let candidate = &candidates[*worker];
                let Some(record) = candidate.record else { return Vec::new() };
                if !ends.contains(candidate.id) {
                    ends.insert(candidate.id.clone(), WorkerEnds::default());
                }
                let Some(ends) = ends.get_mut(candidate.id) else { return Vec::new() };
                ends.refresh(now, state, candidate.view, record, model);
                ends.releases(now, dispatcher.settings.max_place_wait, report_delay)
            }));
            *potential_cores += forecast.released_cores();
            forecast
        })
    }
}

impl Dispatcher {
    /// Returns the state of a cycle. A new leader lets no step wait while reports of workers may still be missing.
    pub(crate) fn begin_rack_cycle<'a>(&mut self, now: MonotonicTime) -> RackCycle<'a> {
        let is_known = now.since(self.leader_since) >= crate::admission::LEADER_WARM_UP;
        let remote_factor = self.settings.remote_factor.filter(|factor| is_known && *factor > 1.0);
        RackCycle {
            remote_factor,
            waits: std::mem::take(&mut self.place_waits),
            index: RackIndex::default(),
            searches: 0,
        }
    }
}
