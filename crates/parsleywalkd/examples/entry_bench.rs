//! Measures the latency that an entry adds to a request, without and with a claim.
//!
//! Endpoints with a fixed service time are called directly and through a daemon, by default at half of the slots' capacity,
//! with requests on a fixed schedule. Latency is measured from the scheduled time to avoid coordinated omission: a stall
//! also counts for the requests that it delays.

#![allow(
    clippy::cast_precision_loss,
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "rates and counts of a short measurement are far below 2^52"
)]

use std::convert::Infallible;
use std::error::Error;
use std::net::{Ipv4Addr, SocketAddr};
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use clap::Parser;
use hdrhistogram::Histogram;
use http::{Request, Response};
use http_body_util::{BodyExt, Full};
use hyper::client::conn::http1::SendRequest;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use parsleywalk_api::{AnnounceRequest, ConfigurationApply, headers};
use parsleywalk_units::{Incarnation, TimeSpan};
use parsleywalkd::{Daemon, DaemonSettings, initialise};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{Mutex, Semaphore};
use tokio::time::{Instant, sleep, sleep_until};

type BoxResult<T> = Result<T, Box<dyn Error + Send + Sync>>;

/// Number of slots of each endpoint.
const SLOTS: u32 = 8;

/// Measures the latency of an entry on loopback.
#[derive(Debug, Clone, Parser)]
struct BenchArguments {
    /// Number of endpoints.
    #[arg(long, default_value_t = 4)]
    endpoints: u32,
    /// Service time of an endpoint in milliseconds.
    #[arg(long, default_value_t = 10)]
    service_ms: u64,
    /// Offered load as a fraction of the slots' capacity.
    #[arg(long, default_value_t = 0.5)]
    load: f64,
    /// Duration of each measurement in seconds.
    #[arg(long, default_value_t = 5)]
    seconds: u64,
    /// Number of the caller's connections.
    #[arg(long, default_value_t = 64)]
    connections: usize,
}

fn main() -> BoxResult<()> {
    let arguments = BenchArguments::parse();
    let folder = tempfile::TempDir::new()?;
    let settings = DaemonSettings {
        data_folder: Some(folder.path().to_owned()),
        replicas: vec!["1".parse()?],
        ..DaemonSettings::default()
    };
    initialise(&settings)?;
    let daemon = Daemon::start(&settings)?;
    let runtime = tokio::runtime::Builder::new_multi_thread().worker_threads(3).enable_all().build()?;
    runtime.block_on(measure(&arguments, daemon.caller_address(), daemon.operator_address()))?;
    daemon.shutdown();
    Ok(())
}

async fn measure(arguments: &BenchArguments, callers: SocketAddr, operators: SocketAddr) -> BoxResult<()> {
    apply_configuration(operators).await?;
    let mut endpoints = Vec::new();
    for number in 0..arguments.endpoints {
        let address = start_endpoint(Duration::from_millis(arguments.service_ms)).await?;
        announce(callers, number, address).await?;
        endpoints.push(address);
    }
    let capacity = f64::from(arguments.endpoints * SLOTS) * 1000.0 / arguments.service_ms as f64;
    let rate = capacity * arguments.load;
    println!("{} endpoints, {} ms service time, {rate:.0} requests/s", arguments.endpoints, arguments.service_ms);
    // Warms up the router's estimates; the result is discarded.
    run(arguments, &[callers], rate, RequestKind::Plain).await?;
    let direct = run(arguments, &endpoints, rate, RequestKind::Plain).await?;
    let plain = run(arguments, &[callers], rate, RequestKind::Plain).await?;
    let keyed = run(arguments, &[callers], rate, RequestKind::Keyed).await?;
    println!("{:<22} {:>8} {:>9} {:>9} {:>9} {:>7}", "", "requests", "p50 ms", "p99 ms", "p999 ms", "failed");
    for (name, result) in [("direct", &direct), ("through an entry", &plain), ("keyed, one claim each", &keyed)] {
        println!(
            "{name:<22} {:>8} {:>9.3} {:>9.3} {:>9.3} {:>7}",
            result.latency.len(),
            result.quantile(0.5),
            result.quantile(0.99),
            result.quantile(0.999),
            result.failed
        );
    }
    println!(
        "added by the entry: p50 {:.3} ms, p99 {:.3} ms; with a claim: p50 {:.3} ms, p99 {:.3} ms",
        plain.quantile(0.5) - direct.quantile(0.5),
        plain.quantile(0.99) - direct.quantile(0.99),
        keyed.quantile(0.5) - direct.quantile(0.5),
        keyed.quantile(0.99) - direct.quantile(0.99)
    );
    Ok(())
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum RequestKind {
    Plain,
    Keyed,
}

#[derive(Debug)]
struct RunResult {
    latency: Histogram<u64>,
    failed: u64,
}

impl RunResult {
    fn quantile(&self, quantile: f64) -> f64 {
        self.latency.value_at_quantile(quantile) as f64 / 1000.0
    }
}

/// Sends requests on a fixed schedule over persistent connections.
async fn run(arguments: &BenchArguments, targets: &[SocketAddr], rate: f64, kind: RequestKind) -> BoxResult<RunResult> {
    let result = Arc::new(Mutex::new(RunResult { latency: Histogram::new_with_bounds(1, 60_000_000, 3)?, failed: 0 }));
    let start = Instant::now() + Duration::from_millis(50);
    let count = (rate * arguments.seconds as f64) as usize;
    let mut tasks = Vec::new();
    for connection in 0..arguments.connections {
        let target = targets[connection % targets.len()];
        let (result, connections) = (Arc::clone(&result), arguments.connections);
        tasks.push(tokio::spawn(async move {
            let mut sender = connect(target).await?;
            for number in (connection..count).step_by(connections) {
                let due = start + Duration::from_secs_f64(number as f64 / rate);
                sleep_until(due).await;
                let succeeded = request(&mut sender, kind, number).await?;
                let micros = u64::try_from(due.elapsed().as_micros())?;
                let mut result = result.lock().await;
                if succeeded {
                    result.latency.record(micros)?;
                } else {
                    result.failed += 1;
                }
            }
            Ok::<(), Box<dyn Error + Send + Sync>>(())
        }));
    }
    for task in tasks {
        task.await??;
    }
    Ok(Arc::into_inner(result).ok_or("a task still runs")?.into_inner())
}

async fn connect(target: SocketAddr) -> BoxResult<SendRequest<Full<Bytes>>> {
    let socket = TcpStream::connect(target).await?;
    socket.set_nodelay(true)?;
    let (sender, connection) = hyper::client::conn::http1::handshake(TokioIo::new(socket)).await?;
    tokio::spawn(connection);
    Ok(sender)
}

async fn request(sender: &mut SendRequest<Full<Bytes>>, kind: RequestKind, number: usize) -> BoxResult<bool> {
    let mut builder = Request::post("/v1/services/bench/requests").header("Host", "bench");
    if kind == RequestKind::Keyed {
        builder = builder.header(headers::IDEMPOTENCY_KEY, format!("key-{number}-{}", std::process::id()));
    }
    sender.ready().await?;
    let response = sender.send_request(builder.body(Full::new(Bytes::from_static(b"quote")))?).await?;
    let succeeded = response.status().is_success();
    let body = response.into_body().collect().await?.to_bytes();
    Ok(succeeded && body == "quote")
}

async fn post(address: SocketAddr, path: &str, body: Vec<u8>) -> BoxResult<bool> {
    let mut sender = connect(address).await?;
    let request = Request::post(path).header("Host", "bench").body(Full::new(Bytes::from(body)))?;
    let response = sender.send_request(request).await?;
    Ok(response.status().is_success())
}

async fn apply_configuration(operators: SocketAddr) -> BoxResult<()> {
    let text = "version: 1\nteams: [{ name: bench, weight: 1 }]\nservices:\n  - { name: bench, class: \
                latency-critical, team: bench, size: { cores: 1, memory: 1GB }, instances: 1, slots: 8, deadline: 5s }\n";
    let apply = ConfigurationApply { operation: "bench".parse()?, text: text.to_owned() };
    while !post(operators, "/v1/configuration", serde_json::to_vec(&apply)?).await? {
        sleep(Duration::from_millis(50)).await;
    }
    Ok(())
}

async fn announce(callers: SocketAddr, number: u32, address: SocketAddr) -> BoxResult<()> {
    let announcement = AnnounceRequest {
        endpoint: format!("bench-{number}").parse()?,
        incarnation: Incarnation::new(1),
        service: "bench".parse()?,
        address,
        slots: SLOTS,
        ttl: TimeSpan::from_secs(120),
        leaving: false,
    };
    if post(callers, "/v1/endpoints", serde_json::to_vec(&announcement)?).await? {
        Ok(())
    } else {
        Err("announcement refused".into())
    }
}

/// Starts an endpoint that echoes a request's body after a fixed time and serves at most one request per slot at a time.
async fn start_endpoint(service_time: Duration) -> BoxResult<SocketAddr> {
    let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).await?;
    let address = listener.local_addr()?;
    let slots = Arc::new(Semaphore::new(SLOTS as usize));
    tokio::spawn(async move {
        while let Ok((socket, _)) = listener.accept().await {
            drop(socket.set_nodelay(true));
            let slots = Arc::clone(&slots);
            let service = service_fn(move |request: Request<hyper::body::Incoming>| {
                let slots = Arc::clone(&slots);
                async move {
                    let (head, body) = request.into_parts();
                    let body = body.collect().await.map(http_body_util::Collected::to_bytes).unwrap_or_default();
                    let permit = slots.acquire().await;
                    sleep(service_time).await;
                    drop(permit);
                    let mut response = Response::new(Full::new(body));
                    if let Some(id) = head.headers.get(headers::REQUEST_ID) {
                        response.headers_mut().insert("Parsleywalk-Request-Id", id.clone());
                    }
                    Ok::<_, Infallible>(response)
                }
            });
            tokio::spawn(hyper::server::conn::http1::Builder::new().serve_connection(TokioIo::new(socket), service));
        }
    });
    Ok(address)
}
