//! The cases. Each returns what broke the rule, or `None` if it held.

use std::net::SocketAddr;
use std::path::Path;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::thread;
use std::time::{Duration, Instant};

use crate::deployment::{Deployment, ZONES};
use crate::http;
use crate::json::Json;
use crate::minion::{Faults, Minion, RunEvent, Settings, Site};
use crate::record::Record;

const HOST: &str = "nony24.example";
const PREFIX: &str = "/lohu930/";
const SERVICE: &str = "marcador";

/// The longest `bridge_cut` of the pages' installations is 5.5 s.
const CUT: Duration = Duration::from_millis(1500);
/// The cut of the case with evacuations, long enough for an operator to evacuate a zone again.
const LONG_CUT: Duration = Duration::from_millis(2200);
/// Consumers that give up leave within half of their objective of 1,200 ms.
const LEAVES: Duration = Duration::from_millis(600);
/// The bounds of the settings that the rules name.
const CONTACT: Duration = Duration::from_secs(3);
const EVACUATE: Duration = Duration::from_secs(5);
const CANCEL: Duration = Duration::from_secs(3);
const STOP_GRACE: Duration = Duration::from_millis(200);
const VISIBLE: Duration = Duration::from_secs(3);
/// How long consumers wait for a response.
const CONSUMER_TIMEOUT: Duration = Duration::from_secs(3);

type CaseResult = Result<Option<String>, String>;

pub fn run(case: &str, root: &Path, record: &Arc<Record>, trouble: bool) -> CaseResult {
    match case {
        "late-evacuation-order" => late_evacuation_order(root, record, trouble),
        "cancelled-job-runs" => cancelled_job_runs(root, record, trouble),
        "gang-failed-once" => gang_failed_once(root, record, trouble),
        "lasting-gang-given-up" => lasting_gang_given_up(root, record, trouble),
        "gang-never-placed" => gang_never_placed(root, record, trouble),
        "waiting-count" => waiting_count(root, record, trouble),
        "wide-job" => wide_job(root, record, trouble),
        other => Err(format!("no case {other}")),
    }
}

struct Scene {
    deployment: Deployment,
    site: Arc<Site>,
    record: Arc<Record>,
}

impl Scene {
    /// Starts the daemons and puts the first manifest.
    fn start(root: &Path, record: &Arc<Record>, max_attempts: u32) -> Result<Scene, String> {
        let deployment = Deployment::start(root, record)?;
        let scene = Scene { deployment, site: Arc::default(), record: Arc::clone(record) };
        scene.deployment.wait_ready(Duration::from_secs(20))?;
        let manifest = format!(
            "{{\"version\":1,\"routes\":[{{\"name\":\"r-1\",\"host\":\"{HOST}\",\"path_prefix\":\"{PREFIX}\",\
             \"kind\":\"non_idempotent\",\"timeout_ms\":3000,\"target_latency_ms\":1200,\"priority\":0,\
             \"service\":\"{SERVICE}\",\"max_attempts\":{max_attempts},\"stretch\":1.5}}],\"services\":[{{\"name\":\"{SERVICE}\",\
             \"health_path\":\"/health\",\"max_connections\":64,\"protocol\":\"h1\",\"tls\":false,\"cold_start_s\":0.0,\
             \"cold_per_s\":0.0,\"enforces_capacity\":true,\"standby\":false}}],\"limits\":{{\"max_header_bytes\":16384,\
             \"max_body_bytes\":262144,\"header_timeout_ms\":3000,\"idle_timeout_ms\":15000}}}}"
        );
        let controls = scene.deployment.controls();
        for attempt in 0..40 {
            if scene.order(controls[attempt % 3], "POST", "/v1/Config.Put", &manifest).is_some_and(is_success) {
                return Ok(scene);
            }
            thread::sleep(Duration::from_millis(250));
        }
        Err("the first manifest isn't acknowledged".to_owned())
    }

    fn minion(&self, id: &str, zone: usize, labels: &[&str], cpu: u32, mem_mb: u32) -> Arc<Faults> {
        let settings = Settings {
            id: id.to_owned(),
            service: SERVICE.to_owned(),
            zone: ZONES[zone].to_owned(),
            labels: labels.iter().map(|label| (*label).to_owned()).collect(),
            cpu,
            mem_mb,
        };
        Minion::start(settings, self.deployment.controls(), &self.site, &self.record)
    }

    /// Starts a calm set of minions: `count` in each zone.
    fn minions(&self, count: usize, cpu: u32) {
        for zone in 0..3 {
            for index in 0..count {
                self.minion(&format!("i-{zone}{index}"), zone, &["a", &format!("r{zone}-1")], cpu, 125_000);
            }
        }
    }

    /// Sends an order of the operator, who waits a second.
    fn order(&self, control: SocketAddr, method: &str, path: &str, body: &str) -> Option<u16> {
        let answer = http::call(control, method, "control", path, "", body, Duration::from_secs(1));
        let status = answer.map(|(status, _)| status);
        self.record.line(&format!("operator: {method} {path} at {control} -> {}", shown(status)));
        status
    }

    /// Sends an order to the daemons in turn until it is acknowledged.
    fn order_until_acked(&self, controls: &[SocketAddr], path: &str) -> Result<Instant, String> {
        for attempt in 0..20 {
            if self.order(controls[attempt % controls.len()], "POST", path, "").is_some_and(is_success) {
                return Ok(Instant::now());
            }
            thread::sleep(Duration::from_millis(100));
        }
        Err(format!("{path} isn't acknowledged"))
    }

    fn consume(&self, front: SocketAddr, method: &str, target: &str, body: &str) -> Option<(u16, String)> {
        self.consume_within(front, method, target, body, CONSUMER_TIMEOUT)
    }

    /// Sends a consumer's request; the consumer closes its channel after `patience`.
    fn consume_within(
        &self,
        front: SocketAddr,
        method: &str,
        target: &str,
        body: &str,
        patience: Duration,
    ) -> Option<(u16, String)> {
        let headers = format!("Parsleywalk-Deadline-Ms: {}\r\n", CONSUMER_TIMEOUT.as_millis());
        let path = format!("{PREFIX}{target}");
        let answer = http::call(front, method, HOST, &path, &headers, body, patience);
        let text = answer.as_ref().map_or(String::new(), |(_, body)| body.chars().take(60).collect());
        let status = answer.as_ref().map(|(status, _)| *status);
        self.record.line(&format!("consumer: {method} {path} at {front} -> {} {text}", shown(status)));
        answer
    }

    fn submit(&self, front: SocketAddr, job: &str, body: &str) -> Option<u16> {
        self.consume(front, "POST", job, body).map(|(status, _)| status)
    }

    fn state(&self, front: SocketAddr, job: &str) -> Option<String> {
        let (_, body) = self.consume(front, "GET", job, "")?;
        Json::parse(&body)?.get("state")?.text().map(str::to_owned)
    }

    /// Waits until a job is shown in a final state.
    fn wait_final(&self, front: SocketAddr, job: &str, limit: Duration) -> Option<String> {
        let deadline = Instant::now() + limit;
        while Instant::now() < deadline {
            match self.state(front, job).as_deref() {
                Some(state @ ("completed" | "failed" | "cancelled")) => return Some(state.to_owned()),
                _ => thread::sleep(Duration::from_millis(300)),
            }
        }
        None
    }

    /// Runs a short job through each entry, so that all minions and connections are known to work.
    fn warm_up(&self) -> Result<(), String> {
        for (index, front) in self.deployment.fronts().into_iter().enumerate() {
            let job = format!("00000000000000a{index}");
            let body = job_body("ends 300", &[Step::new(3, 1000)]);
            if !self.submit(front, &job, &body).is_some_and(is_success) {
                return Err("the first jobs aren't accepted".to_owned());
            }
            if self.wait_final(front, &job, Duration::from_secs(15)).as_deref() != Some("completed") {
                return Err("the first jobs don't complete".to_owned());
            }
        }
        Ok(())
    }

    /// Returns the zones of the leader, of another replica and of the third.
    fn roles(&self) -> Result<(usize, usize, usize), String> {
        let leader = self.site.leader().ok_or("no minion was told an address for its pings")?;
        let controls = self.deployment.controls();
        let leader = controls.iter().position(|control| *control == leader).ok_or("unknown leader")?;
        let (other, third) = ((leader + 1) % 3, (leader + 2) % 3);
        self.record
            .line(&format!("minions report to {}; the replica in {} is cut off from it", ZONES[leader], ZONES[other]));
        Ok((leader, other, third))
    }

    fn runs_of(&self, job: &str) -> Vec<RunEvent> {
        self.site.events().into_iter().filter(|event| event.task.starts_with(job)).collect()
    }
}

/// Returns the starts of the runs that have not ended.
fn open_runs(events: &[RunEvent]) -> Vec<RunEvent> {
    let ended = |start: &RunEvent| {
        events.iter().any(|end| !end.how.is_empty() && (&end.task, end.run) == (&start.task, start.run))
    };
    events.iter().filter(|event| event.how.is_empty() && !ended(event)).cloned().collect()
}

fn is_success(status: u16) -> bool {
    (200..300).contains(&status)
}

fn shown(status: Option<u16>) -> String {
    status.map_or_else(|| "no answer".to_owned(), |status| status.to_string())
}

fn sleep_until(at: Instant) {
    thread::sleep(at.saturating_duration_since(Instant::now()));
}

struct Step {
    count: u32,
    cpu: u32,
    mem_mb: u32,
    more: String,
}

impl Step {
    fn new(count: u32, cpu: u32) -> Step {
        Step { count, cpu, mem_mb: 100, more: String::new() }
    }

    fn with(mut self, more: &str) -> Step {
        self.more = format!(",{more}");
        self
    }
}

fn job_body(spec: &str, steps: &[Step]) -> String {
    let steps: Vec<String> = steps
        .iter()
        .map(|step| {
            format!(
                "{{\"count\":{},\"cpu\":{},\"mem_mb\":{},\"estimate_ms\":500{}}}",
                step.count, step.cpu, step.mem_mb, step.more
            )
        })
        .collect();
    format!("{{\"spec\":\"{spec}\",\"steps\":[{}]}}", steps.join(","))
}

/// A bridge cut holds back an `Evacuate.Stop` that a follower has passed on. The operator's resend is acknowledged, the
/// zone is evacuated again, and the held copy takes it back when the cut heals.
fn late_evacuation_order(root: &Path, record: &Arc<Record>, trouble: bool) -> CaseResult {
    let scene = Scene::start(root, record, 2)?;
    scene.minions(2, 16_000);
    scene.warm_up()?;
    let controls = scene.deployment.controls();
    let fronts = scene.deployment.fronts();
    let (leader, other, third) = scene.roles()?;
    scene.order(controls[other], "GET", "/v1/Config.Get", "");
    let zone = ZONES[third];
    let (start, stop) = (format!("/v1/Evacuate.Start/{zone}"), format!("/v1/Evacuate.Stop/{zone}"));
    scene.order_until_acked(&[controls[third]], &start)?;
    thread::sleep(Duration::from_secs(3));
    let cut_at = Instant::now();
    if trouble {
        scene.deployment.cut_zones(leader, other, true);
    }
    thread::sleep(Duration::from_millis(100));
    scene.order_until_acked(&[controls[other], controls[third]], &stop)?;
    thread::sleep(Duration::from_millis(700));
    let evacuated_at = scene.order_until_acked(&[controls[third]], &start)?;
    sleep_until(cut_at + LONG_CUT);
    if trouble {
        scene.deployment.cut_zones(leader, other, false);
    }
    let judged_from = (evacuated_at + EVACUATE).max(cut_at + LONG_CUT + CONTACT) + Duration::from_millis(500);
    sleep_until(judged_from);
    for index in 0..4 {
        let body = job_body("ends 500", &[Step::new(12, 2000)]);
        scene.submit(fronts[index % 3], &format!("00000000000000b{index}"), &body);
    }
    thread::sleep(Duration::from_secs(4));
    let minions = [format!("i-{third}0"), format!("i-{third}1")];
    let in_zone = |event: &&RunEvent| event.how.is_empty() && event.at > judged_from && minions.contains(&event.minion);
    let events = scene.site.events();
    let starts: Vec<&RunEvent> = events.iter().filter(in_zone).collect();
    scene.record.line(&format!(
        "starts in {zone}, evacuated {:?} before: {}",
        judged_from - evacuated_at,
        starts.len()
    ));
    Ok((!starts.is_empty()).then(|| format!("EVAC: {} tasks started in {zone} after its evacuation", starts.len())))
}

/// A bridge cut holds back a submission that an entry has passed on. The consumer leaves and cancels the job: 410. When
/// the cut heals, the job is stored and runs.
fn cancelled_job_runs(root: &Path, record: &Arc<Record>, trouble: bool) -> CaseResult {
    let scene = Scene::start(root, record, 2)?;
    scene.minions(2, 16_000);
    scene.warm_up()?;
    let fronts = scene.deployment.fronts();
    let (leader, other, third) = scene.roles()?;
    let job = "00000000000000c1";
    let cut_at = Instant::now();
    if trouble {
        scene.deployment.cut_zones(leader, other, true);
    }
    thread::sleep(Duration::from_millis(100));
    let body = job_body("lasts", &[Step::new(3, 1000).with("\"long_running\":true")]);
    scene.consume_within(fronts[other], "POST", job, &body, LEAVES);
    let mut cancelled_at = None;
    for _ in 0..20 {
        match scene.consume(fronts[third], "DELETE", job, "") {
            Some((status, _)) if is_success(status) || status == 410 => {
                cancelled_at = Some(Instant::now());
                break;
            }
            _ => thread::sleep(Duration::from_millis(200)),
        }
    }
    let cancelled_at = cancelled_at.ok_or("the cancel isn't acknowledged")?;
    sleep_until(cut_at + CUT);
    if trouble {
        scene.deployment.cut_zones(leader, other, false);
    }
    // The task may run until `cancel_ms` and `stop_grace_ms` after the ack, counted from `contact_ms` after the cut.
    let judged_at = (cancelled_at + CANCEL).max(cut_at + CUT + CONTACT + CANCEL) + STOP_GRACE + Duration::from_secs(2);
    sleep_until(judged_at);
    let state = scene.state(fronts[third], job);
    let events = scene.runs_of(job);
    let open = open_runs(&events).len();
    let late = events.iter().filter(|event| event.how.is_empty() && event.at > cancelled_at).count();
    scene.record.line(&format!(
        "{:?} after the cancel was acknowledged: {open} tasks run, {late} were started since, state {state:?}",
        judged_at - cancelled_at
    ));
    Ok((open > 0).then(|| format!("UNASKED: {open} tasks of a cancelled job run on, {late} started after the ack")))
}

/// A worker that fails all that it starts has two members of a gang. One run of the gang fails, and the job is shown as
/// failed although two attempts are allowed.
fn gang_failed_once(root: &Path, record: &Arc<Record>, trouble: bool) -> CaseResult {
    const MAX_ATTEMPTS: usize = 2;
    let scene = Scene::start(root, record, 2)?;
    let faults: Vec<Arc<Faults>> = (0..12)
        .map(|index| {
            scene.minion(&format!("i-{index:02}"), index % 3, &["a", &format!("r{}-1", index % 3)], 4000, 16_000)
        })
        .collect();
    scene.warm_up()?;
    let front = scene.deployment.fronts()[0];
    thread::sleep(Duration::from_millis(500));
    if trouble {
        scene.record.line("minion i-05 fails all that it starts from now on");
        faults[5].grey.store(true, Ordering::SeqCst);
    }
    let job = "00000000000000d1";
    let body = job_body("gang 24 500", &[Step::new(24, 2000).with("\"gang\":true")]);
    if !scene.submit(front, job, &body).is_some_and(is_success) {
        return Err("the job isn't accepted".to_owned());
    }
    let grey = Arc::clone(&faults[5]);
    thread::spawn(move || {
        thread::sleep(Duration::from_millis(6800));
        grey.grey.store(false, Ordering::SeqCst);
    });
    let state = scene.wait_final(front, job, Duration::from_secs(30));
    let events = scene.runs_of(job);
    let mut failed_runs: Vec<u64> =
        events.iter().filter(|event| event.how == "failed").map(|event| event.run).collect();
    let failed_members = failed_runs.len();
    failed_runs.sort_unstable();
    failed_runs.dedup();
    scene.record.line(&format!(
        "state {state:?}; runs of the gang that failed: {failed_runs:?}, members that ended failed: {failed_members}"
    ));
    if state.as_deref() == Some("failed") && failed_runs.len() < MAX_ATTEMPTS {
        return Ok(Some(format!(
            "LOST: shown as failed after {} failed run of the gang; max_attempts is {MAX_ATTEMPTS}",
            failed_runs.len()
        )));
    }
    Ok((state.as_deref() != Some("completed"))
        .then(|| format!("the job isn't completed but {state:?}"))
        .filter(|_| !trouble))
}

/// The tasks of a gang that lasts fail now and then. After as many failures as a task that ends may have, the job is
/// shown as failed and its tasks aren't started again.
fn lasting_gang_given_up(root: &Path, record: &Arc<Record>, trouble: bool) -> CaseResult {
    const FAILURES: usize = 4;
    let scene = Scene::start(root, record, 2)?;
    let faults: Vec<Arc<Faults>> = (0..6)
        .map(|index| {
            let zone = index % 3;
            scene.minion(&format!("i-{index:02}"), zone, &["a", &format!("r{zone}-1")], 16_000, 64_000)
        })
        .collect();
    scene.warm_up()?;
    let front = scene.deployment.fronts()[0];
    let job = "0000000000000091";
    let more = "\"gang\":true,\"long_running\":true,\"anti_affinity\":1";
    let body = job_body("lasting-gang 3", &[Step::new(3, 2000).with(more)]);
    if !scene.submit(front, job, &body).is_some_and(is_success) {
        return Err("the job isn't accepted".to_owned());
    }
    let mut failures = 0;
    let mut last_failure = Instant::now();
    let deadline = Instant::now() + Duration::from_secs(30);
    while Instant::now() < deadline {
        thread::sleep(Duration::from_millis(500));
        let events = scene.runs_of(job);
        let open = open_runs(&events);
        // One member fails each time that the gang has been at work for 3 s.
        let calm = open.iter().all(|start| start.at.elapsed() >= Duration::from_secs(3));
        if trouble && failures < FAILURES && open.len() == 3 && calm {
            let index = faults.iter().enumerate().position(|(index, _)| open[0].minion == format!("i-{index:02}"));
            if let Some(index) = index {
                scene.record.line(&format!("a task on minion i-{index:02} fails"));
                faults[index].task_failure.store(true, Ordering::SeqCst);
                failures += 1;
                last_failure = Instant::now();
            }
        }
    }
    let state = scene.state(front, job);
    let open = open_runs(&scene.runs_of(job)).len();
    scene.record.line(&format!(
        "state {state:?}; {failures} tasks of the gang have failed, the last {:?} ago; {open} of 3 tasks run",
        last_failure.elapsed()
    ));
    Ok((state.as_deref() == Some("failed") || open == 0).then(|| {
        format!("LOST: a lasting job is shown as {state:?} after {failures} failures, and {open} of 3 tasks run")
    }))
}

/// A job that can never be done leaves all workers on probation, on which each gets one run at a time until a run
/// completes there. A gang with more members than there are workers is then never placed, on idle workers.
fn gang_never_placed(root: &Path, record: &Arc<Record>, trouble: bool) -> CaseResult {
    const MEMBERS: u32 = 24;
    const ORDINARY: usize = 20;
    let scene = Scene::start(root, record, 2)?;
    for index in 0..12 {
        let zone = index % 3;
        scene.minion(&format!("i-{index:02}"), zone, &["a", &format!("r{zone}-1")], 8000, 32_000);
    }
    scene.warm_up()?;
    let fronts = scene.deployment.fronts();
    // One job in 21 can never be done.
    for index in 0..ORDINARY {
        let job = format!("00000000000007{index:02}");
        if !scene.submit(fronts[index % 3], &job, &job_body("ends 200", &[Step::new(3, 1000)])).is_some_and(is_success)
        {
            return Err("a job isn't accepted".to_owned());
        }
        thread::sleep(Duration::from_millis(50));
    }
    thread::sleep(Duration::from_secs(1));
    if trouble {
        let hopeless = "0000000000000800";
        let body = job_body("fails 200", &[Step::new(24, 1000)]);
        if !scene.submit(fronts[0], hopeless, &body).is_some_and(is_success) {
            return Err("the hopeless job isn't accepted".to_owned());
        }
        if scene.wait_final(fronts[0], hopeless, Duration::from_secs(20)).as_deref() != Some("failed") {
            return Err("the hopeless job isn't shown as failed".to_owned());
        }
    }
    let gang = "0000000000000900";
    let body = job_body(&format!("gang {MEMBERS} 500"), &[Step::new(MEMBERS, 1000).with("\"gang\":true")]);
    if !scene.submit(fronts[1], gang, &body).is_some_and(is_success) {
        return Err("the gang isn't accepted".to_owned());
    }
    // `finish_s`, 3 s with nothing running, and 13 s more.
    let state = scene.wait_final(fronts[1], gang, Duration::from_secs(30));
    let starts = scene.runs_of(gang).iter().filter(|event| event.how.is_empty()).count();
    scene.record.line(&format!("30 s after the gang was accepted at the latest: state {state:?}, {starts} starts"));
    let breach = (state.as_deref() != Some("completed")).then(|| {
        format!(
            "LOST: a gang of {MEMBERS} is {state:?} with {starts} starts, on 12 workers with room for four such gangs"
        )
    });
    if breach.is_some() {
        // Not part of the verdict: a run that completes on each worker ends the probation.
        let body = job_body("ends 200", &[Step::new(36, 1000)]);
        scene.submit(fronts[2], "0000000000000901", &body);
        let state = scene.wait_final(fronts[1], gang, Duration::from_secs(15));
        scene.record.line(&format!("after an ordinary job on all workers: state {state:?}"));
    }
    Ok(breach)
}

/// The only worker with room for some jobs is lost for good just before they are placed on it. None of their tasks
/// begins, yet the count of waiting jobs leaves them out.
fn waiting_count(root: &Path, record: &Arc<Record>, trouble: bool) -> CaseResult {
    const JOBS: usize = 4;
    let scene = Scene::start(root, record, 2)?;
    for index in 0..10 {
        scene.minion(&format!("i-{index:02}"), index % 3, &["a", "r0-1"], 32_000, 125_000);
    }
    let large = scene.minion("i-10", 1, &["b", "r1-1"], 48_000, 188_000);
    scene.minion("i-11", 2, &["b", "r2-1"], 32_000, 125_000);
    scene.warm_up()?;
    let fronts = scene.deployment.fronts();
    // Tasks that last fill the smaller worker, so that only the larger one has room.
    let body = job_body("lasts", &[Step::new(1, 31_000).with("\"requirements\":\"b\",\"long_running\":true")]);
    for job in ["00000000000000ea", "00000000000000eb"] {
        if !scene.submit(fronts[0], job, &body).is_some_and(is_success) {
            return Err("a lasting job isn't accepted".to_owned());
        }
        thread::sleep(Duration::from_millis(500));
    }
    thread::sleep(Duration::from_secs(1));
    if trouble {
        large.gone.store(true, Ordering::SeqCst);
    }
    let mut accepted = Vec::new();
    for index in 0..JOBS {
        let job = format!("00000000000000e{index}");
        let body = job_body("ends 500", &[Step::new(1, 2000).with("\"requirements\":\"b\"")]);
        if !scene.submit(fronts[index % 3], &job, &body).is_some_and(is_success) {
            return Err("a job isn't accepted".to_owned());
        }
        accepted.push((job, Instant::now()));
    }
    let mut breach = None;
    let deadline = Instant::now() + Duration::from_secs(16);
    while Instant::now() < deadline {
        let asked = Instant::now();
        let answer = scene.consume(fronts[0], "GET", "", "");
        let waiting = answer.and_then(|(_, body)| Json::parse(&body)?.get("waiting")?.number());
        // Only jobs that had not begun at the end of the call are counted.
        let open = accepted
            .iter()
            .filter(|(job, at)| asked >= *at + VISIBLE + Duration::from_secs(2) && scene.runs_of(job).is_empty());
        let open = u64::try_from(open.count()).unwrap_or(u64::MAX);
        if let Some(waiting) = waiting
            && waiting * 2 < open
        {
            scene
                .record
                .line(&format!("{open} jobs accepted over 5 s before have not begun, and waiting is {waiting}"));
            breach =
                Some(format!("MIXED: waiting is {waiting} while {open} jobs accepted over 5 s before have not begun"));
        }
        thread::sleep(Duration::from_millis(250));
    }
    Ok(breach)
}

/// A job of many small tasks with a `spec` of the permitted length: the start orders for a worker exceed the size of a
/// response that minions accept, and are repeated whole for ever. The workers get no lease any more, and lose a task
/// that lasts, too.
fn wide_job(root: &Path, record: &Arc<Record>, trouble: bool) -> CaseResult {
    const TASKS: u32 = 6000;
    const SPEC_LIMIT: usize = 4000;
    let scene = Scene::start(root, record, 2)?;
    for zone in 0..2 {
        scene.minion(&format!("i-{zone}0"), zone, &["a", &format!("r{zone}-1")], 32_000, 125_000);
    }
    scene.warm_up()?;
    let front = scene.deployment.fronts()[0];
    let (lasting, wide) = ("00000000000000f0", "00000000000000f1");
    let body = job_body("lasts", &[Step::new(2, 1000).with("\"long_running\":true,\"anti_affinity\":1")]);
    if !scene.submit(front, lasting, &body).is_some_and(is_success) {
        return Err("the lasting job isn't accepted".to_owned());
    }
    thread::sleep(Duration::from_secs(2));
    let words = "ends 500 ";
    let pad = if trouble { SPEC_LIMIT - words.len() } else { 100 };
    let spec = format!("{words}{}", "x".repeat(pad));
    let step = Step { count: TASKS, cpu: 8, mem_mb: 20, more: String::new() };
    if !scene.submit(front, wide, &job_body(&spec, &[step])).is_some_and(is_success) {
        return Err("the wide job isn't accepted".to_owned());
    }
    // `finish_s`, 3 s with nothing running, and 16 s more than that.
    let state = scene.wait_final(front, wide, Duration::from_secs(33));
    let now = Instant::now();
    let events = scene.site.events();
    let count =
        |job: &str, how: &str| events.iter().filter(|event| event.task.starts_with(job) && event.how == how).count();
    let newest_start = |job: &str| {
        events.iter().filter(|event| event.task.starts_with(job) && event.how.is_empty()).map(|event| event.at).max()
    };
    let at_work = count(lasting, "") - count(lasting, "lapsed") - count(lasting, "stopped");
    scene.record.line(&format!(
        "wide job: state {state:?}, {} of {TASKS} tasks done, {} runs lapsed, last start {:?} ago",
        count(wide, "done"),
        count(wide, "lapsed"),
        newest_start(wide).map(|at| now - at),
    ));
    scene.record.line(&format!("lasting job: {at_work} of 2 tasks run, {} runs lapsed", count(lasting, "lapsed")));
    Ok((state.as_deref() != Some("completed"))
        .then(|| format!("LOST: the job isn't completed but {state:?}; of the lasting job {at_work} of 2 tasks run")))
}
