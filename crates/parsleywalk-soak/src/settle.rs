//! The end of a run: the faults stop and everything has to end.

use std::time::Duration;

use parsleywalk_api::JobPhase;
use parsleywalk_units::ZoneDirection;

use crate::daemon::ZONES;
use crate::operators::SETTLED_QUOTA;
use crate::oracle::state_digest;
use crate::world::World;

/// The wait between two looks at what is left.
const LOOK_EVERY: u64 = 500_000;

impl World {
    /// Ends every fault, waits until everything has ended and checks what is left.
    pub(crate) fn settle(&mut self, limit: Duration) {
        self.settling = true;
        self.end_faults();
        let end = self.now + u64::try_from(limit.as_micros()).unwrap_or(u64::MAX);
        while self.oracle.violation.is_none() {
            self.bring_zones_in();
            self.lift_quota();
            self.cancel_impossible();
            self.run_for(LOOK_EVERY);
            let Some(left) = self.unfinished() else { return self.check_end() };
            if self.now > end {
                self.violate(format!("liveness: not within {limit:?} after the faults stopped: {left}"));
            }
        }
    }

    /// Sends an `in` for a zone that is out, unless one is under way.
    fn bring_zones_in(&mut self) {
        if self.operations.iter().all(|operation| operation.heard) {
            let out: Vec<&str> =
                ZONES.into_iter().filter(|zone| self.oracle.zones_out().any(|name| name.as_str() == *zone)).collect();
            for zone in out {
                self.begin_zone_change(zone, ZoneDirection::In);
            }
        }
    }

    /// Proposes a configuration with the quota of the end, unless one is in force or under way.
    fn lift_quota(&mut self) {
        let wanted = format!("cores: {SETTLED_QUOTA},");
        let text = self.newest_state().and_then(|state| state.configuration()).map(|it| it.text.as_str());
        let is_lifted = text.is_none_or(|text| text.contains(&wanted));
        if !is_lifted && self.operations.iter().all(|operation| operation.heard) {
            self.propose_configuration();
        }
    }

    fn cancel_impossible(&mut self) {
        let stuck: Vec<usize> =
            (0..self.jobs.len()).filter(|job| self.jobs[*job].impossible && !self.jobs[*job].cancelled).collect();
        for job in stuck {
            self.send_job(job, true, 0);
        }
    }

    /// Says what has not ended yet.
    fn unfinished(&self) -> Option<String> {
        if self.leader().is_none() {
            return Some("there is no leader".to_owned());
        }
        if let Some(copy) = self.unanswered_copy() {
            return Some(format!("copy {copy} of request {} has no answer", self.callers.copies[copy].logical));
        }
        if let Some(operation) = self.operations.iter().find(|operation| !operation.heard) {
            return Some(format!("operation {} has no answer", operation.id));
        }
        if let Some(zone) = self.oracle.zones_out().next() {
            return Some(format!("zone {zone} is out"));
        }
        let state = self.newest_state()?;
        let open = self.jobs.iter().find(|job| state.job(&job.key).is_some_and(|it| it.ended_at().is_none()));
        if let Some(job) = open {
            return Some(format!("job {}: {:?}", job.key, state.job_status(&job.key)));
        }
        let unsettled = self
            .workers
            .iter()
            .find(|worker| worker.held.iter().any(|held| held.phase != parsleywalk_api::ReportedPhase::Running));
        if let Some(worker) = unsettled {
            return Some(format!("worker {} holds {:?}", worker.id, worker.held));
        }
        let catalog = state.configuration().map(|configuration| &configuration.catalog);
        let wanted: u32 = catalog.into_iter().flat_map(|it| &it.services).map(|service| service.instances).sum();
        let counts = state.task_counts();
        if counts.running != wanted || counts.queued + counts.starting + counts.stopping > 0 {
            return Some(format!("{wanted} instances are wanted: {counts:?}"));
        }
        let lagging = self
            .daemons
            .iter()
            .find(|daemon| daemon.process.as_ref().is_none_or(|it| it.coordinator.applied() < self.oracle.frontier));
        lagging.map(|daemon| format!("{} has not applied {}", daemon.id, self.oracle.frontier))
    }

    fn check_end(&mut self) {
        let Some(state) = self.newest_state() else { return };
        let digest = state_digest(state);
        let mut faults = Vec::new();
        for job in self.jobs.iter().filter(|job| job.accepted) {
            match state.job(&job.key).map(parsleywalk_control::JobRecord::phase) {
                None => faults.push(format!("job {} was accepted and is lost", job.key)),
                Some(JobPhase::Cancelled) if !job.cancel_sent => {
                    faults.push(format!("job {} is cancelled and nobody asked for it", job.key));
                }
                Some(_) => {}
            }
        }
        if state.version().get() < self.oracle.accepted_version {
            faults.push(format!("P10: version {} was accepted and is gone", self.oracle.accepted_version));
        }
        if let Err(error) = state.check_invariants() {
            faults.push(error.to_string());
        }
        for daemon in &self.daemons {
            let Some(process) = &daemon.process else { continue };
            if state_digest(process.coordinator.state()) != digest {
                faults.push(format!("the state of {} differs at the end", daemon.id));
            }
        }
        if let Some(fault) = faults.into_iter().next() {
            self.violate(fault);
        }
    }
}
