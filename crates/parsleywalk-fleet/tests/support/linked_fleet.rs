//! Three replicas and an entry whose connections pass through links that can be cut.

use std::net::{IpAddr, SocketAddr, TcpListener};
use std::time::Duration;

use parsleywalk_fleet::{FleetSettings, LeaderReply};
use parsleywalk_testkit::{FaultyLink, LinkCut};

use super::{TestDaemon, TestFleet, configuration};

/// The delay between two packets on a link that has been cut.
const PACKET_INTERVAL: Duration = Duration::from_millis(10);
/// The number of the entry's address.
const ENTRY: u8 = 100;

/// Each daemon reaches the others at a port of its own, where a link listens.
pub(crate) struct LinkedFleet {
    fleet: TestFleet,
    replicas: Vec<TestDaemon>,
    pub(crate) entry: TestDaemon,
    links: Vec<(u8, u8, FaultyLink)>,
}

impl LinkedFleet {
    /// Starts the daemons and activates a configuration.
    pub(crate) fn start(network: u8) -> Self {
        let fleet = TestFleet::new(network);
        let numbers = [1, 2, 3, ENTRY];
        let ports = numbers.map(|number| {
            let listener = TcpListener::bind((fleet.address(number), 0)).expect("a free port");
            listener.local_addr().expect("an address").port()
        });
        let mut links = Vec::new();
        for (target, target_port) in numbers.into_iter().zip(ports).take(3) {
            let ip = IpAddr::from(fleet.address(target));
            for (source, port) in numbers.into_iter().zip(ports).filter(|(source, _)| *source != target) {
                let link = FaultyLink::start_at(SocketAddr::new(ip, port), SocketAddr::new(ip, target_port));
                links.push((source, target, link.expect("a free port")));
            }
        }
        let settings = |index: usize| FleetSettings { peer_port: ports[index], ..fleet.settings(numbers[index]) };
        let replica = |index| {
            let data_folder = Some(fleet.data_folder(numbers[index]));
            TestDaemon::start(FleetSettings { data_folder, bootstrap: true, ..settings(index) })
        };
        let replicas = (0..3).map(replica).collect();
        let entry = TestDaemon::start(settings(3));
        let linked = Self { fleet, replicas, entry, links };
        for daemon in linked.replicas.iter().chain([&linked.entry]) {
            // Opens each daemon's connection to the leader.
            daemon.wait_for(&configuration(1), |reply| *reply == LeaderReply::Done);
        }
        linked
    }

    /// Returns the leader and the two followers.
    pub(crate) fn roles(&self) -> [u8; 3] {
        let leader = self.replicas[0].leader().octets()[3];
        [leader, leader % 3 + 1, (leader + 1) % 3 + 1]
    }

    pub(crate) fn replica(&self, number: u8) -> &TestDaemon {
        &self.replicas[usize::from(number) - 1]
    }

    pub(crate) const fn entry_number() -> u8 {
        ENTRY
    }

    /// Holds back all bytes between two daemons, or lets them pass. Those held back arrive one packet after the other, as
    /// retransmitted ones do.
    pub(crate) fn set_cut(&self, one: u8, other: u8, cut: bool) {
        let cut = if cut { LinkCut::Both } else { LinkCut::None };
        for (source, target, link) in &self.links {
            if (*source, *target) == (one, other) || (*source, *target) == (other, one) {
                link.set_delay(PACKET_INTERVAL);
                link.set_cut(cut);
            }
        }
    }

    pub(crate) fn stop(self) {
        self.entry.stop();
        self.replicas.into_iter().for_each(TestDaemon::stop);
        drop(self.fleet);
    }
}
