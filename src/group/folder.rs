//! Durable storage of a voter: its log, its hard state (term, vote, commit index) and a snapshot.
//!
//! Guarantees: a write is durable when [`VoterStorage::save`] of a [`VoterFolder`] returns, and survives a kill of the
//! process; a write that was interrupted is there in full or not at all (redb); the folder of another voter is refused. A
//! voter without a folder does not vote: `group found` creates the folder once, so that a voter whose folder was lost cannot
//! vote a second time in a term in which it has voted already.

use super::record::State;
use protobuf::Message as _;
use raft::eraftpb::{Entry, HardState, Snapshot};
use redb::{Database, ReadableDatabase, ReadableTable, TableDefinition, WriteTransaction};
use std::path::Path;
use std::time::{Duration, Instant};

const LOG_TABLE: TableDefinition<u64, &[u8]> = TableDefinition::new("log");
const META_TABLE: TableDefinition<&str, &[u8]> = TableDefinition::new("meta");
/// Name of the database file in the folder.
const FILE_NAME: &str = "voter.redb";
/// Environment variable with a delay for each write, in milliseconds; tests simulate slow disks with it. This is the only
/// place that reads it.
const WRITE_DELAY_VARIABLE: &str = "OAKDEAL_RIG_WRITE_DELAY_MS";
/// Duration of a write above which it is logged as slow.
const SLOW_WRITE_THRESHOLD: Duration = Duration::from_millis(100);

/// The stored state of a voter.
#[derive(Clone, Debug, Default)]
pub struct StoredVoter {
    /// Id of the folder in the group; another folder of the same voter has another id.
    pub id: u64,
    /// Name of the voter whose place this folder takes, where it was created for a group that exists already.
    pub replaces: Option<String>,
    /// Log entries after the snapshot.
    pub entries: Vec<Entry>,
    /// Term, vote and commit index.
    pub hard_state: HardState,
    /// The latest snapshot; empty at first in a folder created for an existing group.
    pub snapshot: Snapshot,
}

impl StoredVoter {
    /// Returns the initial state of a voter of a new group; all its voters begin with the same record.
    pub fn for_new_group(owner: &str, names: &[String]) -> StoredVoter {
        let voters = names.iter().map(|name| (founder_id(name), name.clone())).collect();
        let state = State { version: 1, voters, ..State::default() };
        let mut snapshot = Snapshot::default();
        snapshot.mut_metadata().index = 1;
        snapshot.mut_metadata().term = 1;
        snapshot.mut_metadata().mut_conf_state().voters = state.voters.keys().copied().collect();
        snapshot.data = state.encode().into();
        let hard_state = HardState { term: 1, commit: 1, ..HardState::default() };
        StoredVoter { id: founder_id(owner), replaces: None, entries: Vec::new(), hard_state, snapshot }
    }

    /// Returns the initial state of a voter that replaces another one, or itself after its folder was lost. `nonce` must
    /// differ for each folder of a voter.
    pub fn for_replacement(owner: &str, replaces: &str, nonce: u64) -> StoredVoter {
        let id = founder_id(&format!("{owner}#{nonce}"));
        StoredVoter { id, replaces: Some(replaces.into()), ..StoredVoter::default() }
    }
}

/// Returns the folder id of a voter of a new group.
pub fn founder_id(name: &str) -> u64 {
    xxhash_rust::xxh64::xxh64(name.as_bytes(), 0).max(1)
}

/// A change of a voter's stored state that is written atomically.
#[derive(Clone, Copy, Default)]
pub struct StorageUpdate<'a> {
    /// Log entries; they replace those in the log from the first one's index on.
    pub entries: &'a [Entry],
    /// Term, vote and commit index, where they have changed.
    pub hard_state: Option<&'a HardState>,
    /// A snapshot; entries up to its index are deleted.
    pub snapshot: Option<&'a Snapshot>,
    /// Deletes the whole log first, also entries after the snapshot's index: the snapshot is another voter's.
    pub reset_log: bool,
}

/// Storage of a voter's state.
pub trait VoterStorage {
    /// Writes all of an update or nothing, or queues it to be written in the order of the calls.
    fn save(&mut self, update: StorageUpdate) -> Result<(), String>;

    /// Writes several updates in order. A folder on disk writes all of them or nothing, with a single sync.
    fn save_all(&mut self, updates: &[StorageUpdate]) -> Result<(), String> {
        updates.iter().try_for_each(|update| self.save(*update))
    }

    /// Returns how many of the `issued` calls of `save` are durable by now.
    fn persisted(&mut self, issued: u64) -> Result<u64, String> {
        Ok(issued)
    }
}

/// The folder of a voter on disk.
pub struct VoterFolder(Database);

fn error_text(e: impl std::fmt::Display) -> String {
    e.to_string()
}

impl VoterFolder {
    /// Creates the folder of a voter. Fails where its file exists already.
    pub fn create(path: &Path, owner: &str, stored: &StoredVoter) -> Result<(), String> {
        let file = path.join(FILE_NAME);
        if file.exists() {
            return Err(format!(
                "{} exists already and holds this voter's state; do not replace it",
                file.display()
            ));
        }
        std::fs::create_dir_all(path).map_err(|e| format!("{}: {e}", path.display()))?;
        let database = Database::create(&file).map_err(|e| format!("{}: {e}", file.display()))?;
        VoterFolder::initialize(database, owner, stored).map(drop)
    }

    /// Writes the initial state into an empty database.
    pub fn initialize(database: Database, owner: &str, stored: &StoredVoter) -> Result<VoterFolder, String> {
        let transaction = database.begin_write().map_err(error_text)?;
        {
            let mut meta = transaction.open_table(META_TABLE).map_err(error_text)?;
            meta.insert("whose", owner.as_bytes()).map_err(error_text)?;
            meta.insert("id", &stored.id.to_le_bytes()[..]).map_err(error_text)?;
            if let Some(replaces) = &stored.replaces {
                meta.insert("instead", replaces.as_bytes()).map_err(error_text)?;
            }
            meta.insert("hard", &*stored.hard_state.write_to_bytes().map_err(error_text)?)
                .map_err(error_text)?;
            meta.insert("snapshot", &*stored.snapshot.write_to_bytes().map_err(error_text)?)
                .map_err(error_text)?;
            transaction.open_table(LOG_TABLE).map_err(error_text)?;
        }
        transaction.commit().map_err(error_text)?;
        Ok(VoterFolder(database))
    }

    /// Opens the folder of a voter.
    pub fn open(path: &Path, owner: &str) -> Result<(VoterFolder, StoredVoter), String> {
        let file = path.join(FILE_NAME);
        let with_path = |message: String| format!("{}: {message}", file.display());
        if !file.exists() {
            return Err(with_path("does not exist; create it once with `oakdeal group found`".into()));
        }
        let database = Database::open(&file).map_err(|e| with_path(e.to_string()))?;
        VoterFolder::load(database, owner).map_err(with_path)
    }

    /// Reads the stored state from a database.
    pub fn load(database: Database, owner: &str) -> Result<(VoterFolder, StoredVoter), String> {
        let mut stored = StoredVoter::default();
        {
            let transaction = database.begin_read().map_err(error_text)?;
            let meta = transaction.open_table(META_TABLE).map_err(error_text)?;
            let get = |key: &str| -> Result<Option<Vec<u8>>, String> {
                Ok(meta.get(key).map_err(error_text)?.map(|v| v.value().to_vec()))
            };
            let stored_owner = get("whose")?.unwrap_or_default();
            if stored_owner != owner.as_bytes() {
                let stored_owner = String::from_utf8_lossy(&stored_owner).into_owned();
                return Err(format!(
                    "belongs to {stored_owner:?}, not to {owner:?}: configure the folder of this voter"
                ));
            }
            let id = get("id")?.and_then(|bytes| bytes.try_into().ok()).map(u64::from_le_bytes);
            stored.id =
                id.ok_or("was created by an older version: move it away and found the group again")?;
            stored.replaces = get("instead")?.map(|name| String::from_utf8_lossy(&name).into_owned());
            if let Some(bytes) = get("hard")? {
                stored.hard_state = HardState::parse_from_bytes(&bytes).map_err(error_text)?;
            }
            if let Some(bytes) = get("snapshot")? {
                stored.snapshot = Snapshot::parse_from_bytes(&bytes).map_err(error_text)?;
            }
            let log = transaction.open_table(LOG_TABLE).map_err(error_text)?;
            for entry in log.iter().map_err(error_text)? {
                let (_, bytes) = entry.map_err(error_text)?;
                stored.entries.push(Entry::parse_from_bytes(bytes.value()).map_err(error_text)?);
            }
        }
        Ok((VoterFolder(database), stored))
    }
}

impl VoterFolder {
    fn write_update(transaction: &WriteTransaction, update: &StorageUpdate) -> Result<(), String> {
        let StorageUpdate { entries, hard_state, snapshot, reset_log } = update;
        let mut meta = transaction.open_table(META_TABLE).map_err(error_text)?;
        if let Some(hard_state) = hard_state {
            meta.insert("hard", &*hard_state.write_to_bytes().map_err(error_text)?).map_err(error_text)?;
        }
        if let Some(snapshot) = snapshot {
            meta.insert("snapshot", &*snapshot.write_to_bytes().map_err(error_text)?).map_err(error_text)?;
        }
        let mut log = transaction.open_table(LOG_TABLE).map_err(error_text)?;
        if *reset_log {
            log.retain(|_, _| false).map_err(error_text)?;
        }
        if let Some(entry) = entries.first() {
            log.retain_in(entry.index.., |_, _| false).map_err(error_text)?;
        }
        for entry in *entries {
            log.insert(entry.index, &*entry.write_to_bytes().map_err(error_text)?).map_err(error_text)?;
        }
        if let Some(snapshot) = snapshot {
            log.retain_in(..=snapshot.get_metadata().index, |_, _| false).map_err(error_text)?;
        }
        Ok(())
    }
}

impl VoterStorage for VoterFolder {
    fn save(&mut self, update: StorageUpdate) -> Result<(), String> {
        self.save_all(&[update])
    }

    fn save_all(&mut self, updates: &[StorageUpdate]) -> Result<(), String> {
        let started = Instant::now();
        if let Some(delay) = std::env::var(WRITE_DELAY_VARIABLE).ok().and_then(|ms| ms.parse().ok()) {
            std::thread::sleep(Duration::from_millis(delay));
        }
        let transaction = self.0.begin_write().map_err(error_text)?;
        updates.iter().try_for_each(|update| VoterFolder::write_update(&transaction, update))?;
        transaction.commit().map_err(error_text)?;
        let took = started.elapsed();
        if took > SLOW_WRITE_THRESHOLD {
            let (took_ms, saves) = (took.as_millis() as u64, updates.len());
            tracing::warn!(took_ms, saves, "group: a write of the log was slow");
        }
        Ok(())
    }
}
