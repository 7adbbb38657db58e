//! Placement of gangs, whose tasks run only all together.

use crate::candidate::CandidateWorker;
use crate::placement::{MIN_HEADROOM, best_rack};
use crate::placement_request::{HealthLeniency, PlacementRequest};
use crate::ranking::WorkerRanking;
use crate::{Dispatcher, JobRecord, RunPlacement, StepSpec, TaskKey};

impl Dispatcher {
    /// Places all tasks of a gang or none. Without leniency, workers on probation get at most one of them: then a gang with
    /// more members than there are such workers would never be placed.
    pub(crate) fn place_gang(
        &self,
        job: &JobRecord,
        spec: &StepSpec,
        first: TaskKey,
        leniency: HealthLeniency,
        candidates: &mut [CandidateWorker<'_>],
        placements: &mut Vec<RunPlacement>,
    ) {
        let Some(record) = job.step(&first) else { return };
        if record.tasks.iter().any(|task| task.live > 0) {
            return;
        }
        let run = record.tasks.iter().map(|task| task.last_run).max().unwrap_or_default().next();
        let rack = spec.rack_local.then(|| best_rack(job, spec, record.waiting, candidates)).flatten();
        let request = self.placement_request(&job.submission, spec, first, rack.as_deref(), MIN_HEADROOM);
        let request = PlacementRequest { leniency, ..request };
        let mut ranking = WorkerRanking::new(candidates, |candidate| self.rank_worker(&request, None, candidate));
        let mut chosen = Vec::with_capacity(record.tasks.len());
        for index in 0..spec.count {
            let key = TaskKey { index, ..first };
            let Some(worker_index) = self.choose_worker(&request, &key, &mut ranking, candidates) else {
                for (worker_index, _) in chosen {
                    let candidate: &mut CandidateWorker<'_> = &mut candidates[worker_index];
                    candidate.unassign(spec, &first);
                }
                return;
            };
            let candidate = &mut candidates[worker_index];
            chosen.push((worker_index, candidate.assign(spec, key, run)));
            ranking.update(worker_index, self.rank_worker(&request, None, candidate));
        }
        placements.extend(chosen.into_iter().map(|(_, placement)| placement));
    }
}
