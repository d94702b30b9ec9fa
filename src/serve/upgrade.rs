//! Hands the established connections of a process that shuts down to its successor, through a file in `$TMPDIR`.

use crate::api::Micros;
use crate::broker::handover::{Handover, MAX_BYTES};
use crate::broker::Broker;
use std::io::{self, Read, Write};
use std::path::{Path, PathBuf};
use std::rc::Rc;

/// Name of the handover file.
const FILE_NAME: &str = "oakdeal-handover";
/// Interval at which the new process looks for the handover file.
const POLL_INTERVAL: Micros = 20_000;
/// Time for which the new process looks for the handover file after it has begun to serve.
const POLL_SPAN: Micros = 10_000_000;

/// Returns the path of the handover file; `None` if the platform sets no `TMPDIR`.
pub fn handover_path() -> Option<PathBuf> {
    std::env::var_os("TMPDIR").filter(|dir| !dir.is_empty()).map(|dir| Path::new(&dir).join(FILE_NAME))
}

/// Removes a handover file that exists at the start: it was meant for an earlier process.
pub fn remove_stale(path: &Path) {
    match std::fs::remove_file(path) {
        Ok(()) => tracing::warn!("{}: removed the handover of an earlier process", path.display()),
        Err(e) if e.kind() == io::ErrorKind::NotFound => {}
        Err(e) => tracing::warn!("{} cannot be removed: {e}", path.display()),
    }
}

/// Writes the established connections to the handover file, atomically. `until` is when this process ends at the latest.
pub fn write_handover(broker: &Broker, path: &Path, balancer: &str, until: Micros) {
    let handover = Handover {
        balancer: balancer.into(),
        written_at: broker.now(),
        predecessor_exit: until,
        connections: broker.established_connections(),
    };
    let partial = path.with_extension(std::process::id().to_string());
    let written = std::fs::File::create(&partial)
        .and_then(|mut file| file.write_all(&handover.encode()))
        .and_then(|()| std::fs::rename(&partial, path));
    match written {
        Ok(()) => tracing::info!("handed over {} connections", handover.connections.len()),
        Err(e) => {
            tracing::warn!("{} cannot be written: {e}; nothing is handed over", path.display());
            let _ = std::fs::remove_file(&partial);
        }
    }
}

/// Waits for the handover of the previous process and counts its connections until that process has ended.
pub async fn import_handover(broker: Rc<Broker>, path: PathBuf, balancer: String) {
    let end = broker.now() + POLL_SPAN;
    // Once this process shuts down too, a file at this path is its own.
    while broker.now() < end && !broker.is_shutting_down() {
        if let Some(bytes) = take_file(&path) {
            match Handover::decode(&bytes, &balancer, broker.now()) {
                Ok(handover) => {
                    tracing::info!(
                        "{} connections are established at the previous process",
                        handover.connections.len()
                    );
                    broker.inherit_connections(handover.connections);
                    broker.sleep_until(handover.predecessor_exit.min(end)).await;
                    return broker.predecessor_ended();
                }
                Err(reason) => tracing::warn!("{} {reason}: ignored", path.display()),
            }
        }
        broker.sleep(POLL_INTERVAL).await;
    }
}

/// Reads and removes the handover file, up to one byte more than a valid handover has; `None` if it cannot be read.
fn take_file(path: &Path) -> Option<Vec<u8>> {
    let mut bytes = Vec::new();
    let file = std::fs::File::open(path).ok()?;
    let _ = std::fs::remove_file(path);
    file.take(MAX_BYTES as u64 + 1).read_to_end(&mut bytes).ok()?;
    Some(bytes)
}
