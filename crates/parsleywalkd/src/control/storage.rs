//! The thread that syncs log writes.

use std::thread;

use flume::{Receiver, Sender};
use log::error;
use parsleywalk_consensus::{LogWrite, WriteTicket};
use parsleywalk_storage::LogStore;

use super::event::ControlEvent;
use crate::{DaemonError, Result};

/// Maximum number of queued writes that are synced together with the first one.
const MAX_GROUPED_WRITES: usize = 4096;

/// Exit code after a failed sync, `EX_IOERR` of `sysexits.h`.
const SYNC_FAILED_EXIT_CODE: i32 = 74;

/// Starts the storage thread. It syncs all queued writes together and reports them afterwards.
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
                    std::iter::once(first).chain(queue.try_iter().take(MAX_GROUPED_WRITES)).unzip();
                if let Err(cause) = store.write(&writes) {
                    // After a failed sync the contents of the disk are unknown. Continuing could break a durability
                    // guarantee, so the process exits.
                    error!("event=storage_failed error={:?}", cause.to_string());
                    std::process::exit(SYNC_FAILED_EXIT_CODE);
                }
                if events.send(ControlEvent::Persisted(tickets)).is_err() {
                    return;
                }
            }
        })
        .map_err(|cause| DaemonError::Thread { step: "start storage thread", cause })?;
    Ok(())
}
