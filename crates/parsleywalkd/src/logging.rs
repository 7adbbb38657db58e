//! Logging, with one line of key=value pairs for each event.

use std::fmt::Arguments;
use std::io::Write;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::thread;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use flume::{Receiver, Sender};

use crate::settings::LogSettings;
use crate::{DaemonError, Result};

/// Maximum number of lines queued for standard output. While its reader is slow, further lines are dropped and counted.
const MAX_QUEUED_LINES: usize = 4096;
/// Interval between two writes of all queued lines; batching saves system calls.
const WRITE_INTERVAL: Duration = Duration::from_millis(50);

/// Sends log lines to standard output through a bounded queue, so that a slow or stuck reader blocks no thread.
///
/// Returns the counter of the lines dropped since the start.
///
/// # Errors
///
/// Returns an error if the thread can't start or a logger is already set.
pub fn start_queued_logging() -> Result<Arc<AtomicU64>> {
    let (lines, queue) = flume::bounded::<String>(MAX_QUEUED_LINES);
    let dropped = Arc::new(AtomicU64::new(0));
    let (counted, total) = (Arc::clone(&dropped), Arc::clone(&dropped));
    let start_error = |cause| DaemonError::Thread { step: "start logging", cause };
    thread::Builder::new().name("log".to_owned()).spawn(move || write_lines(&queue, &counted)).map_err(start_error)?;
    formatted(log::LevelFilter::Info)
        .chain(fern::Output::call(move |record| queue_line(&lines, &dropped, record.args())))
        .apply()
        .map_err(|cause| start_error(std::io::Error::other(cause.to_string())))?;
    Ok(total)
}

fn queue_line(lines: &Sender<String>, dropped: &AtomicU64, line: &Arguments<'_>) {
    if lines.try_send(format!("{line}\n")).is_err() {
        dropped.fetch_add(1, Ordering::Relaxed);
    }
}

fn write_lines(queue: &Receiver<String>, dropped: &AtomicU64) {
    let mut output = std::io::stdout();
    let mut reported = 0;
    while let Ok(first) = queue.recv() {
        thread::sleep(WRITE_INTERVAL);
        let mut text = first;
        text.extend(queue.try_iter());
        let lost = dropped.load(Ordering::Relaxed);
        if lost > reported {
            text.extend([format!("event=log_lines_dropped count={}\n", lost - reported)]);
            reported = lost;
        }
        // Standard output is the only place to log, so a failed write is only counted.
        if output.write_all(text.as_bytes()).and_then(|()| output.flush()).is_err() {
            dropped.fetch_add(1, Ordering::Relaxed);
        }
    }
}

/// Formats each event as one line of key=value pairs.
fn formatted(level: log::LevelFilter) -> fern::Dispatch {
    fern::Dispatch::new().level(level).level_for("h2", log::LevelFilter::Warn).format(|out, message, record| {
        let since_epoch = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        out.finish(format_args!(
            "time={}.{:03} level={} module={} {message}",
            since_epoch.as_secs(),
            since_epoch.subsec_millis(),
            record.level().as_str().to_lowercase(),
            record.target(),
        ));
    })
}

/// Sends log lines to the file named in the settings, or to standard error.
///
/// # Errors
///
/// Returns an error if the log file can't be opened or a logger is already set.
pub fn start_logging(settings: &LogSettings) -> Result<()> {
    let level = settings.level.parse().unwrap_or(log::LevelFilter::Info);
    let dispatch = formatted(level);
    let dispatch = match &settings.file {
        Some(path) => dispatch.chain(fern::log_file(path).map_err(|cause| DaemonError::File {
            step: "open log",
            path: path.clone(),
            cause,
        })?),
        None => dispatch.chain(std::io::stderr()),
    };
    dispatch
        .apply()
        .map_err(|cause| DaemonError::Thread { step: "start logging", cause: std::io::Error::other(cause.to_string()) })
}
