//! Tests of real daemons whose configuration has workspaces: what callers and operators are answered, and what is logged.

mod common;

use std::net::SocketAddr;

use common::platform::{DAEMONS, start_platform};
use common::wait_until;
use parsleywalk_api::WorkspaceList;
use parsleywalk_platform_soak::{KeyedProbe, ProcessFleet, ScriptedWorkers};
use tempfile::TempDir;

/// The size of a task in thousandths of a core.
const TASK_MILLICORES: u32 = 1000;
/// The number of tasks of a job.
const TASKS: u32 = 8;
/// The workspace alpha may have this many tasks running.
const LIMIT_TASKS: u32 = 3;
/// The job of the workspace alpha.
const JOB: &str = "00000000000000a1";

/// Reads a page at a metrics address, and returns the status and body of the response.
fn read_page(address: SocketAddr, path: &str) -> (u16, String) {
    let response = attohttpc::get(format!("http://{address}{path}")).send().expect("a response");
    (response.status().as_u16(), response.text().expect("a body"))
}

/// Waits until the leader lists the workspace alpha with as many cores as its limit and one waiting job, and returns the
/// leader's metrics.
fn wait_until_limited(fleet: &ProcessFleet) -> String {
    let mut leader = 0;
    wait_until("the limit", || {
        let lists = (0..DAEMONS).map(|index| read_page(fleet.metrics(index), "/workspaces"));
        let leading = lists.enumerate().find(|(_, (status, _))| *status == 200);
        let Some((index, (_, text))) = leading else { return false };
        leader = index;
        let list: WorkspaceList = serde_json::from_str(&text).expect("a list");
        let [alpha, beta] = &list.workspaces[..] else { return false };
        let limit = alpha.limit.cores.map(parsleywalk_units::MilliCores::get);
        assert_eq!((limit, beta.waiting_jobs, list.omitted), (Some(LIMIT_TASKS * TASK_MILLICORES), 0, 0));
        alpha.allocated.cores.get() == LIMIT_TASKS * TASK_MILLICORES
            && (alpha.waiting_jobs, alpha.limited_jobs) == (1, 1)
    });
    read_page(fleet.metrics(leader), "/metrics").1
}

/// Guards against a caller that gets what is not its own, one that is refused what is, a list that does not show why a job
/// waits, and a key in a log line.
#[test]
fn callers_get_what_their_keys_permit() {
    let folder = TempDir::new().expect("a folder");
    let fleet = start_platform(&folder);
    let workers = ScriptedWorkers::start(&fleet.control_addresses(), 2);
    let probe = KeyedProbe::new(&fleet);
    let configuration = |version, alpha_key, beta_key| {
        let alpha_millicores = LIMIT_TASKS * TASK_MILLICORES;
        probe.configuration(version, alpha_key, beta_key, alpha_millicores)
    };
    let shared = configuration(2, "secret-a1", "secret-a1");
    assert_eq!(probe.configure(&shared), Some(400), "two workspaces share a key");
    let valid = configuration(2, "secret-a1", "secret-b1");
    wait_until("the configuration", || probe.configure(&valid) == Some(200));
    assert_eq!(probe.read_configuration(), Some(valid.to_string()));

    let job = |prefix: &str| format!("/{prefix}/{JOB}");
    let submit = |path: &str, key, millicores| probe.submit(path, key, TASKS, millicores);
    let (alpha, beta) = (Some("secret-a1"), Some("secret-b1"));
    assert_eq!(submit(&job("jobs"), None, TASK_MILLICORES), Some(401));
    assert_eq!(submit(&job("jobs"), Some("secret-x"), TASK_MILLICORES), Some(401));
    assert_eq!(submit(&job("other"), None, TASK_MILLICORES), Some(404), "the unknown queue takes precedence");
    let too_large = LIMIT_TASKS * TASK_MILLICORES + 1;
    assert_eq!(submit(&job("jobs"), alpha, too_large), Some(400), "it can never run");
    assert_eq!(submit(&job("jobs"), alpha, TASK_MILLICORES), Some(200));
    for (prefix, key, status) in [("jobs", alpha, 200), ("open", alpha, 200), ("jobs", beta, 403), ("open", None, 403)]
    {
        assert_eq!(probe.read(&job(prefix), key), Some(status), "/{prefix}/ {key:?}");
    }
    assert_eq!(probe.cancel(&job("jobs"), beta), Some(403));
    assert_eq!(probe.cancel(&job("open"), Some("secret-x")), Some(403));
    assert_eq!(probe.read(&job("jobs"), None), Some(401));
    let public = "/open/00000000000000c1";
    assert_eq!(submit(public, None, TASK_MILLICORES), Some(200), "a public queue needs no key");
    assert_eq!(probe.read(public, None), Some(200));

    let metrics = wait_until_limited(&fleet);
    wait_until("the tasks", || workers.running(JOB) == LIMIT_TASKS as usize);
    for kind in ["running", "limit"] {
        let series = format!("parsleywalk_workspace_cores{{kind=\"{kind}\",workspace=\"alpha\"");
        assert!(metrics.lines().any(|line| line.starts_with(&series) && line.ends_with(" 3")), "{metrics}");
    }

    assert_eq!(probe.configure(&configuration(3, "secret-a2", "secret-b1")), Some(200));
    assert_eq!(probe.read(&job("jobs"), alpha), Some(401), "the key is revoked");
    assert_eq!(probe.cancel(&job("jobs"), Some("secret-a2")), Some(200));
    assert_eq!(workers.starts(JOB).len(), LIMIT_TASKS as usize, "no task started beyond the limit");
    let logs = || (0..DAEMONS).map(|index| fleet.log(index).expect("a log")).collect::<String>();
    let refused = r#"event=configuration_refused reason="tenants alpha and beta share a key""#;
    // Lines are written some time after they are logged.
    for text in
        [refused, "event=workspace_limited workspace=alpha", "event=order_answered order=configuration version=3"]
    {
        wait_until(text, || logs().contains(text));
    }
    assert!(!logs().contains("secret"), "a log shows a key");
}
