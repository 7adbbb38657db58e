//! A minion: it pings a daemon of the system, carries out orders under its lease and lists what runs and has ended.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::thread;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use crate::http;
use crate::json::Json;
use crate::record::Record;

/// A response that arrives later, or is larger, is dropped.
const RESPONSE_TIMEOUT: Duration = Duration::from_secs(1);
const RESPONSE_LIMIT: usize = 4 * 1024 * 1024;
/// The most ended runs listed at a time.
const LISTED_ENDS: usize = 500;
/// How long a member of a gang waits for the others.
const GANG_TIMEOUT: Duration = Duration::from_secs(3);
/// How long after its start a task that lasts is at work.
const START_TIME: Duration = Duration::from_millis(500);

/// What the tasks of a job do, by the first word of its `spec`.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Work {
    /// Ends `done` after a time.
    Ends(Duration),
    /// Ends `failed` after a time.
    Fails(Duration),
    /// Runs until it is stopped.
    Lasts,
    /// Waits for all members and ends `done` with them after a time, or lasts.
    Gang(usize, Option<Duration>),
}

fn work(spec: &str) -> Work {
    let mut words = spec.split(' ');
    let mut number = |default| words.next().and_then(|word| word.parse().ok()).unwrap_or(default);
    match spec.split(' ').next() {
        Some("lasts") => Work::Lasts,
        Some("fails") => {
            number(0);
            Work::Fails(Duration::from_millis(number(500)))
        }
        Some("lasting-gang") => {
            number(0);
            Work::Gang(usize::try_from(number(1)).unwrap_or(1), None)
        }
        Some("gang") => {
            number(0);
            Work::Gang(usize::try_from(number(1)).unwrap_or(1), Some(Duration::from_millis(number(500))))
        }
        _ => {
            number(0);
            Work::Ends(Duration::from_millis(number(500)))
        }
    }
}

/// The start or end of a run as a minion saw it.
#[derive(Debug, Clone)]
pub struct RunEvent {
    pub at: Instant,
    pub minion: String,
    pub task: String,
    pub run: u64,
    /// Empty for a start.
    pub how: &'static str,
}

#[derive(Debug, Default)]
struct Gang {
    present: Vec<String>,
    /// When all members were present.
    complete: Option<Instant>,
    /// A member has ended otherwise than by completing.
    broken: bool,
}

/// What all minions share.
#[derive(Default)]
pub struct Site {
    pub events: Mutex<Vec<RunEvent>>,
    gangs: Mutex<BTreeMap<(String, u64), Gang>>,
    /// The address named in the newest response that named one.
    pub leader: Mutex<Option<SocketAddr>>,
}

impl Site {
    pub fn events(&self) -> Vec<RunEvent> {
        self.events.lock().unwrap_or_else(PoisonError::into_inner).clone()
    }

    pub fn leader(&self) -> Option<SocketAddr> {
        *self.leader.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// The faults of a minion, switched by a case.
#[derive(Debug, Default)]
pub struct Faults {
    /// The minion crashes, and is lost for good.
    pub gone: AtomicBool,
    /// It fails all that it starts.
    pub grey: AtomicBool,
    /// The tasks that run on it are to fail once.
    pub task_failure: AtomicBool,
}

#[derive(Debug, Clone)]
pub struct Settings {
    pub id: String,
    pub service: String,
    pub zone: String,
    pub labels: Vec<String>,
    pub cpu: u32,
    pub mem_mb: u32,
}

struct Run {
    run: u64,
    work: Work,
    started: Instant,
}

pub struct Minion {
    settings: Settings,
    controls: Vec<SocketAddr>,
    site: Arc<Site>,
    faults: Arc<Faults>,
    record: Arc<Record>,
    born: u128,
    started: Instant,
    sequence: u64,
    fence: u64,
    runs: BTreeMap<String, Run>,
    ended: Vec<(u64, String, u64, &'static str)>,
    last_end: u64,
    newest: BTreeMap<String, u64>,
    lease_end: Instant,
    address: SocketAddr,
    next: usize,
}

impl Minion {
    /// Starts a minion on a thread of its own.
    pub fn start(settings: Settings, controls: Vec<SocketAddr>, site: &Arc<Site>, record: &Arc<Record>) -> Arc<Faults> {
        let faults = Arc::new(Faults::default());
        let now = Instant::now();
        let first = settings.id.bytes().map(usize::from).sum::<usize>() % controls.len();
        let minion = Minion {
            address: controls[first],
            next: first,
            settings,
            controls,
            site: Arc::clone(site),
            faults: Arc::clone(&faults),
            record: Arc::clone(record),
            born: SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default().as_millis(),
            started: now,
            sequence: 0,
            fence: 0,
            runs: BTreeMap::new(),
            ended: Vec::new(),
            last_end: 0,
            newest: BTreeMap::new(),
            lease_end: now,
        };
        thread::spawn(move || minion.run());
        faults
    }

    fn run(mut self) {
        while !self.faults.gone.load(Ordering::SeqCst) {
            self.advance();
            let pause = self.ping();
            // The next ping follows 50 ms after an end.
            let until = Instant::now() + pause;
            let known = self.last_end;
            while Instant::now() < until && self.last_end == known {
                thread::sleep(Duration::from_millis(5));
                self.advance();
            }
            if self.last_end != known {
                thread::sleep(Duration::from_millis(50));
            }
        }
        self.record.line(&format!("minion {} has crashed", self.settings.id));
    }

    fn event(&self, at: Instant, task: &str, run: u64, how: &'static str) {
        let what = if how.is_empty() { "starts" } else { "ends" };
        self.record
            .line(&format!("minion {} ({}) {what} {task} run {run} {how}", self.settings.id, self.settings.zone));
        let minion = self.settings.id.clone();
        let mut events = self.site.events.lock().unwrap_or_else(PoisonError::into_inner);
        events.push(RunEvent { at, minion, task: task.to_owned(), run, how });
    }

    fn end(&mut self, at: Instant, task: &str, how: &'static str) {
        let Some(run) = self.runs.remove(task) else { return };
        self.last_end += 1;
        self.newest.insert(task.to_owned(), run.run);
        self.ended.push((self.last_end, task.to_owned(), run.run, how));
        if let (Work::Gang(..), Some(gang)) = (run.work, self.gangs().get_mut(&gang_key(task, run.run))) {
            gang.broken |= how != "done";
        }
        self.event(at, task, run.run, how);
    }

    fn gangs(&self) -> std::sync::MutexGuard<'_, BTreeMap<(String, u64), Gang>> {
        self.site.gangs.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Ends the runs that are over, and all when the lease has expired.
    fn advance(&mut self) {
        let now = Instant::now();
        let tasks: Vec<String> = self.runs.keys().cloned().collect();
        if !tasks.is_empty() && self.faults.task_failure.swap(false, Ordering::SeqCst) {
            for task in &tasks {
                self.end(now, task, "failed");
            }
            return;
        }
        for task in tasks {
            let run = &self.runs[&task];
            let over = match run.work {
                Work::Lasts => None,
                Work::Ends(time) => (now >= run.started + time).then_some((run.started + time, "done")),
                Work::Fails(time) => (now >= run.started + time).then_some((run.started + time, "failed")),
                Work::Gang(_, time) => {
                    let gangs = self.gangs();
                    let gang = gangs.get(&gang_key(&task, run.run));
                    let complete = gang.and_then(|gang| gang.complete);
                    if gang.is_some_and(|gang| gang.broken) {
                        Some((now, "broken"))
                    } else if let Some(complete) = complete {
                        time.and_then(|time| (now >= complete + time).then_some((complete + time, "done")))
                    } else {
                        (now >= run.started + GANG_TIMEOUT).then_some((now, "alone"))
                    }
                }
            };
            match over {
                Some((at, how)) if at <= self.lease_end => self.end(at, &task, how),
                _ if now >= self.lease_end => self.end(self.lease_end, &task, "lapsed"),
                _ => {}
            }
        }
    }

    fn ping(&mut self) -> Duration {
        self.sequence += 1;
        let sent = Instant::now();
        let path = format!("/v1/Instances.Heartbeat/{}", self.settings.id);
        let answer = http::call(self.address, "POST", "control", &path, "", &self.body(), RESPONSE_TIMEOUT);
        let accepted = answer.filter(|(status, body)| {
            let fits = body.len() <= RESPONSE_LIMIT;
            if !fits {
                self.record.line(&format!("minion {} drops a response of {} bytes", self.settings.id, body.len()));
            }
            *status == 200 && fits && sent.elapsed() < RESPONSE_TIMEOUT
        });
        let Some(body) = accepted.and_then(|(_, body)| Json::parse(&body)) else {
            self.next += 1;
            self.address = self.controls[self.next % self.controls.len()];
            return Duration::from_millis(200);
        };
        if !self.faults.gone.load(Ordering::SeqCst) {
            self.carry_out(sent, &body);
        }
        if let Some(address) = body.get("heartbeat_url").and_then(Json::text).and_then(|text| text.parse().ok()) {
            self.address = address;
            *self.site.leader.lock().unwrap_or_else(PoisonError::into_inner) = Some(address);
        }
        Duration::from_millis(body.get("retry_after_ms").and_then(Json::number).unwrap_or(200))
    }

    fn carry_out(&mut self, sent: Instant, body: &Json) {
        let Some(hold) = body.get("hold_ms").and_then(Json::number) else { return };
        let fence = body.get("fence").and_then(Json::number).unwrap_or(0);
        if fence < self.fence {
            return;
        }
        self.advance();
        self.fence = fence;
        self.lease_end = self.lease_end.max(sent + Duration::from_millis(hold.min(10_000)));
        let seen = body.get("last_seen").and_then(Json::number).unwrap_or(0);
        self.ended.retain(|end| end.0 > seen);
        for row in body.get("stop").map_or(&[][..], Json::list) {
            let [task, run] = row.list() else { continue };
            let (Some(task), Some(run)) = (task.text(), run.number()) else { continue };
            if self.runs.get(task).is_some_and(|known| known.run == run) {
                self.end(Instant::now(), task, "stopped");
            }
            let newest = self.newest.entry(task.to_owned()).or_default();
            *newest = (*newest).max(run);
        }
        for row in body.get("start").map_or(&[][..], Json::list) {
            let [task, run, spec, ..] = row.list() else { continue };
            let (Some(task), Some(run), Some(spec)) = (task.text(), run.number(), spec.text()) else { continue };
            if self.runs.contains_key(task) || self.newest.get(task).is_some_and(|newest| *newest >= run) {
                continue;
            }
            self.begin(task, run, spec);
        }
    }

    fn begin(&mut self, task: &str, run: u64, spec: &str) {
        let (now, work) = (Instant::now(), work(spec));
        self.event(now, task, run, "");
        self.runs.insert(task.to_owned(), Run { run, work, started: now });
        if self.faults.grey.load(Ordering::SeqCst) {
            return self.end(now, task, "failed");
        }
        if let Work::Gang(count, _) = work {
            let mut gangs = self.gangs();
            let gang = gangs.entry(gang_key(task, run)).or_default();
            gang.present.push(task.to_owned());
            if gang.present.len() == count && !gang.broken {
                gang.complete = Some(now);
            }
        }
    }

    fn body(&self) -> String {
        let now = Instant::now();
        let percent = |task: &str, run: &Run| match run.work {
            Work::Lasts => {
                if now >= run.started + START_TIME {
                    100
                } else {
                    0
                }
            }
            Work::Ends(time) | Work::Fails(time) => (now - run.started).as_millis() * 100 / time.as_millis().max(1),
            // A gang makes progress once all members are present.
            Work::Gang(_, time) => {
                let complete = self.gangs().get(&gang_key(task, run.run)).and_then(|gang| gang.complete);
                let worked = complete.map_or(Duration::ZERO, |complete| now.saturating_duration_since(complete));
                worked.as_millis() * 100 / time.unwrap_or(START_TIME).as_millis().max(1)
            }
        };
        let running: Vec<String> = self
            .runs
            .iter()
            .map(|(task, run)| format!("[\"{task}\",{},\"\",{},0]", run.run, percent(task, run).min(100)))
            .collect();
        let ended: Vec<String> = self
            .ended
            .iter()
            .take(LISTED_ENDS)
            .map(|(number, task, run, how)| format!("[{number},\"{task}\",{run},\"{how}\",\"\"]"))
            .collect();
        let labels: Vec<String> = self.settings.labels.iter().map(|label| format!("\"{label}\"")).collect();
        format!(
            "{{\"service\":\"{}\",\"address\":\"127.0.0.1:9\",\"zone\":\"{}\",\"version\":\"v1\",\"slots\":8,\
             \"state\":\"ready\",\"cold_remaining_ms\":0,\"capacity\":{{\"cpu\":{},\"mem_mb\":{},\"gpu\":0}},\
             \"labels\":[{}],\"clock_ms\":{},\"seq\":{},\"born\":{},\"running\":[{}],\"ended\":[{}]}}",
            self.settings.service,
            self.settings.zone,
            self.settings.cpu,
            self.settings.mem_mb,
            labels.join(","),
            self.started.elapsed().as_millis(),
            self.sequence,
            self.born,
            running.join(","),
            ended.join(","),
        )
    }
}

/// The step and run number that the members of a gang share.
fn gang_key(task: &str, run: u64) -> (String, u64) {
    (task.rsplit_once('.').map_or(task, |(step, _)| step).to_owned(), run)
}
