//! Scripted cases of the review: `review-cases CASE ROOT FOLDER`.
//!
//! Exits with 1 if the rule was broken, 0 if it held and 2 if the case couldn't run.

mod cases;
mod deployment;
mod http;
mod json;
mod link;
mod minion;
mod record;

use std::path::Path;
use std::process::ExitCode;
use std::sync::Arc;
use std::thread;
use std::time::Duration;

use record::Record;

/// A case runs for 120 s at most.
const TIME_LIMIT: Duration = Duration::from_secs(112);

fn main() -> ExitCode {
    let arguments: Vec<String> = std::env::args().collect();
    let [_, case, root, folder] = arguments.as_slice() else {
        eprintln!("usage: review-cases CASE ROOT FOLDER");
        return ExitCode::from(2);
    };
    let Ok(record) = Record::create(&Path::new(folder).join("record.txt")) else {
        eprintln!("record.txt can't be written");
        return ExitCode::from(2);
    };
    let record = Arc::new(record);
    let watched = Arc::clone(&record);
    thread::spawn(move || {
        thread::sleep(TIME_LIMIT);
        watched.line("the case couldn't run: it took too long");
        std::process::exit(2);
    });
    let trouble = std::env::var("TROUBLE").map_or(true, |value| value != "0");
    record.line(&format!("case {case}, with the disruption: {trouble}"));
    match cases::run(case, Path::new(root), &record, trouble) {
        Ok(None) => {
            record.line("the rule held");
            ExitCode::SUCCESS
        }
        Ok(Some(breach)) => {
            record.line(&format!("the rule was broken: {breach}"));
            ExitCode::from(1)
        }
        Err(reason) => {
            record.line(&format!("the case couldn't run: {reason}"));
            ExitCode::from(2)
        }
    }
}
