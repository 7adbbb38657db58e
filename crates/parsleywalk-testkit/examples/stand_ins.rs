//! Stand-ins for an endpoint and workers, to try a deployment by hand.
//!
//! ```console
//! $ cargo run --example stand_ins -- --entry 127.0.1.1:7000 --service marker-planning --zone sierra-a
//! ```

use std::error::Error;
use std::net::SocketAddr;
use std::time::Duration;

use clap::Parser;
use parsleywalk_testkit::{EndpointSettings, FakeEndpoint, FakeWorker, RunLog, WorkerSettings};
use parsleywalk_units::{ServiceName, ZoneName};

/// Runs stand-ins for an endpoint and workers until it is ended.
#[derive(Debug, Parser)]
struct StandInArguments {
    /// The caller edge of an entry in the zone; may be given several times.
    #[arg(long, required = true)]
    entry: Vec<SocketAddr>,
    /// The latency-critical services, whose instances the workers keep running; the endpoint serves the first.
    #[arg(long, required = true)]
    service: Vec<ServiceName>,
    /// The availability zone of the workers.
    #[arg(long)]
    zone: ZoneName,
    /// Workers to run.
    #[arg(long, default_value_t = 4)]
    workers: u32,
    /// Milliseconds that a batch task runs.
    #[arg(long, default_value_t = 2000)]
    run_ms: u64,
}

fn main() -> Result<(), Box<dyn Error>> {
    let arguments = StandInArguments::parse();
    let served = arguments.service[0].clone();
    let endpoint = FakeEndpoint::start(EndpointSettings {
        entries: arguments.entry.clone(),
        ..EndpointSettings::new(format!("{served}-{}", arguments.zone).parse()?, served)
    })?;
    let log = RunLog::new();
    let mut workers = Vec::new();
    for number in 1..=arguments.workers {
        let name = format!("{}-worker-{number}", arguments.zone).parse()?;
        let rack = format!("{}-rack-1", arguments.zone).parse()?;
        let settings = WorkerSettings {
            entries: arguments.entry.clone(),
            endless: arguments.service.clone(),
            run_time: Some(Duration::from_millis(arguments.run_ms)),
            checkpoint_every: Some(Duration::from_millis(200)),
            ..WorkerSettings::new(name, arguments.zone.clone(), rack)
        };
        workers.push(FakeWorker::start(settings, log.clone()));
    }
    loop {
        std::thread::sleep(Duration::from_secs(5));
        let running: usize = workers.iter().map(|worker| worker.running().len()).sum();
        println!("requests={} attempts={} running={running}", endpoint.ran().len(), log.records().len());
        log.check()?;
    }
}
