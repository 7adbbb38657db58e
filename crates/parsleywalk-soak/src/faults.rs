//! Random faults.

use parsleywalk_consensus::ReplicaId;
use parsleywalk_units::ZoneDirection;
use rand::RngExt;

use crate::daemon::{DAEMON_ZONES, Daemon, ZONES};
use crate::endpoints::EndpointMode;
use crate::event::{Event, NetworkNode};
use crate::world::World;

/// The most workers that are removed permanently in one run.
const MAX_LOST_WORKERS: u64 = 3;

impl World {
    /// Injects one or several random faults in a tenth of the steps.
    pub(crate) fn inject_faults(&mut self) {
        if !self.random.random_ratio(1, 10) {
            return;
        }
        loop {
            match self.random.random_range(0..32) {
                0..10 => self.inject_daemon_fault(),
                10..16 => self.inject_network_fault(),
                16..23 => self.inject_worker_fault(),
                23..27 => self.inject_endpoint_fault(),
                27 => self.cancel_many_jobs(),
                28 => self.isolate_leader_zone(),
                29 => self.race_evictions_with_starts(),
                30 => self.power_outage(),
                _ => self.clear_faults(),
            }
            if !self.random.random_ratio(1, 4) {
                return;
            }
        }
    }

    /// Returns the leader with a probability of one half, otherwise any daemon.
    fn random_daemon(&mut self) -> usize {
        let any = self.random.random_range(0..self.daemons.len());
        self.leader().filter(|_| self.random.random_ratio(1, 2)).unwrap_or(any)
    }

    /// Returns the ready leader with the highest term.
    pub(crate) fn leader(&self) -> Option<usize> {
        let indexes = 0..self.daemons.len();
        let term = |index: usize| {
            let log = self.daemons[index].process.as_ref()?.coordinator.log();
            log.is_ready().then(|| (log.term(), index))
        };
        indexes.filter_map(term).max().map(|(_, index)| index)
    }

    fn inject_daemon_fault(&mut self) {
        let daemon = self.random_daemon();
        let stopped = self.daemons.iter().position(|it| it.process.is_none());
        match (self.random.random_range(0..10), stopped) {
            (0..3, None) => {
                self.kill_daemon(daemon);
                self.totals.kills += 1;
            }
            (0..2, Some(_)) if self.daemons[daemon].process.is_some() => {
                self.kill_daemon(daemon);
                self.totals.kills += 1;
            }
            (0..6, Some(stopped)) => self.start_daemon(stopped),
            (6..9, _) => {
                let longest = [300, 1500, 4000, 12_000][self.random.random_range(0..4)];
                let millis = self.random.random_range(50..longest);
                self.freeze_daemon(daemon, millis);
            }
            (9, _) => self.lose_disk_if_safe(daemon),
            _ => {}
        }
    }

    fn freeze_daemon(&mut self, daemon: usize, millis: u64) {
        let until = self.now + millis * 1000;
        self.daemons[daemon].frozen_until = until;
        self.oracle.postpone_forbidden(daemon, self.now, until);
        self.totals.freezes += 1;
        self.push_trace(format_args!("freeze daemon {daemon} for {millis} ms"));
    }

    /// Replaces a replica's disk by an empty one, unless an earlier loss has not been repaired yet.
    fn lose_disk_if_safe(&mut self, daemon: usize) {
        let is_present = |voter: &ReplicaId| self.daemons.iter().any(|it| it.id == *voter);
        let newest = self.daemons.iter().filter_map(|it| it.process.as_ref()).max_by_key(|it| it.coordinator.applied());
        let Some(newest) = newest.filter(|it| it.coordinator.applied() >= self.oracle.max_applied) else { return };
        let voters = newest.coordinator.log().voters();
        let commit = newest.coordinator.log().commit();
        let pending = self.daemons.iter().flat_map(|it| it.disk.members_after(commit));
        let is_repaired =
            voters.len() >= 5 && voters.iter().all(is_present) && pending.into_iter().all(|it| is_present(&it));
        if is_repaired && Daemon::is_replica(daemon) {
            self.lose_disk(daemon);
            self.start_daemon(daemon);
            self.totals.disks_lost += 1;
        }
    }

    fn inject_network_fault(&mut self) {
        let daemon = self.random_daemon();
        let other = self.random.random_range(0..self.daemons.len());
        match self.random.random_range(0..14) {
            0 => self.cut(NetworkNode::Daemon(daemon), NetworkNode::Daemon(other), false),
            1 => self.cut(NetworkNode::Daemon(daemon), NetworkNode::Daemon(other), true),
            2 | 3 => (0..self.daemons.len())
                .for_each(|to| self.cut(NetworkNode::Daemon(daemon), NetworkNode::Daemon(to), true)),
            4 | 5 => self.partition_zone(),
            6..9 => self.cuts.clear(),
            9 => self.loss_permille = self.random.random_range(0..200),
            10 => self.duplication_permille = self.random.random_range(0..200),
            11 => self.max_delay = [1000, 5000, 50_000, 400_000][self.random.random_range(0..4)],
            12 => self.max_sync = [1000, 5000, 50_000, 400_000][self.random.random_range(0..4)],
            _ => (self.loss_permille, self.duplication_permille, self.max_delay, self.max_sync) = (0, 0, 2000, 3000),
        }
        let (cuts, loss, delay) = (self.cuts.len(), self.loss_permille, self.max_delay);
        self.push_trace(format_args!("network: {cuts} cut links, loss {loss} per mille, delay up to {delay} us"));
    }

    fn cut(&mut self, from: NetworkNode, to: NetworkNode, both: bool) {
        if from != to {
            self.totals.cuts += 1;
            self.cuts.insert((from, to));
            if both {
                self.cuts.insert((to, from));
            }
        }
    }

    fn partition_zone(&mut self) {
        let zone = self.random.random_range(0..ZONES.len());
        let one_way = self.random.random_ratio(1, 4);
        for from in (0..DAEMON_ZONES.len()).filter(|it| DAEMON_ZONES[*it] == zone) {
            for to in (0..DAEMON_ZONES.len()).filter(|it| DAEMON_ZONES[*it] != zone) {
                self.cut(NetworkNode::Daemon(from), NetworkNode::Daemon(to), !one_way);
            }
        }
    }

    fn inject_worker_fault(&mut self) {
        let worker = self.random.random_range(0..self.workers.len());
        match self.random.random_range(0..12) {
            0..4 => {
                let longest = [500, 2000, 9000][self.random.random_range(0..3)];
                let until = self.now + self.random.random_range(50..longest) * 1000;
                if self.workers[worker].is_up {
                    let now = self.now;
                    self.workers[worker].freeze(now, until);
                    self.totals.freezes += 1;
                    self.push_trace(format_args!("freeze worker {worker} until {until} us"));
                }
            }
            4..7 => {
                let both = self.random.random_ratio(2, 3);
                for daemon in 0..self.daemons.len() {
                    if self.random.random_ratio(3, 4) {
                        self.cut(NetworkNode::Worker(worker), NetworkNode::Daemon(daemon), both);
                    }
                }
            }
            7..9 => self.schedule_worker_restart(worker),
            9 if self.totals.workers_lost < MAX_LOST_WORKERS && self.random.random_ratio(1, 4) => {
                if self.workers[worker].is_up {
                    self.stop_worker(worker);
                    self.workers[worker].is_removed = true;
                    self.totals.workers_lost += 1;
                }
            }
            _ => self.cuts.retain(|(from, to)| ![from, to].contains(&&NetworkNode::Worker(worker))),
        }
    }

    fn schedule_worker_restart(&mut self, worker: usize) {
        if self.workers[worker].is_up {
            self.stop_worker(worker);
            self.totals.worker_restarts += 1;
            let wait = self.random.random_range(50_000..4_000_000);
            let generation = self.workers[worker].generation;
            self.schedule(self.now + wait, Event::RestartWorker { worker, generation });
        }
    }

    fn inject_endpoint_fault(&mut self) {
        let endpoint = self.random.random_range(0..self.endpoints.len());
        let mode = match self.random.random_range(0..8) {
            0 | 1 => EndpointMode::Leaving,
            2 => EndpointMode::Down,
            3 => EndpointMode::Silent,
            4 => EndpointMode::Failing,
            _ => EndpointMode::Serving,
        };
        let current = self.endpoints[endpoint].mode;
        let can_leave = current != EndpointMode::Down && current != EndpointMode::Leaving;
        if mode != current && (mode != EndpointMode::Leaving || can_leave) {
            self.set_endpoint_mode(endpoint, mode);
        }
    }

    /// Freezes the leader, in most cases with its links cut, while the workers of its zone can reach no other daemon,
    /// and takes the zone out of service meanwhile.
    fn isolate_leader_zone(&mut self) {
        let Some(leader) = self.leader() else { return };
        let zone = DAEMON_ZONES[leader];
        for worker in (0..self.workers.len()).filter(|it| it % ZONES.len() == zone) {
            for daemon in (0..self.daemons.len()).filter(|it| *it != leader) {
                self.cut(NetworkNode::Worker(worker), NetworkNode::Daemon(daemon), true);
            }
        }
        // The old leader could still order the start of tasks that it has placed and that have not started yet.
        self.submit_burst(leader);
        if self.random.random_ratio(2, 3) {
            // With its links cut, the old leader handles pending reports before it learns of a newer leader.
            (0..self.daemons.len()).for_each(|to| self.cut(NetworkNode::Daemon(leader), NetworkNode::Daemon(to), true));
        }
        let millis = self.random.random_range(1500..12_000);
        self.freeze_daemon(leader, millis);
        self.begin_zone_change(ZONES[zone], ZoneDirection::Out);
    }

    /// Submits jobs to a daemon and lets the leader place some of their tasks.
    fn submit_burst(&mut self, daemon: usize) {
        for _ in 0..6 {
            let job = self.new_job();
            self.schedule(self.now, Event::Job { daemon, job, cancel: false });
        }
        let span = self.random.random_range(30_000..400_000);
        self.run_for(span);
    }

    /// Evicts placed tasks while the responses with their start orders are in transit on a slow network.
    fn race_evictions_with_starts(&mut self) {
        let Some(leader) = self.leader() else { return };
        (self.max_delay, self.duplication_permille) = (self.random.random_range(100_000..500_000), 300);
        self.push_trace("evictions race starts");
        for _ in 0..3 {
            self.submit_burst(leader);
            self.evict_starting_tasks(leader);
        }
    }

    /// Kills all daemons but at most one at the same moment, while disk syncs are pending, and starts them again.
    fn power_outage(&mut self) {
        self.max_sync = [3000, 50_000, 400_000][self.random.random_range(0..3)];
        let span = self.random.random_range(0..600_000);
        self.run_for(span);
        self.push_trace("power outage");
        let spared = self.random.random_range(0..self.daemons.len() * 2);
        for daemon in (0..self.daemons.len()).filter(|daemon| *daemon != spared) {
            if self.daemons[daemon].process.is_some() {
                self.kill_daemon(daemon);
                self.totals.kills += 1;
            }
        }
        for daemon in 0..self.daemons.len() {
            if self.daemons[daemon].process.is_none() {
                self.start_daemon(daemon);
            }
        }
    }

    /// Ends the faults of the network, of stopped daemons and of endpoints, so that later faults start from a healthy
    /// state. Freezes run out and workers that were stopped permanently stay so.
    pub(crate) fn clear_faults(&mut self) {
        self.push_trace("faults end");
        self.cuts.clear();
        (self.loss_permille, self.duplication_permille, self.max_delay, self.max_sync) = (0, 0, 2000, 3000);
        for daemon in 0..self.daemons.len() {
            if self.daemons[daemon].process.is_none() {
                self.start_daemon(daemon);
            }
        }
        for endpoint in 0..self.endpoints.len() {
            if self.endpoints[endpoint].mode != EndpointMode::Serving {
                self.set_endpoint_mode(endpoint, EndpointMode::Serving);
            }
        }
    }
}
