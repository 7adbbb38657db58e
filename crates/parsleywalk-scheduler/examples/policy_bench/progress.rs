//! Progress of tasks in one second, and their ends.

use parsleywalk_scheduler::TaskOutcome;
use parsleywalk_units::TaskId;
use rand::RngExt;

use crate::ground_truth::WORKER_COUNT;
use crate::simulation::{
    COLD_START_SECONDS, Phase, RESTORE_SECONDS, STOP_CHECKPOINT_SHARE, Simulation, cores_of, memory_of,
    remaining_core_share, worker_size,
};

impl Simulation {
    pub(crate) fn progress(&mut self) {
        let demand = self.demand();
        let ids: Vec<TaskId> = self.tasks.keys().copied().collect();
        for id in ids {
            self.progress_task(id, &demand);
        }
        for worker in 0..WORKER_COUNT {
            self.check_memory(worker);
        }
    }

    /// Returns the cores that the tasks of each worker demand.
    pub(crate) fn demand(&self) -> Vec<f64> {
        let mut demand = vec![0.0; WORKER_COUNT];
        for task in self.tasks.values().filter(|task| task.phase != Phase::Queued) {
            demand[task.worker] += task.cores * remaining_core_share(task.throttle);
        }
        demand
    }

    fn progress_task(&mut self, id: TaskId, demand: &[f64]) {
        let tick = self.tick;
        let Some(task) = self.tasks.get(&id) else { return };
        if task.phase == Phase::Queued {
            return;
        }
        if let Phase::Stopping(until) = task.phase {
            if tick >= until {
                self.finish_stop(id);
            }
            return;
        }
        let (worker, since, critical, always_fails) = (task.worker, task.since, task.critical, task.always_fails);
        if critical {
            if tick == since + COLD_START_SECONDS
                && let Some(old) = task.replaces
            {
                self.end(old, TaskOutcome::Cancelled);
            }
            return;
        }
        if (self.workers[worker].broken && tick >= since + 5) || (always_fails && tick >= since + 20) {
            self.fail_attempt(id);
            return;
        }
        let declared = self.declared(&self.tasks[&id]);
        let checkpoint = self.ground_truth.batch[self.tasks[&id].service].checkpoint;
        let Some(task) = self.tasks.get_mut(&id) else { return };
        if tick < task.since + RESTORE_SECONDS {
            return;
        }
        let speed = remaining_core_share(task.throttle) * (cores_of(&worker_size()) / demand[worker]).min(1.0);
        task.done += speed;
        if task.done - task.saved >= checkpoint {
            task.saved = task.done;
        }
        let gained = speed * Self::work_rate(task, &declared);
        let ended = task.done >= task.total;
        if !always_fails {
            self.measure.add_completed_work(tick, gained);
        }
        if ended {
            self.measure.completed += 1;
            self.end(id, TaskOutcome::Done);
        }
    }

    fn finish_stop(&mut self, id: TaskId) {
        let checkpointed = self.rng.random_bool(STOP_CHECKPOINT_SHARE);
        let Some(task) = self.tasks.get_mut(&id) else { return };
        if task.cancelled {
            self.end(id, TaskOutcome::Cancelled);
            return;
        }
        if checkpointed {
            task.saved = task.done;
        }
        let (before, always_fails) = (task.saved, task.always_fails);
        if !always_fails {
            self.record_lost_progress(id);
        }
        self.end(id, TaskOutcome::Evicted);
        let resumed = self.tasks.get(&id).map_or(before, |task| task.done);
        if resumed < before {
            self.measure.lost_checkpoints += 1;
        }
    }

    fn fail_attempt(&mut self, id: TaskId) {
        let Some(task) = self.tasks.get_mut(&id) else { return };
        task.failures += 1;
        let (failures, always_fails) = (task.failures, task.always_fails);
        self.measure.failures += 1;
        if !always_fails {
            self.record_lost_progress(id);
        }
        // The replicated state ends the job after many failures if the policy does not.
        if failures >= 20 {
            self.measure.abandoned_jobs += 1;
            self.end(id, TaskOutcome::Cancelled);
        } else {
            self.end(id, TaskOutcome::Failed);
        }
    }

    /// Kills the batch task with the most memory if the tasks of a worker need more memory than the worker has.
    fn check_memory(&mut self, worker: usize) {
        let ids = self.tasks_on(worker);
        let used: f64 = ids.iter().map(|id| self.tasks[id].memory).sum();
        if used <= memory_of(&worker_size()) {
            return;
        }
        let batch = ids.iter().filter(|id| !self.tasks[id].critical && self.tasks[id].phase == Phase::Running);
        let largest = batch.max_by(|one, other| self.tasks[one].memory.total_cmp(&self.tasks[other].memory)).copied();
        if let Some(id) = largest {
            self.measure.oom_kills += 1;
            self.record_lost_progress(id);
            self.end(id, TaskOutcome::Failed);
        }
    }
}
