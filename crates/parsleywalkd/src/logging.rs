//! Log lines: one line of key=value pairs for each event.

use std::time::{SystemTime, UNIX_EPOCH};

use crate::settings::LogSettings;
use crate::{DaemonError, Result};

/// Sends log lines where the settings say.
///
/// # Errors
///
/// Returns an error when the log file can't be opened or a logger is already set.
pub fn start_logging(settings: &LogSettings) -> Result<()> {
    let level = settings.level.parse().unwrap_or(log::LevelFilter::Info);
    let dispatch =
        fern::Dispatch::new().level(level).level_for("h2", log::LevelFilter::Warn).format(|out, message, record| {
            let since_epoch = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
            out.finish(format_args!(
                "time={}.{:03} level={} module={} {message}",
                since_epoch.as_secs(),
                since_epoch.subsec_millis(),
                record.level().as_str().to_lowercase(),
                record.target(),
            ));
        });
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
