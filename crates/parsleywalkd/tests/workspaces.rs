//! Tests of real daemons whose configuration has workspaces: what callers and operators are answered, and what is logged.

mod common;

use std::net::SocketAddr;

use common::platform::{DAEMONS, start_platform};
use common::wait_until;
use parsleywalk_api::WorkspaceList;
use parsleywalk_platform_soak::{ProcessFleet, ScriptedWorkers};
use serde_json::{Value, json};
use tempfile::TempDir;

/// The workspace alpha may have this many tasks of a core running.
const LIMIT_TASKS: u32 = 3;
/// The job of the workspace alpha.
const JOB: &str = "00000000000000a1";

/// Sends a request, and returns the status and body of the response.
fn call(method: &str, address: SocketAddr, path: &str, key: Option<&str>, body: &Value) -> (u16, String) {
    let method = method.parse().expect("a method");
    let mut request = attohttpc::RequestBuilder::new(method, format!("http://{address}{path}"));
    if let Some(key) = key {
        request = request.header("Authorization", format!("bearer  {key} "));
    }
    let text = if body.is_null() { String::new() } else { body.to_string() };
    let response = request.text(text).send().expect("a response");
    (response.status().as_u16(), response.text().expect("a body"))
}

/// Returns a configuration with a queue that needs a key, one that does not, and two workspaces.
fn configuration(version: u64, entry: SocketAddr, alpha_key: &str, beta_key: &str) -> Value {
    let route = |prefix: &str, public: bool| {
        json!({"name": prefix, "host": entry.ip().to_string(), "path_prefix": prefix, "service": "planning",
            "timeout_ms": 3000, "max_attempts": 3, "stretch": 2.0, "public": public})
    };
    let limit = json!({"cpu": LIMIT_TASKS * 1000, "mem_mb": 0, "gpu": 0});
    json!({
        "version": version, "routes": [route("/jobs/", false), route("/open/", true)],
        "services": [{"name": "planning", "enforces_capacity": true}],
        "tenants": [{"name": "alpha", "api_keys": [alpha_key], "weight": 1, "max_count": limit, "priority": 0},
            {"name": "beta", "api_keys": [beta_key]}],
    })
}

/// Waits until the leader lists the workspace alpha with as many cores as its limit and one waiting job, and returns the
/// leader's metrics.
fn wait_until_limited(fleet: &ProcessFleet) -> String {
    let mut leader = 0;
    wait_until("the limit", || {
        let lists = (0..DAEMONS).map(|index| call("GET", fleet.metrics(index), "/workspaces", None, &Value::Null));
        let leading = lists.enumerate().find(|(_, (status, _))| *status == 200);
        let Some((index, (_, text))) = leading else { return false };
        leader = index;
        let list: WorkspaceList = serde_json::from_str(&text).expect("a list");
        let [alpha, beta] = &list.workspaces[..] else { return false };
        let limit = alpha.limit.cores.map(parsleywalk_units::MilliCores::get);
        assert_eq!((limit, beta.waiting_jobs, list.omitted), (Some(LIMIT_TASKS * 1000), 0, 0));
        alpha.allocated.cores.get() == LIMIT_TASKS * 1000 && (alpha.waiting_jobs, alpha.limited_jobs) == (1, 1)
    });
    call("GET", fleet.metrics(leader), "/metrics", None, &Value::Null).1
}

/// Guards against a caller that gets what is not its own, one that is refused what is, a list that does not show why a job
/// waits, and a key in a log line.
#[test]
fn callers_get_what_their_keys_permit() {
    let folder = TempDir::new().expect("a folder");
    let fleet = start_platform(&folder);
    let workers = ScriptedWorkers::start(&fleet.control_addresses(), 2);
    let (entry, control) = (fleet.entry_addresses()[0], fleet.control_addresses()[0]);
    let configure = |body: &Value| call("POST", control, "/v1/Config.Put", None, body).0;
    let shared = configuration(2, entry, "secret-a1", "secret-a1");
    assert_eq!(configure(&shared), 400, "two workspaces share a key");
    let valid = configuration(2, entry, "secret-a1", "secret-b1");
    wait_until("the configuration", || configure(&valid) == 200);
    assert_eq!(call("GET", control, "/v1/Config.Get", None, &Value::Null), (200, valid.to_string()));

    let step = |cpu: u32| json!({"spec": "lasts", "steps": [{"count": 8, "cpu": cpu, "mem_mb": 100}]});
    let job = |prefix: &str| format!("/{prefix}/{JOB}");
    let request = |method: &str, path: &str, key, body: &Value| call(method, entry, path, key, body).0;
    let (alpha, beta) = (Some("secret-a1"), Some("secret-b1"));
    assert_eq!(request("POST", &job("jobs"), None, &step(1000)), 401);
    assert_eq!(request("POST", &job("jobs"), Some("secret-x"), &step(1000)), 401);
    assert_eq!(request("POST", &job("other"), None, &step(1000)), 404, "the unknown queue takes precedence");
    assert_eq!(request("POST", &job("jobs"), alpha, &step(LIMIT_TASKS * 1000 + 1)), 400, "it can never run");
    assert_eq!(request("POST", &job("jobs"), alpha, &step(1000)), 200);
    for (method, prefix, key, status) in [
        ("GET", "jobs", alpha, 200),
        ("GET", "open", alpha, 200),
        ("GET", "jobs", beta, 403),
        ("DELETE", "jobs", beta, 403),
        ("GET", "open", None, 403),
        ("DELETE", "open", Some("secret-x"), 403),
        ("GET", "jobs", None, 401),
    ] {
        assert_eq!(request(method, &job(prefix), key, &Value::Null), status, "{method} /{prefix}/ {key:?}");
    }
    assert_eq!(request("POST", "/open/00000000000000c1", None, &step(1000)), 200, "a public queue needs no key");
    assert_eq!(request("GET", "/open/00000000000000c1", None, &Value::Null), 200);

    let metrics = wait_until_limited(&fleet);
    wait_until("the tasks", || workers.running(JOB) == LIMIT_TASKS as usize);
    for kind in ["running", "limit"] {
        let series = format!("parsleywalk_workspace_cores{{kind=\"{kind}\",workspace=\"alpha\"");
        assert!(metrics.lines().any(|line| line.starts_with(&series) && line.ends_with(" 3")), "{metrics}");
    }

    assert_eq!(configure(&configuration(3, entry, "secret-a2", "secret-b1")), 200);
    assert_eq!(request("GET", &job("jobs"), alpha, &Value::Null), 401, "the key is revoked");
    assert_eq!(request("DELETE", &job("jobs"), Some("secret-a2"), &Value::Null), 200);
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
