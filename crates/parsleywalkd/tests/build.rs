//! Tests that a program is built from the sources that are there.

#[path = "../build/source_digest.rs"]
mod source_digest;

use std::fs::{self, File};
use std::path::Path;
use std::process::Command;
use std::time::{Duration, SystemTime};

use source_digest::source_digest;
use tempfile::TempDir;

/// How much older than the build the changed sources are.
const SOURCE_AGE: Duration = Duration::from_hours(24);

fn workspace() -> &'static Path {
    Path::new(concat!(env!("CARGO_MANIFEST_DIR"), "/../.."))
}

/// Writes a file with an old modification time.
fn write_old(path: &Path, text: &str) {
    fs::create_dir_all(path.parent().expect("a folder")).expect("a folder");
    fs::write(path, text).expect("written");
    File::options().write(true).open(path).expect("opened").set_modified(SystemTime::now() - SOURCE_AGE).expect("set");
}

/// Writes a workspace with a daemon that prints a text, builds it as the deploy file does, and returns what it prints.
fn build_and_run(folder: &Path, text: &str) -> String {
    let manifest = "[package]\nname = \"parsleywalkd\"\nversion = \"0.1.0\"\nedition = \"2024\"\n";
    write_old(&folder.join("Cargo.toml"), "[workspace]\nresolver = \"3\"\nmembers = [\"crates/*\"]\n");
    write_old(&folder.join("Cargo.lock"), "version = 4\n\n[[package]]\nname = \"parsleywalkd\"\nversion = \"0.1.0\"\n");
    write_old(&folder.join("crates/parsleywalkd/Cargo.toml"), manifest);
    write_old(&folder.join("crates/parsleywalkd/src/main.rs"), &format!("fn main() {{ println!({text:?}); }}\n"));
    write_old(&folder.join("platform/.keep"), "");
    write_old(
        &folder.join("deploy/build.sh"),
        &fs::read_to_string(workspace().join("deploy/build.sh")).expect("a script"),
    );
    let mut command = Command::new("bash");
    command.arg("deploy/build.sh").current_dir(folder).env_remove("CARGO_TARGET_DIR");
    let output = command.output().expect("the script starts");
    assert!(output.status.success(), "{}", String::from_utf8_lossy(&output.stderr));
    let program = Command::new(folder.join("target/release/parsleywalkd")).output().expect("the program starts");
    String::from_utf8_lossy(&program.stdout).trim().to_owned()
}

/// Guards against a build folder that was carried over to other sources and keeps their program, since the new sources
/// are older than the build: `review/2` then fails as on the code from before its fix.
#[test]
fn a_carried_over_build_folder_is_rebuilt() {
    let folder = TempDir::new().expect("a folder");
    assert_eq!(build_and_run(folder.path(), "earlier"), "earlier");
    assert_eq!(build_and_run(folder.path(), "later"), "later");
    assert_eq!(build_and_run(folder.path(), "later"), "later");
}

/// Guards against a program that names other sources than those it is built from, and against tests that run with a
/// program from a carried-over build folder.
#[test]
fn the_program_names_its_sources() {
    assert_eq!(source_digest(workspace()).expect("the sources can be read"), env!("PARSLEYWALK_BUILD"));
}
