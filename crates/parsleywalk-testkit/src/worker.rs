//! A stand-in for a worker.

use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::thread;
use std::time::Instant;

use parsleywalk_api::WorkerReply;
use parsleywalk_units::{AttemptNumber, Incarnation, TaskId, ThrottleLevel};

use crate::worker_agent::{TICK, WorkerAgent};
use crate::{RunLog, WorkerSettings, client};

#[derive(Debug)]
struct WorkerCore {
    settings: WorkerSettings,
    agent: Mutex<WorkerAgent>,
    entries: Mutex<Vec<SocketAddr>>,
    killed: AtomicBool,
    frozen: AtomicBool,
}

/// A stand-in for a worker: reports to the entries and runs tasks as timers.
///
/// Dropping it kills it.
#[derive(Debug)]
pub struct FakeWorker {
    settings: WorkerSettings,
    incarnation: Incarnation,
    log: RunLog,
    core: Arc<WorkerCore>,
}

impl FakeWorker {
    /// Starts to report; what it runs is recorded in `log`.
    #[must_use]
    pub fn start(settings: WorkerSettings, log: RunLog) -> Self {
        let incarnation = settings.incarnation;
        let core = WorkerCore::start(settings.clone(), incarnation, log.clone());
        Self { settings, incarnation, log, core }
    }

    /// Ends everything that runs, without a report, as the loss of the VM does.
    pub fn kill(&self) {
        self.core.kill();
    }

    /// Kills the worker where it still runs and starts it under the next incarnation.
    pub fn restart(&mut self) {
        self.core.kill();
        self.incarnation = self.incarnation.next();
        self.core = WorkerCore::start(self.settings.clone(), self.incarnation, self.log.clone());
    }

    /// Suspends the worker with its tasks, as a suspended VM is: its clock and leases run on.
    pub fn freeze(&self) {
        let mut agent = self.core.agent();
        agent.tick(Instant::now());
        self.core.frozen.store(true, Ordering::SeqCst);
    }

    /// Continues after [`FakeWorker::freeze`]. Tasks whose lease has ended are stopped before anything else.
    pub fn unfreeze(&self) {
        let mut agent = self.core.agent();
        let now = Instant::now();
        agent.skip_until(now);
        agent.tick(now);
        self.core.frozen.store(false, Ordering::SeqCst);
    }

    /// Changes where later reports go.
    pub fn set_entries(&self, entries: Vec<SocketAddr>) {
        *self.core.entries.lock().unwrap_or_else(PoisonError::into_inner) = entries;
    }

    /// Sets the tail latency that endless tasks report.
    pub fn set_latency(&self, latency_us: Option<u64>) {
        self.core.agent().latency_us = latency_us;
    }

    /// Sets whether every task fails.
    pub fn set_fails(&self, fails: bool) {
        self.core.agent().fails = fails;
    }

    /// The incarnation under which it reports.
    #[must_use]
    pub const fn incarnation(&self) -> Incarnation {
        self.incarnation
    }

    /// The attempts that run.
    #[must_use]
    pub fn running(&self) -> Vec<(TaskId, AttemptNumber)> {
        self.core.agent().running()
    }

    /// How strongly a running task is slowed; `None` when it does not run here.
    #[must_use]
    pub fn throttle(&self, task: TaskId) -> Option<ThrottleLevel> {
        self.core.agent().throttle(task)
    }

    /// How many start orders did not fit into the worker; any but 0 means that it was committed beyond its capacity.
    #[must_use]
    pub fn no_room(&self) -> usize {
        self.core.agent().no_room
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

    /// Runs `step` on the agent as soon as the worker is not frozen; returns `None` once it has been killed.
    ///
    /// Freezing and killing hold the agent's lock, so neither can come between the test and the step.
    fn when_awake<T>(&self, step: impl FnOnce(&mut WorkerAgent) -> T) -> Option<T> {
        loop {
            let mut agent = self.agent();
            if self.killed.load(Ordering::SeqCst) {
                return None;
            }
            if !self.frozen.load(Ordering::SeqCst) {
                return Some(step(&mut agent));
            }
            drop(agent);
            thread::sleep(TICK);
        }
    }

    fn run_tasks(&self) {
        while self.when_awake(|agent| agent.tick(Instant::now())).is_some() {
            thread::sleep(TICK);
        }
    }

    fn run_reports(&self) {
        let mut target = 0;
        loop {
            let Some((sent, report)) = self.when_awake(|agent| (Instant::now(), agent.report())) else { return };
            let mut pause = self.settings.retry_every;
            if let Some(entry) = self.entry(target) {
                let timeout = self.settings.report_timeout;
                match client::post::<_, WorkerReply>(entry, "/v1/workers/report", &report, timeout) {
                    Ok(reply) => {
                        pause = reply.report_every.as_duration();
                        if self.when_awake(|agent| agent.handle(Instant::now(), sent, &reply)).is_none() {
                            return;
                        }
                        self.learn(&reply.entries);
                    }
                    Err(error) => {
                        log::info!("event=report_failed worker={} error={error:?}", report.worker);
                        target += 1;
                    }
                }
            }
            let next = sent + pause;
            while Instant::now() < next {
                match self.when_awake(|agent| agent.has_news) {
                    None => return,
                    Some(true) => break,
                    Some(false) => thread::sleep(TICK),
                }
            }
        }
    }

    fn entry(&self, target: usize) -> Option<SocketAddr> {
        let entries = self.entries.lock().unwrap_or_else(PoisonError::into_inner);
        (!entries.is_empty()).then(|| entries[target % entries.len()])
    }

    fn learn(&self, named: &[SocketAddr]) {
        let mut entries = self.entries.lock().unwrap_or_else(PoisonError::into_inner);
        for entry in named {
            if !entries.contains(entry) {
                entries.push(*entry);
            }
        }
    }
}
