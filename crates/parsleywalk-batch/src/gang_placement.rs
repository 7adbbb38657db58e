//! Placement of gangs, whose tasks run only all together.

use crate::candidate::CandidateWorker;
use crate::placement_request::{HealthLeniency, PlacementRequest};
use crate::rack_placement::{PlacedStep, best_rack};
use crate::ranking::WorkerRanking;
use crate::{Dispatcher, RunPlacement, TaskKey};

impl Dispatcher {
    /// Places all tasks of a gang or none, on any worker. Without leniency, workers on probation get at most one of them:
    /// then a gang with more members than there are such workers would never be placed.
    pub(crate) fn place_gang_anywhere(
        &self,
        step: &PlacedStep<'_>,
        leniency: HealthLeniency,
        candidates: &mut [CandidateWorker<'_>],
        placements: &mut Vec<RunPlacement>,
    ) {
        let &PlacedStep { job, spec, record, first, .. } = step;
        if record.tasks.iter().any(|task| task.live > 0) {
            return;
        }
        let rack = spec.rack_local.then(|| best_rack(job, spec, record.waiting, candidates)).flatten();
        let request = self.placement_request(&job.submission, spec, first, rack.as_deref(), step.min_headroom);
        self.place_gang(step, &PlacementRequest { leniency, ..request }, None, candidates, placements);
    }

    /// Places all tasks of a gang without runs or none, on the given workers or on any.
    pub(crate) fn place_gang(
        &self,
        step: &PlacedStep<'_>,
        request: &PlacementRequest<'_>,
        workers: Option<&[usize]>,
        candidates: &mut [CandidateWorker<'_>],
        placements: &mut Vec<RunPlacement>,
    ) {
        let &PlacedStep { spec, record, first, .. } = step;
        let run = record.tasks.iter().map(|task| task.last_run).max().unwrap_or_default().next();
        let rank = |candidate: &CandidateWorker<'_>| self.rank_worker(request, None, candidate);
        let mut ranking = match workers {
            Some(workers) => WorkerRanking::of(workers, candidates, rank),
            None => WorkerRanking::new(candidates, rank),
        };
        let mut chosen = Vec::with_capacity(record.tasks.len());
        for index in 0..spec.count {
            let key = TaskKey { index, ..first };
            let Some(worker_index) = self.choose_worker(request, &key, &mut ranking, candidates) else {
                for (worker_index, _) in chosen {
                    let candidate: &mut CandidateWorker<'_> = &mut candidates[worker_index];
                    candidate.unassign(spec, &first);
                }
                return;
            };
            let candidate = &mut candidates[worker_index];
            chosen.push((worker_index, candidate.assign(spec, key, run)));
            ranking.update(worker_index, self.rank_worker(request, None, candidate));
        }
        placements.extend(chosen.into_iter().map(|(_, placement)| placement));
    }
}
