//! The racks of a scheduling cycle.

use parsleywalk_units::ServiceName;

use crate::candidate::CandidateWorker;
use crate::rack_forecast::RackForecast;

/// The workers of a service on a rack that can receive runs.
#[derive(Debug)]
pub(crate) struct RackRow<'a> {
    pub(crate) service: &'a ServiceName,
    pub(crate) rack: &'a str,
    /// The indexes of the workers among the candidates.
    pub(crate) workers: Vec<usize>,
    /// The forecast, once a step has asked for it.
    pub(crate) forecast: Option<RackForecast>,
    /// The cores that were free when the cycle first asked for a rack, and those that become free, less those of the
    /// rack-local steps that have chosen the rack since. It decides only at which racks such a step looks closely.
    pub(crate) potential_cores: u64,
}

/// The racks of a cycle, built when a step first asks for one.
#[derive(Debug, Default)]
pub(crate) struct RackIndex<'a> {
    /// By service and rack.
    rows: Option<Vec<RackRow<'a>>>,
}

impl<'a> RackIndex<'a> {
    /// Returns all racks.
    pub(crate) fn rows(&mut self, candidates: &[CandidateWorker<'a>]) -> &mut Vec<RackRow<'a>> {
        self.rows.get_or_insert_with(|| rows_of(candidates))
    }

    /// Returns the position of a rack, if it has workers.
    pub(crate) fn position(
        &mut self,
        candidates: &[CandidateWorker<'a>],
        service: &ServiceName,
        rack: &str,
    ) -> Option<usize> {
        let rows = self.rows(candidates);
        rows.binary_search_by(|row| row.service.cmp(service).then_with(|| row.rack.cmp(rack))).ok()
    }
}

fn rows_of<'a>(candidates: &[CandidateWorker<'a>]) -> Vec<RackRow<'a>> {
    let located = candidates.iter().enumerate().filter_map(|(index, candidate)| {
        let view = candidate.view;
        Some((&view.service, view.rack.as_deref()?, index))
    });
    let mut located: Vec<_> = located.collect();
    located.sort_unstable();
    let mut rows: Vec<RackRow> = Vec::new();
    for (service, rack, index) in located {
        let cores = u64::from(candidates[index].free_best_effort.get());
        match rows.last_mut().filter(|row| (row.service, row.rack) == (service, rack)) {
            Some(row) => {
                row.workers.push(index);
                row.potential_cores += cores;
            }
            None => {
                rows.push(RackRow { service, rack, workers: vec![index], forecast: None, potential_cores: cores });
            }
        }
    }
    rows
}
