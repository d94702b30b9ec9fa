//! Storage of a voter on a thread of its own: a slow disk delays the group's decisions and never the clients.
//!
//! Invariant: writes are performed in the order of their submission, and are counted as kept only once they are durable. After
//! a failed write no further one is performed, and [`Keep::kept`] returns the failure to the voter.

use super::folder::{StorageUpdate, VoterStorage};
use raft::eraftpb::{Entry, HardState, Snapshot};
use std::sync::mpsc::{channel, Receiver, Sender, TryRecvError};
use std::sync::Arc;
use std::thread;
use tokio::sync::Notify;

/// A submitted write.
pub(super) struct Write {
    entries: Vec<Entry>,
    hard_state: Option<HardState>,
    snapshot: Option<Snapshot>,
    reset_log: bool,
}

impl Write {
    /// Returns an owned copy of what is to be written.
    pub fn from_save(save: &StorageUpdate) -> Write {
        let StorageUpdate { entries, hard_state, snapshot, reset_log } = *save;
        Write {
            entries: entries.to_vec(),
            hard_state: hard_state.cloned(),
            snapshot: snapshot.cloned(),
            reset_log,
        }
    }

    /// Returns the write as the storage takes it.
    pub fn as_save(&self) -> StorageUpdate<'_> {
        let Write { entries, hard_state, snapshot, reset_log } = self;
        StorageUpdate {
            entries,
            hard_state: hard_state.as_ref(),
            snapshot: snapshot.as_ref(),
            reset_log: *reset_log,
        }
    }
}

/// Storage whose writes are performed by another thread.
pub struct Writer {
    writes: Sender<Write>,
    /// Result of each batch: number of writes that have become durable.
    results: Receiver<Result<u64, String>>,
    /// Number of writes that are durable.
    kept: u64,
    /// Reason of the failed write, if any.
    failed: Option<String>,
}

impl Writer {
    /// Starts the thread that writes to this storage; `done` is notified after each batch of writes.
    pub fn start(storage: impl VoterStorage + Send + 'static, done: Arc<Notify>) -> std::io::Result<Writer> {
        let ((writes, write_receiver), (result_sender, results)) = (channel(), channel());
        let write = move || write_all(storage, &write_receiver, &result_sender, &done);
        thread::Builder::new().name("group-storage".into()).spawn(write)?;
        Ok(Writer { writes, results, kept: 0, failed: None })
    }
}

/// Writes until a write fails or the voter is dropped. All queued writes go into one batch, so that the queue of a slow disk does
/// not grow without bound.
fn write_all(
    mut storage: impl VoterStorage,
    writes: &Receiver<Write>,
    results: &Sender<Result<u64, String>>,
    done: &Notify,
) {
    while let Ok(first) = writes.recv() {
        let batch: Vec<Write> = std::iter::once(first).chain(writes.try_iter()).collect();
        let saves: Vec<StorageUpdate> = batch.iter().map(Write::as_save).collect();
        let result = storage.save_all(&saves);
        let failed = result.is_err();
        let voter_dropped = results.send(result.map(|()| batch.len() as u64)).is_err();
        done.notify_one();
        if failed || voter_dropped {
            return;
        }
    }
}

impl VoterStorage for Writer {
    fn save(&mut self, save: StorageUpdate) -> Result<(), String> {
        // Fails only after the thread has ended on a failure, which `kept` returns.
        let _ = self.writes.send(Write::from_save(&save));
        Ok(())
    }

    fn persisted(&mut self, _: u64) -> Result<u64, String> {
        loop {
            match self.results.try_recv() {
                Ok(Ok(written)) => self.kept += written,
                Ok(Err(reason)) => self.failed = Some(reason),
                Err(TryRecvError::Empty | TryRecvError::Disconnected) => break,
            }
        }
        match &self.failed {
            Some(reason) => Err(reason.clone()),
            None => Ok(self.kept),
        }
    }
}
