//! Two processes of one balancer side by side: what the one that ends leaves for the other in `$TMPDIR`.

use crate::broker::handover::{Handover, MAX_BYTES};
use crate::broker::Broker;
use std::io::{self, Read, Write};
use std::path::{Path, PathBuf};
use std::rc::Rc;

/// Its name there.
const NAME: &str = "oakdeal-handover";
/// How often the new process looks for it, and for how long after its yes.
const LOOK: u64 = 20_000;
const LOOKS: u64 = 10_000_000;

/// The place where it is left; none where the platform gives no folder.
pub fn place() -> Option<PathBuf> {
    std::env::var_os("TMPDIR").filter(|dir| !dir.is_empty()).map(|dir| Path::new(&dir).join(NAME))
}

/// What lies there at a start was meant for another process.
pub fn clear(place: &Path) {
    match std::fs::remove_file(place) {
        Ok(()) => tracing::warn!("{} was left over from before: removed", place.display()),
        Err(e) if e.kind() == io::ErrorKind::NotFound => {}
        Err(e) => tracing::warn!("{} cannot be removed: {e}", place.display()),
    }
}

/// Leaves what stands, whole or not at all; `until` is when this process ends at the latest.
pub fn leave(broker: &Broker, place: &Path, balancer: &str, until: u64) {
    let handover = Handover {
        balancer: balancer.into(),
        written_at: broker.now(),
        predecessor_exit: until,
        connections: broker.established_connections(),
    };
    let half = place.with_extension(std::process::id().to_string());
    let written = std::fs::File::create(&half)
        .and_then(|mut file| file.write_all(&handover.encode()))
        .and_then(|()| std::fs::rename(&half, place));
    match written {
        Ok(()) => tracing::info!("handed over {} connections", handover.connections.len()),
        Err(e) => {
            tracing::warn!("{} cannot be written: {e}; nothing is handed over", place.display());
            let _ = std::fs::remove_file(&half);
        }
    }
}

/// Looks for what the process before this one leaves, and has it booked until that process has ended.
pub async fn take_up(broker: Rc<Broker>, place: PathBuf, balancer: String) {
    let end = broker.now() + LOOKS;
    // What lies there once this process leaves too is its own.
    while broker.now() < end && !broker.is_shutting_down() {
        if let Some(bytes) = read(&place) {
            match Handover::decode(&bytes, &balancer, broker.now()) {
                Ok(handover) => {
                    tracing::info!(
                        "{} connections stand at the process before this one",
                        handover.connections.len()
                    );
                    broker.inherit_connections(handover.connections);
                    broker.sleep_until(handover.predecessor_exit.min(end)).await;
                    return broker.predecessor_ended();
                }
                Err(why) => tracing::warn!("{} {why}: ignored", place.display()),
            }
        }
        broker.sleep(LOOK).await;
    }
}

/// What lies there, taken away; none where there is nothing, or more than a handover can be.
fn read(place: &Path) -> Option<Vec<u8>> {
    let mut bytes = Vec::new();
    let file = std::fs::File::open(place).ok()?;
    let _ = std::fs::remove_file(place);
    file.take(MAX_BYTES as u64 + 1).read_to_end(&mut bytes).ok()?;
    Some(bytes)
}
