//! A fake worker.

use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::thread;
use std::time::Instant;

use parsleywalk_api::WorkerReply;
use parsleywalk_units::{AttemptNumber, Incarnation, TaskId, ThrottleLevel};

use crate::worker_agent::{TICK_INTERVAL, WorkerAgent};
use crate::{RunLog, WorkerSettings, client};

#[derive(Debug)]
struct WorkerCore {
    settings: WorkerSettings,
    agent: Mutex<WorkerAgent>,
    entries: Mutex<Vec<SocketAddr>>,
    killed: AtomicBool,
    frozen: AtomicBool,
}

/// A fake worker, which reports to the entry daemons and simulates tasks by timers.
///
/// Dropping it has the effect of [`FakeWorker::kill`].
#[derive(Debug)]
pub struct FakeWorker {
    settings: WorkerSettings,
    incarnation: Incarnation,
    log: RunLog,
    core: Arc<WorkerCore>,
}

impl FakeWorker {
    /// Starts a worker, which reports at once and records its attempts in `log`.
    #[must_use]
    pub fn start(settings: WorkerSettings, log: RunLog) -> Self {
        let incarnation = settings.incarnation;
        let core = WorkerCore::start(settings.clone(), incarnation, log.clone());
        Self { settings, incarnation, log, core }
    }

    /// Ends all attempts without a report, as the loss of its VM would.
    pub fn kill(&self) {
        self.core.kill();
    }

    /// Kills the worker if it is running and starts it with the next incarnation.
    pub fn restart(&mut self) {
        self.core.kill();
        self.incarnation = self.incarnation.next();
        self.core = WorkerCore::start(self.settings.clone(), self.incarnation, self.log.clone());
    }

    /// Suspends the worker and its tasks, as if its VM were suspended: time passes and leases expire meanwhile.
    pub fn freeze(&self) {
        let mut agent = self.core.agent();
        agent.tick(Instant::now());
        self.core.frozen.store(true, Ordering::SeqCst);
    }

    /// Resumes the worker after [`FakeWorker::freeze`]. Tasks whose lease has expired are stopped before anything else.
    pub fn unfreeze(&self) {
        let mut agent = self.core.agent();
        let now = Instant::now();
        agent.skip_until(now);
        agent.tick(now);
        self.core.frozen.store(false, Ordering::SeqCst);
    }

    /// Replaces the entry daemons to which further reports are sent.
    pub fn set_entries(&self, entries: Vec<SocketAddr>) {
        *self.core.entries.lock().unwrap_or_else(PoisonError::into_inner) = entries;
    }

    /// Sets the tail latency that is reported for tasks without a run time, in microseconds.
    pub fn set_latency(&self, latency_us: Option<u64>) {
        self.core.agent().latency_us = latency_us;
    }

    /// Sets whether every task fails on its next tick.
    pub fn set_fails(&self, fails: bool) {
        self.core.agent().fails = fails;
    }

    /// Returns the current incarnation.
    #[must_use]
    pub const fn incarnation(&self) -> Incarnation {
        self.incarnation
    }

    /// Returns the attempts that are running.
    #[must_use]
    pub fn running(&self) -> Vec<(TaskId, AttemptNumber)> {
        self.core.agent().running()
    }

    /// Returns the throttle level of a task; `None` if it is not running on this worker.
    #[must_use]
    pub fn throttle(&self, task: TaskId) -> Option<ThrottleLevel> {
        self.core.agent().throttle(task)
    }

    /// Returns the number of start orders that exceeded the worker's free capacity. Any number but 0 means that the
    /// scheduler overcommitted the worker.
    #[must_use]
    pub fn rejected_starts(&self) -> usize {
        self.core.agent().rejected_starts
    }
}

impl Drop for FakeWorker {
    fn drop(&mut self) {
        self.kill();
    }
}

impl WorkerCore {
    fn start(settings: WorkerSettings, incarnation: Incarnation, log: RunLog) -> Arc<Self> {
        let core = Arc::new(Self {
            agent: Mutex::new(WorkerAgent::new(settings.clone(), incarnation, log, Instant::now())),
            entries: Mutex::new(settings.entries.clone()),
            settings,
            killed: AtomicBool::new(false),
            frozen: AtomicBool::new(false),
        });
        let (timer, reporter) = (Arc::clone(&core), Arc::clone(&core));
        thread::spawn(move || timer.run_tasks());
        thread::spawn(move || reporter.run_reports());
        core
    }

    fn agent(&self) -> MutexGuard<'_, WorkerAgent> {
        self.agent.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn kill(&self) {
        let mut agent = self.agent();
        if !self.killed.swap(true, Ordering::SeqCst) {
            if !self.frozen.load(Ordering::SeqCst) {
                agent.tick(Instant::now());
            }
            agent.kill(Instant::now());
        }
    }

    /// Waits until the worker is not frozen and runs `step` on the agent; returns `None` if the worker has been killed.
    ///
    /// Freezing and killing hold the agent's lock, so neither can happen between the check and the step.
    fn with_thawed_agent<T>(&self, step: impl FnOnce(&mut WorkerAgent) -> T) -> Option<T> {
        loop {
            let mut agent = self.agent();
            if self.killed.load(Ordering::SeqCst) {
                return None;
            }
            if !self.frozen.load(Ordering::SeqCst) {
                return Some(step(&mut agent));
            }
            drop(agent);
            thread::sleep(TICK_INTERVAL);
        }
    }

    fn run_tasks(&self) {
        while self.with_thawed_agent(|agent| agent.tick(Instant::now())).is_some() {
            thread::sleep(TICK_INTERVAL);
        }
    }

    fn run_reports(&self) {
        let mut target = 0;
        loop {
            let Some((sent, report)) = self.with_thawed_agent(|agent| (Instant::now(), agent.report())) else { return };
            let mut pause = self.settings.retry_delay;
            if let Some(entry) = self.entry(target) {
                let timeout = self.settings.report_timeout;
                match client::post::<_, WorkerReply>(entry, "/v1/workers/report", &report, timeout) {
                    Ok(reply) => {
                        pause = reply.report_every.as_duration();
                        if self.with_thawed_agent(|agent| agent.handle(Instant::now(), sent, &reply)).is_none() {
                            return;
                        }
                        self.add_entries(&reply.entries);
                    }
                    Err(error) => {
                        log::info!("event=report_failed worker={} error={error:?}", report.worker);
                        target += 1;
                    }
                }
            }
            let next = sent + pause;
            while Instant::now() < next {
                match self.with_thawed_agent(|agent| agent.has_unreported_change) {
                    None => return,
                    Some(true) => break,
                    Some(false) => thread::sleep(TICK_INTERVAL),
                }
            }
        }
    }

    fn entry(&self, target: usize) -> Option<SocketAddr> {
        let entries = self.entries.lock().unwrap_or_else(PoisonError::into_inner);
        (!entries.is_empty()).then(|| entries[target % entries.len()])
    }

    fn add_entries(&self, new_entries: &[SocketAddr]) {
        let mut entries = self.entries.lock().unwrap_or_else(PoisonError::into_inner);
        for entry in new_entries {
            if !entries.contains(entry) {
                entries.push(*entry);
            }
        }
    }
}
