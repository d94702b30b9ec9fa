//! A voter's storage on a thread of its own: a slow disk delays what the group decides, and never the clients.
//!
//! Invariant: writes are done in the order in which they were handed over, and counted as kept only when they are. After a write
//! that failed none is done any more, and the voter is told.

use super::folder::{StorageUpdate, VoterStorage};
use raft::eraftpb::{Entry, HardState, Snapshot};
use std::sync::mpsc::{channel, Receiver, Sender, TryRecvError};
use std::sync::Arc;
use std::thread;
use tokio::sync::Notify;

/// A write that was handed over.
pub(super) struct Write {
    entries: Vec<Entry>,
    hard_state: Option<HardState>,
    snapshot: Option<Snapshot>,
    reset_log: bool,
}

impl Write {
    /// What is to be written, owned.
    pub fn from_save(save: &StorageUpdate) -> Write {
        let StorageUpdate { entries, hard_state, snapshot, reset_log } = *save;
        Write {
            entries: entries.to_vec(),
            hard_state: hard_state.cloned(),
            snapshot: snapshot.cloned(),
            reset_log,
        }
    }

    /// For the storage.
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

/// Storage whose writes another thread does.
pub struct Writer {
    writes: Sender<Write>,
    /// How many writes more are kept, each time.
    results: Receiver<Result<u64, String>>,
    kept: u64,
    failed: Option<String>,
}

impl Writer {
    /// Has a thread write to this storage; `done` is notified after each write.
    pub fn start(storage: impl VoterStorage + Send + 'static, done: Arc<Notify>) -> std::io::Result<Writer> {
        let ((writes, to_write), (told, results)) = (channel(), channel());
        let write = move || write_all(storage, &to_write, &told, &done);
        thread::Builder::new().name("group-storage".into()).spawn(write)?;
        Ok(Writer { writes, results, kept: 0, failed: None })
    }
}

/// Writes until a write fails, or the voter is gone. All that waits is one write: a slow disk is not left behind by its voter.
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
        let voter_is_gone = results.send(result.map(|()| batch.len() as u64)).is_err();
        done.notify_one();
        if failed || voter_is_gone {
            return;
        }
    }
}

impl VoterStorage for Writer {
    fn save(&mut self, save: StorageUpdate) -> Result<(), String> {
        // Where the thread has ended after a failure the reason is told by `kept`.
        let _ = self.writes.send(Write::from_save(&save));
        Ok(())
    }

    fn persisted(&mut self, _: u64) -> Result<u64, String> {
        loop {
            match self.results.try_recv() {
                Ok(Ok(more)) => self.kept += more,
                Ok(Err(why)) => self.failed = Some(why),
                Err(TryRecvError::Empty | TryRecvError::Disconnected) => break,
            }
        }
        match &self.failed {
            Some(why) => Err(why.clone()),
            None => Ok(self.kept),
        }
    }
}
