//! Tests that odd or malformed input ends no daemon and costs sound workers nothing.

mod common;

use std::io::Write;
use std::net::{SocketAddr, TcpStream};
use std::path::PathBuf;
use std::time::Duration;

use common::wait_until;
use parsleywalk_platform_soak::{FleetProbe, ProbeJob, ProcessFleet, SoakSettings};
use tempfile::TempDir;

const CALL_TIMEOUT: Duration = Duration::from_secs(5);
/// Far deeper than the stack would permit, if the decoder recursed.
const NESTING: usize = 200_000;

const SOUND: &str = r#"{"service":"planning","address":"10.0.0.1:80","zone":"zone-a","version":"v1","slots":8,
"state":"ready","cold_remaining_ms":0,"capacity":{"cpu":8000,"mem_mb":16000,"gpu":0},"labels":["a","rack-1"],
"clock_ms":100,"seq":SEQ,"born":1,"running":[],"ended":[]}"#;

/// Returns bodies that another writer may send in place of a report.
fn odd_bodies() -> Vec<Vec<u8>> {
    let sound = SOUND.replace("SEQ", "1");
    let replaced = |from: &str, to: &str| sound.replace(from, to).into_bytes();
    let nested = format!("{}{}", "[".repeat(NESTING), "]".repeat(NESTING));
    vec![
        nested.clone().into_bytes(),
        "[".repeat(NESTING).into_bytes(),
        replaced(r#""labels":["a","rack-1"]"#, &format!(r#""later":{nested}"#)),
        replaced(r#""running":[]"#, &format!(r#""running":[{nested}]"#)),
        replaced(r#""cpu":8000"#, r#""cpu":99999999999999999999999999"#),
        replaced(r#""cpu":8000"#, r#""cpu":-1"#),
        replaced(r#""mem_mb":16000"#, r#""mem_mb":1e999"#),
        replaced(r#""clock_ms":100"#, r#""clock_ms":18446744073709551616"#),
        replaced(r#""clock_ms":100"#, r#""clock_ms":18446744073709551615"#),
        replaced(r#""address":"10.0.0.1:80""#, r#""address":"10.0.0.1:99999""#),
        replaced(r#""address":"10.0.0.1:80""#, r#""address":"10.0.0.1:-1""#),
        replaced(r#""state":"ready""#, r#""state":"odd""#),
        replaced(r#""service":"planning""#, r#""service":7"#),
        replaced(r#""running":[]"#, r#""running":[["x",1,"",0],[1,2,3]]"#),
        replaced(r#""ended":[]"#, r#""ended":[[18446744073709551615,"00000000000000aa.0.0.0",4294967295,"done",""]]"#),
        sound.as_bytes()[..sound.len() / 2].to_vec(),
        vec![0xff; 100],
        Vec::new(),
    ]
}

/// Sends a report and returns the status of the response, if there is one.
fn report(address: SocketAddr, worker: &str, body: Vec<u8>) -> Option<u16> {
    let request = attohttpc::post(format!("http://{address}/v1/Instances.Heartbeat/{worker}"));
    let response = request.timeout(CALL_TIMEOUT).bytes(body).send();
    response.ok().map(|response| response.status().as_u16())
}

/// Guards against one odd entry among the workers' reports, or odd bytes on any port, that ends the processes that read
/// it or stops the work of the sound workers.
#[test]
fn odd_entries_end_no_daemon() {
    let folder = TempDir::new().expect("a folder");
    let settings =
        SoakSettings { program: PathBuf::from(env!("CARGO_BIN_EXE_parsleywalkd")), ..SoakSettings::default() };
    let mut fleet = ProcessFleet::prepare(&settings, folder.path()).expect("free addresses");
    for index in 0..6 {
        fleet.start(index).expect("the daemon starts");
    }
    let probe = FleetProbe::new(&fleet);
    wait_until("the configuration", || probe.configure());
    for address in fleet.control_addresses() {
        for (number, body) in odd_bodies().into_iter().enumerate() {
            let status = report(address, &format!("odd-{number}"), body);
            assert!(status.is_some(), "{address} answers odd body {number}");
        }
    }
    for address in fleet.entry_addresses() {
        for body in odd_bodies() {
            let request = attohttpc::post(format!("http://{address}/jobs/00000000000000aa"));
            assert!(request.timeout(CALL_TIMEOUT).bytes(body).send().is_ok(), "{address} answers odd jobs");
        }
    }
    for address in fleet.peer_addresses() {
        for body in odd_bodies() {
            let mut socket = TcpStream::connect(address).expect("the peer port is open");
            // The daemon may close the connection before it has read everything.
            drop(socket.write_all(&body));
        }
    }
    let mut sequence = 0;
    let mut sound = || {
        sequence += 1;
        let body = SOUND.replace("SEQ", &sequence.to_string()).into_bytes();
        report(fleet.control_addresses()[0], "sound", body) == Some(200)
    };
    wait_until("the sound worker's response", &mut sound);
    wait_until("a job", || probe.submit("00000000000000ab", ProbeJob::Short) == Some(200));
    for index in 0..6 {
        let log = fleet.log(index).expect("a log");
        assert_eq!(log.matches("event=started ").count(), 1, "daemon {index} has not ended");
        assert!(!log.contains("panicked"), "daemon {index}: {log}");
        assert!(fleet.is_running(index), "daemon {index} runs");
    }
}
