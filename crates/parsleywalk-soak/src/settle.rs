//! The end of a run: the faults stop, and all work has to finish.

use std::time::Duration;

use parsleywalk_api::JobPhase;
use parsleywalk_units::ZoneDirection;

use crate::daemon::ZONES;
use crate::operators::FINAL_QUOTA_CORES;
use crate::oracle::state_digest;
use crate::world::World;

/// The simulated time between two checks for unfinished work.
const SETTLE_CHECK_INTERVAL_MICROS: u64 = 500_000;

impl World {
    /// Ends the faults, waits until all work has finished and checks the final state.
    pub(crate) fn settle(&mut self, limit: Duration) {
        self.settling = true;
        self.clear_faults();
        let end = self.now + u64::try_from(limit.as_micros()).unwrap_or(u64::MAX);
        while self.oracle.violation.is_none() {
            self.return_zones_to_service();
            self.raise_quota();
            self.cancel_unplaceable_jobs();
            self.run_for(SETTLE_CHECK_INTERVAL_MICROS);
            let Some(left) = self.unfinished_work() else { return self.check_final_state() };
            if self.now > end {
                self.set_violation(format!("liveness: not within {limit:?} after the faults stopped: {left}"));
            }
        }
    }

    /// Returns all zones that are out of service, unless an operation is in progress.
    fn return_zones_to_service(&mut self) {
        if self.operations.iter().all(|operation| operation.has_response) {
            let out: Vec<&str> = ZONES
                .into_iter()
                .filter(|zone| self.oracle.zones_out_of_service().any(|name| name.as_str() == *zone))
                .collect();
            for zone in out {
                self.begin_zone_change(zone, ZoneDirection::In);
            }
        }
    }

    /// Proposes a configuration with the final quota, unless it is in force or an operation is in progress.
    fn raise_quota(&mut self) {
        let expected = format!("cores: {FINAL_QUOTA_CORES},");
        let text = self.newest_state().and_then(|state| state.configuration()).map(|it| it.text.as_str());
        let is_raised = text.is_none_or(|text| text.contains(&expected));
        if !is_raised && self.operations.iter().all(|operation| operation.has_response) {
            self.propose_configuration();
        }
    }

    fn cancel_unplaceable_jobs(&mut self) {
        let unplaceable: Vec<usize> =
            (0..self.jobs.len()).filter(|job| self.jobs[*job].is_unplaceable && !self.jobs[*job].cancelled).collect();
        for job in unplaceable {
            self.send_job(job, true, 0);
        }
    }

    /// Describes an item of unfinished work, or returns `None` if all work has finished.
    fn unfinished_work(&self) -> Option<String> {
        if self.leader().is_none() {
            return Some("there is no leader".to_owned());
        }
        if let Some(copy) = self.unanswered_copy() {
            return Some(format!("copy {copy} of request {} has no response", self.callers.copies[copy].logical));
        }
        if let Some(operation) = self.operations.iter().find(|operation| !operation.has_response) {
            return Some(format!("operation {} has no response", operation.id));
        }
        if let Some(zone) = self.oracle.zones_out_of_service().next() {
            return Some(format!("zone {zone} is out of service"));
        }
        let state = self.newest_state()?;
        let open = self.jobs.iter().find(|job| state.job(&job.key).is_some_and(|it| it.ended_at().is_none()));
        if let Some(job) = open {
            return Some(format!("job {}: {:?}", job.key, state.job_status(&job.key)));
        }
        let unsettled = self.workers.iter().find(|worker| {
            worker.attempts.iter().any(|tracked| tracked.phase != parsleywalk_api::ReportedPhase::Running)
        });
        if let Some(worker) = unsettled {
            return Some(format!(
                "worker {} has ended attempts that are not settled: {:?}",
                worker.id, worker.attempts
            ));
        }
        let catalog = state.configuration().map(|configuration| &configuration.catalog);
        let expected: u32 = catalog.into_iter().flat_map(|it| &it.services).map(|service| service.instances).sum();
        let counts = state.task_counts();
        if counts.running != expected || counts.queued + counts.starting + counts.stopping > 0 {
            return Some(format!("expected {expected} running instances and no other tasks: {counts:?}"));
        }
        let lagging = self
            .daemons
            .iter()
            .find(|daemon| daemon.process.as_ref().is_none_or(|it| it.coordinator.applied() < self.oracle.max_applied));
        lagging.map(|daemon| format!("daemon {} has not applied index {}", daemon.id, self.oracle.max_applied))
    }

    fn check_final_state(&mut self) {
        let Some(state) = self.newest_state() else { return };
        let digest = state_digest(state);
        let mut violations = Vec::new();
        for job in self.jobs.iter().filter(|job| job.accepted) {
            match state.job(&job.key).map(parsleywalk_control::JobRecord::phase) {
                None => violations.push(format!("job {} was accepted and is lost", job.key)),
                Some(JobPhase::Cancelled) if !job.cancel_sent => {
                    violations.push(format!("job {} is cancelled without a cancel request", job.key));
                }
                Some(_) => {}
            }
        }
        if state.version().get() < self.oracle.accepted_version {
            violations
                .push(format!("P10: configuration version {} was accepted and is lost", self.oracle.accepted_version));
        }
        if let Err(error) = state.check_invariants() {
            violations.push(error.to_string());
        }
        for daemon in &self.daemons {
            let Some(process) = &daemon.process else { continue };
            if state_digest(process.coordinator.state()) != digest {
                violations.push(format!("the final state of {} differs", daemon.id));
            }
        }
        if let Some(violation) = violations.into_iter().next() {
            self.set_violation(violation);
        }
    }
}
