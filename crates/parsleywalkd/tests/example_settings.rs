//! Tests of the example settings of both deployments, and of the validation of settings.

use std::path::{Path, PathBuf};
use std::process::Command;

use parsleywalkd::DaemonSettings;
use rstest::rstest;

fn folder(deployment: &str) -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("../../examples").join(deployment)
}

/// Guards against example settings that are invalid, and against daemons whose settings disagree about the deployment.
#[rstest]
#[case("senderos")]
#[case("vihmavari")]
fn seven_daemons_agree(#[case] deployment: &str) {
    let load =
        |vm: u32| DaemonSettings::load(&folder(deployment).join(format!("vm{vm}.yaml"))).expect("valid settings");
    let first = load(1);
    assert_eq!(first.daemons.len(), 7);
    for vm in 1..=7 {
        let settings = load(vm);
        assert_eq!(settings.vm.get(), vm);
        assert_eq!((&settings.daemons, &settings.replicas), (&first.daemons, &first.replicas));
        assert_eq!(settings.data_folder.is_some(), settings.replicas.contains(&settings.vm));
        assert!(settings.peer_token().is_ok() && settings.operator_token().is_ok());
    }
}

/// Guards against reporting only the first error in the settings, and against starting with invalid settings.
#[test]
fn faults_are_listed_together_and_stop_the_start() {
    let folder = tempfile::TempDir::new().expect("a temporary folder");
    let path = folder.path().join("bad.yaml");
    let text = "vm: 3\nreplicas: [1, 9]\ndaemons:\n  - { vm: 1, zone: a, callers: \"127.0.0.1:1\", operators: \
                \"127.0.0.1:1\", peers: \"127.0.0.1:2\" }\nlimits: { connections: 0 }\n";
    std::fs::write(&path, text).expect("a settings file");
    let output = Command::new(env!("CARGO_BIN_EXE_parsleywalkd"))
        .args(["--check-settings", "--settings"])
        .arg(&path)
        .output()
        .expect("the daemon's binary");
    assert_eq!(output.status.code(), Some(78));
    let errors = String::from_utf8_lossy(&output.stderr);
    for error in [
        "no entry for this daemon's vm 3",
        "127.0.0.1:1 is listed twice",
        "vm 9 has no entry",
        "2 given",
        "limits.connections 0",
    ] {
        assert!(errors.contains(error), "{error} is missing in {errors}");
    }
    std::fs::write(&path, "vm: 1\nvmm: 2\n").expect("a settings file");
    assert!(DaemonSettings::load(&path).unwrap_err().to_string().contains("vmm"));
}
