//! Tests that odd or malformed input ends no daemon and costs sound workers nothing.

mod common;

use std::io::Write;
use std::net::TcpStream;

use common::platform::{DAEMONS, start_platform};
use common::wait_until;
use parsleywalk_platform_soak::{FleetProbe, ProbeJob, ReportProbe};
use tempfile::TempDir;

/// Guards against one odd entry among the workers' reports, or odd bytes on any port, that ends the processes that read
/// it or stops the work of the sound workers.
#[test]
fn odd_entries_end_no_daemon() {
    let folder = TempDir::new().expect("a folder");
    let mut fleet = start_platform(&folder);
    let probe = FleetProbe::new(&fleet);
    for address in fleet.control_addresses() {
        for (number, body) in ReportProbe::odd_bodies().into_iter().enumerate() {
            let status = ReportProbe::new(address).send(&format!("odd-{number}"), body);
            assert!(status.is_some(), "{address} answers odd body {number}");
        }
    }
    for entry in 0..fleet.entry_addresses().len() {
        for body in ReportProbe::odd_bodies() {
            let status = FleetProbe::at_entry(&fleet, entry).submit_body("00000000000000aa", body);
            assert!(status.is_some(), "entry {entry} answers odd jobs");
        }
    }
    for address in fleet.peer_addresses() {
        for body in ReportProbe::odd_bodies() {
            let mut socket = TcpStream::connect(address).expect("the peer port is open");
            // The daemon may close the connection before it has read everything.
            drop(socket.write_all(&body));
        }
    }
    let replica = ReportProbe::new(fleet.control_addresses()[0]);
    let mut sequence = 0;
    wait_until("the sound worker's response", || {
        sequence += 1;
        replica.send("sound", ReportProbe::sound_body(sequence)) == Some(200)
    });
    wait_until("a job", || probe.submit("00000000000000ab", ProbeJob::Short) == Some(200));
    for index in 0..DAEMONS {
        let log = fleet.log(index).expect("a log");
        assert_eq!(log.matches("event=started ").count(), 1, "daemon {index} has not ended");
        assert!(!log.contains("panicked"), "daemon {index}: {log}");
        assert!(fleet.is_running(index), "daemon {index} runs");
    }
}
