//! The workers that can receive the tasks of one step, best first.
//!
//! The tasks of a step are equal, and placing one changes the rank of the chosen worker only. The workers are therefore
//! ranked once for each step: a step costs one look at every worker instead of one for each of its tasks.

use std::cmp::Reverse;
use std::collections::BinaryHeap;

use crate::candidate::CandidateWorker;
use crate::worker_rank::WorkerRank;

/// The ranked workers of one step.
pub(crate) struct WorkerRanking {
    heap: BinaryHeap<Reverse<(WorkerRank, usize)>>,
}

impl WorkerRanking {
    /// Ranks the workers for which `rank` returns a value.
    pub(crate) fn new(
        candidates: &[CandidateWorker<'_>],
        rank: impl Fn(&CandidateWorker<'_>) -> Option<WorkerRank>,
    ) -> Self {
        let ranked = candidates.iter().enumerate();
        let ranked = ranked.filter_map(|(index, candidate)| Some(Reverse((rank(candidate)?, index))));
        Self { heap: ranked.collect() }
    }

    /// Ranks some workers for which `rank` returns a value.
    pub(crate) fn of(
        workers: &[usize],
        candidates: &[CandidateWorker<'_>],
        rank: impl Fn(&CandidateWorker<'_>) -> Option<WorkerRank>,
    ) -> Self {
        let ranked = workers.iter().filter_map(|index| Some(Reverse((rank(&candidates[*index])?, *index))));
        Self { heap: ranked.collect() }
    }

    /// Returns the index of the best worker. An entry whose worker has changed since it was ranked is discarded,
    /// because [`WorkerRanking::update`] has added its successor.
    pub(crate) fn best(
        &mut self,
        candidates: &[CandidateWorker<'_>],
        rank: impl Fn(&CandidateWorker<'_>) -> Option<WorkerRank>,
    ) -> Option<usize> {
        loop {
            let Reverse((known, index)) = *self.heap.peek()?;
            if rank(&candidates[index]) == Some(known) {
                return Some(index);
            }
            self.heap.pop();
        }
    }

    /// Ranks a worker again after its free capacity has changed.
    pub(crate) fn update(&mut self, index: usize, rank: Option<WorkerRank>) {
        if let Some(rank) = rank {
            self.heap.push(Reverse((rank, index)));
        }
    }
}
