//! The thread that syncs log writes.

use std::thread;

use flume::{Receiver, Sender};
use log::error;
use parsleywalk_consensus::{LogWrite, WriteTicket};
use parsleywalk_storage::LogStore;

use super::event::ControlEvent;
use crate::{DaemonError, Result};

/// The most writes in one sync.
const GROUP_LIMIT: usize = 4096;

/// The exit code after a failed sync.
const STORAGE_EXIT: i32 = 74;

/// Starts the thread. All writes that wait are synced together, and only then reported.
pub(crate) fn start(
    mut store: LogStore,
    queue: Receiver<(WriteTicket, LogWrite)>,
    events: Sender<ControlEvent>,
) -> Result<()> {
    thread::Builder::new()
        .name("storage".to_owned())
        .spawn(move || {
            while let Ok(first) = queue.recv() {
                let (tickets, writes): (Vec<_>, Vec<_>) =
                    std::iter::once(first).chain(queue.try_iter().take(GROUP_LIMIT)).unzip();
                if let Err(cause) = store.write(&writes) {
                    // What is on the disk is unknown now. Going on could break a guarantee, so the process ends.
                    error!("event=storage_failed error={:?}", cause.to_string());
                    std::process::exit(STORAGE_EXIT);
                }
                if events.send(ControlEvent::Persisted(tickets)).is_err() {
                    return;
                }
            }
        })
        .map_err(|cause| DaemonError::Thread { step: "start storage thread", cause })?;
    Ok(())
}
