//! Tests of the metrics of workspaces.

use parsleywalk_batch::WorkspaceUsage;

use super::FleetMetrics;

fn usage(name: &str, cores: &str, limit: &str) -> WorkspaceUsage {
    WorkspaceUsage {
        workspace: name.parse().expect("a name"),
        allocated: format!("{cores}c/1GB/0a").parse().expect("a size"),
        limit: limit.parse().expect("a limit"),
        share: 0.5,
        waiting_jobs: 3,
        limited_jobs: 2,
    }
}

/// Returns the series of workspaces, without their help lines.
fn series(metrics: &FleetMetrics) -> Vec<String> {
    let text = metrics.render();
    let lines = text.lines().filter(|line| line.starts_with("parsleywalk_workspace_"));
    let without_scope = |line: &str| line.replace(",otel_scope_name=\"parsleywalk\"", "");
    lines.map(without_scope).collect()
}

/// Guards against a series that stays with its last value after its workspace was removed or the leadership ended.
#[test]
fn series_end_with_their_workspace() {
    let metrics = FleetMetrics::default();
    metrics.record_workspaces(Some(vec![usage("a", "2.5", "8c/-/-"), usage("b", "1", "-/-/-")]));
    let expected = [
        r#"parsleywalk_workspace_cores{kind="limit",workspace="a"} 8"#,
        r#"parsleywalk_workspace_cores{kind="running",workspace="a"} 2.5"#,
        r#"parsleywalk_workspace_cores{kind="running",workspace="b"} 1"#,
        r#"parsleywalk_workspace_waiting_jobs{workspace="a"} 3"#,
        r#"parsleywalk_workspace_waiting_jobs{workspace="b"} 3"#,
    ];
    assert_eq!(series(&metrics), expected);
    assert_eq!(series(&metrics), expected, "a second collector gets the same");
    metrics.record_workspaces(Some(vec![usage("b", "1", "-/-/-")]));
    assert!(series(&metrics).iter().all(|line| line.contains(r#"workspace="b""#)));
    metrics.record_workspaces(None);
    assert_eq!(series(&metrics), Vec::<String>::new());
}

/// Guards against as many series as there are workspaces, and against two series with the same labels.
#[test]
fn workspaces_beyond_the_bound_share_series() {
    let metrics = FleetMetrics::default();
    let names = (0..70).map(|number| format!("w{number:02}")).chain(["other".to_owned()]);
    metrics.record_workspaces(Some(names.map(|name| usage(&name, "1", "4c/-/-")).collect()));
    let lines = series(&metrics);
    assert_eq!(lines.len(), 64 * 3 + 2, "{lines:#?}");
    assert!(lines.contains(&r#"parsleywalk_workspace_cores{kind="running",workspace="other"} 7"#.to_owned()));
    assert!(lines.contains(&r#"parsleywalk_workspace_waiting_jobs{workspace="other"} 21"#.to_owned()));
}
