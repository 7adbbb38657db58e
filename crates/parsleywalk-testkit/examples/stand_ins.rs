//! Runs a fake endpoint and fake workers to try out a deployment manually.
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

/// Runs a fake endpoint and fake workers until it is interrupted.
#[derive(Debug, Parser)]
struct StandInArguments {
    /// The address of an entry daemon in the zone; may be given several times.
    #[arg(long, required = true)]
    entry: Vec<SocketAddr>,
    /// A latency-critical service, whose instances run until they are stopped; may be given several times. The endpoint
    /// serves the first.
    #[arg(long, required = true)]
    service: Vec<ServiceName>,
    /// The availability zone of the workers.
    #[arg(long)]
    zone: ZoneName,
    /// The number of workers.
    #[arg(long, default_value_t = 4)]
    workers: u32,
    /// The run time of a batch task in milliseconds.
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
            long_running_services: arguments.service.clone(),
            run_time: Some(Duration::from_millis(arguments.run_ms)),
            checkpoint_interval: Some(Duration::from_millis(200)),
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
