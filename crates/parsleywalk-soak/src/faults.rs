//! Faults drawn from the seed.

use parsleywalk_consensus::ReplicaId;
use parsleywalk_units::ZoneDirection;
use rand::RngExt;

use crate::daemon::{DAEMON_ZONES, Daemon, ZONES};
use crate::endpoints::EndpointMode;
use crate::event::{Event, Party};
use crate::world::World;

/// The workers that may be lost for good in one run.
const LOST_WORKERS: u64 = 3;

impl World {
    /// Now and then draws one fault, or several at once.
    pub(crate) fn disturb(&mut self) {
        if !self.random.random_ratio(1, 10) {
            return;
        }
        loop {
            match self.random.random_range(0..32) {
                0..10 => self.disturb_daemon(),
                10..16 => self.disturb_network(),
                16..23 => self.disturb_worker(),
                23..27 => self.disturb_endpoint(),
                27 => self.flood_cancels(),
                28 => self.strand_zone(),
                29 => self.race_starts(),
                30 => self.cut_power(),
                _ => self.end_faults(),
            }
            if !self.random.random_ratio(1, 4) {
                return;
            }
        }
    }

    /// The daemon that leads, half of the time; otherwise any.
    fn draw_daemon(&mut self) -> usize {
        let any = self.random.random_range(0..self.daemons.len());
        self.leader().filter(|_| self.random.random_ratio(1, 2)).unwrap_or(any)
    }

    /// The newest leader that is ready.
    pub(crate) fn leader(&self) -> Option<usize> {
        let places = 0..self.daemons.len();
        let term = |place: usize| {
            let log = self.daemons[place].process.as_ref()?.coordinator.log();
            log.is_ready().then(|| (log.term(), place))
        };
        places.filter_map(term).max().map(|(_, place)| place)
    }

    fn disturb_daemon(&mut self) {
        let daemon = self.draw_daemon();
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
            (9, _) => self.lose_some_disk(daemon),
            _ => {}
        }
    }

    fn freeze_daemon(&mut self, daemon: usize, millis: u64) {
        let until = self.now + millis * 1000;
        self.daemons[daemon].frozen_until = until;
        self.oracle.postpone(daemon, self.now, until);
        self.totals.freezes += 1;
        self.note(format_args!("freeze daemon {daemon} for {millis} ms"));
    }

    /// Empties a disk, if every earlier loss has been repaired.
    fn lose_some_disk(&mut self, daemon: usize) {
        let present = |voter: &ReplicaId| self.daemons.iter().any(|it| it.id == *voter);
        let newest = self.daemons.iter().filter_map(|it| it.process.as_ref()).max_by_key(|it| it.coordinator.applied());
        let Some(newest) = newest.filter(|it| it.coordinator.applied() >= self.oracle.frontier) else { return };
        let voters = newest.coordinator.log().voters();
        let commit = newest.coordinator.log().commit();
        let pending = self.daemons.iter().flat_map(|it| it.disk.members_after(commit));
        let is_whole = voters.len() >= 5 && voters.iter().all(present) && pending.into_iter().all(|it| present(&it));
        if is_whole && Daemon::is_replica(daemon) {
            self.lose_disk(daemon);
            self.start_daemon(daemon);
            self.totals.disks_lost += 1;
        }
    }

    fn disturb_network(&mut self) {
        let daemon = self.draw_daemon();
        let other = self.random.random_range(0..self.daemons.len());
        match self.random.random_range(0..14) {
            0 => self.cut(Party::Daemon(daemon), Party::Daemon(other), false),
            1 => self.cut(Party::Daemon(daemon), Party::Daemon(other), true),
            2 | 3 => (0..self.daemons.len()).for_each(|to| self.cut(Party::Daemon(daemon), Party::Daemon(to), true)),
            4 | 5 => self.cut_zone(),
            6..9 => self.cuts.clear(),
            9 => self.loss = self.random.random_range(0..200),
            10 => self.duplication = self.random.random_range(0..200),
            11 => self.delay = [1000, 5000, 50_000, 400_000][self.random.random_range(0..4)],
            12 => self.sync = [1000, 5000, 50_000, 400_000][self.random.random_range(0..4)],
            _ => (self.loss, self.duplication, self.delay, self.sync) = (0, 0, 2000, 3000),
        }
        let (cuts, loss, delay) = (self.cuts.len(), self.loss, self.delay);
        self.note(format_args!("network: {cuts} cuts, loss {loss}, delay {delay}"));
    }

    fn cut(&mut self, from: Party, to: Party, both: bool) {
        if from != to {
            self.totals.cuts += 1;
            self.cuts.insert((from, to));
            if both {
                self.cuts.insert((to, from));
            }
        }
    }

    fn cut_zone(&mut self) {
        let zone = self.random.random_range(0..ZONES.len());
        let one_way = self.random.random_ratio(1, 4);
        for from in (0..DAEMON_ZONES.len()).filter(|it| DAEMON_ZONES[*it] == zone) {
            for to in (0..DAEMON_ZONES.len()).filter(|it| DAEMON_ZONES[*it] != zone) {
                self.cut(Party::Daemon(from), Party::Daemon(to), !one_way);
            }
        }
    }

    fn disturb_worker(&mut self) {
        let worker = self.random.random_range(0..self.workers.len());
        match self.random.random_range(0..12) {
            0..4 => {
                let longest = [500, 2000, 9000][self.random.random_range(0..3)];
                let until = self.now + self.random.random_range(50..longest) * 1000;
                if self.workers[worker].is_up {
                    let now = self.now;
                    self.workers[worker].freeze(now, until);
                    self.totals.freezes += 1;
                    self.note(format_args!("freeze worker {worker} until {until}"));
                }
            }
            4..7 => {
                let both = self.random.random_ratio(2, 3);
                for daemon in 0..self.daemons.len() {
                    if self.random.random_ratio(3, 4) {
                        self.cut(Party::Worker(worker), Party::Daemon(daemon), both);
                    }
                }
            }
            7..9 => self.restart_some_worker(worker),
            9 if self.totals.workers_lost < LOST_WORKERS && self.random.random_ratio(1, 4) => {
                if self.workers[worker].is_up {
                    self.stop_worker(worker);
                    self.workers[worker].is_gone = true;
                    self.totals.workers_lost += 1;
                }
            }
            _ => self.cuts.retain(|(from, to)| ![from, to].contains(&&Party::Worker(worker))),
        }
    }

    fn restart_some_worker(&mut self, worker: usize) {
        if self.workers[worker].is_up {
            self.stop_worker(worker);
            self.totals.worker_restarts += 1;
            let wait = self.random.random_range(50_000..4_000_000);
            let life = self.workers[worker].life;
            self.schedule(self.now + wait, Event::RestartWorker { worker, life });
        }
    }

    fn disturb_endpoint(&mut self) {
        let endpoint = self.random.random_range(0..self.endpoints.len());
        let mode = match self.random.random_range(0..8) {
            0 | 1 => EndpointMode::Leaving,
            2 => EndpointMode::Down,
            3 => EndpointMode::Silent,
            4 => EndpointMode::Failing,
            _ => EndpointMode::Serving,
        };
        let present = self.endpoints[endpoint].mode;
        let can_leave = present != EndpointMode::Down && present != EndpointMode::Leaving;
        if mode != present && (mode != EndpointMode::Leaving || can_leave) {
            self.set_endpoint(endpoint, mode);
        }
    }

    /// Freezes the leader, mostly cut off, while workers of its zone reach nobody else, and takes the zone out meanwhile.
    fn strand_zone(&mut self) {
        let Some(leader) = self.leader() else { return };
        let zone = DAEMON_ZONES[leader];
        for worker in (0..self.workers.len()).filter(|it| it % ZONES.len() == zone) {
            for daemon in (0..self.daemons.len()).filter(|it| *it != leader) {
                self.cut(Party::Worker(worker), Party::Daemon(daemon), true);
            }
        }
        // Tasks that are placed and not started yet are what the old leader could still order.
        self.submit_burst(leader);
        if self.random.random_ratio(2, 3) {
            // Nothing tells the old leader of a newer one before it handles the reports that wait.
            (0..self.daemons.len()).for_each(|to| self.cut(Party::Daemon(leader), Party::Daemon(to), true));
        }
        let millis = self.random.random_range(1500..12_000);
        self.freeze_daemon(leader, millis);
        self.begin_zone_change(ZONES[zone], ZoneDirection::Out);
    }

    /// Submits jobs at a daemon and lets the leader place some of their tasks.
    fn submit_burst(&mut self, daemon: usize) {
        for _ in 0..6 {
            let job = self.new_job();
            self.schedule(self.now, Event::Job { daemon, job, cancel: false });
        }
        let span = self.random.random_range(30_000..400_000);
        self.run_for(span);
    }

    /// Evicts tasks that are placed while the answers with their starts are under way on a slow network.
    fn race_starts(&mut self) {
        let Some(leader) = self.leader() else { return };
        (self.delay, self.duplication) = (self.random.random_range(100_000..500_000), 300);
        self.note("evictions race starts");
        for _ in 0..3 {
            self.submit_burst(leader);
            self.evict_starting(leader);
        }
    }

    /// Kills a majority at one moment while writes wait for their sync; they start again with the next faults.
    fn cut_power(&mut self) {
        self.sync = [3000, 50_000, 400_000][self.random.random_range(0..3)];
        let span = self.random.random_range(0..600_000);
        self.run_for(span);
        self.note("power cut");
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

    /// Ends most faults, so that the run meets the next ones from a sound state.
    pub(crate) fn end_faults(&mut self) {
        self.note("faults end");
        self.cuts.clear();
        (self.loss, self.duplication, self.delay, self.sync) = (0, 0, 2000, 3000);
        for daemon in 0..self.daemons.len() {
            if self.daemons[daemon].process.is_none() {
                self.start_daemon(daemon);
            }
        }
        for endpoint in 0..self.endpoints.len() {
            if self.endpoints[endpoint].mode != EndpointMode::Serving {
                self.set_endpoint(endpoint, EndpointMode::Serving);
            }
        }
    }
}
