//! Where a voter keeps what it has promised: its log, its vote and a snapshot, synced before it answers anybody.
//!
//! Promised: what [`VoterStorage::save`] has returned from is there after a kill; a write that was cut short is there whole or not at
//! all (redb); a folder of another voter or group is refused. A voter without a folder does not vote: `group found` makes one,
//! once, so that a voter whose folder was lost cannot vote a second time for what its old self voted against.

use super::record::State;
use protobuf::Message as _;
use raft::eraftpb::{Entry, HardState, Snapshot};
use redb::{Database, ReadableDatabase, ReadableTable, TableDefinition, WriteTransaction};
use std::path::Path;
use std::time::{Duration, Instant};

const LOG_TABLE: TableDefinition<u64, &[u8]> = TableDefinition::new("log");
const META_TABLE: TableDefinition<&str, &[u8]> = TableDefinition::new("meta");
/// The file in the folder.
const FILE_NAME: &str = "voter.redb";
/// Milliseconds by which each write is late, for the rig that tests slow disks: read from here, and from nowhere else.
const WRITE_DELAY_VARIABLE: &str = "OAKDEAL_RIG_WRITE_DELAY_MS";
/// A write that takes longer than this is logged.
const SLOW_WRITE_THRESHOLD: Duration = Duration::from_millis(100);

/// What a voter kept.
#[derive(Clone, Debug, Default)]
pub struct StoredVoter {
    /// Its number: another folder of the same voter is another one.
    pub id: u64,
    /// Whose place it takes, where it was made for a group that is there.
    pub replaces: Option<String>,
    /// Entries behind the snapshot.
    pub entries: Vec<Entry>,
    /// Term, vote and what is known to be decided.
    pub hard_state: HardState,
    /// The snapshot; empty at first.
    pub snapshot: Snapshot,
}

impl StoredVoter {
    /// That of a voter of a new group: all of them begin with the same record.
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

    /// That of a voter that takes another's place, or its own after its folder was lost. The figure is never the same.
    pub fn for_replacement(owner: &str, replaces: &str, nonce: u64) -> StoredVoter {
        let id = founder_id(&format!("{owner}#{nonce}"));
        StoredVoter { id, replaces: Some(replaces.into()), ..StoredVoter::default() }
    }
}

/// A founder's number.
pub fn founder_id(name: &str) -> u64 {
    xxhash_rust::xxh64::xxh64(name.as_bytes(), 0).max(1)
}

/// What is to be kept at once.
#[derive(Clone, Copy, Default)]
pub struct StorageUpdate<'a> {
    /// These replace those from their first index on.
    pub entries: &'a [Entry],
    /// Term, vote and what is known to be decided.
    pub hard_state: Option<&'a HardState>,
    /// Entries up to it are let go.
    pub snapshot: Option<&'a Snapshot>,
    /// The snapshot is another voter's: what was in the log before goes, behind it too.
    pub reset_log: bool,
}

/// A place that keeps things.
pub trait VoterStorage {
    /// Keeps all of it, or nothing; or begins to, in the order of the calls.
    fn save(&mut self, save: StorageUpdate) -> Result<(), String>;

    /// Keeps all of these, in their order, or nothing: one sync for all.
    fn save_all(&mut self, saves: &[StorageUpdate]) -> Result<(), String> {
        saves.iter().try_for_each(|save| self.save(*save))
    }

    /// How many of so many calls of `save` are kept by now.
    fn persisted(&mut self, saved: u64) -> Result<u64, String> {
        Ok(saved)
    }
}

/// One on disk.
pub struct VoterFolder(Database);

fn error_text(e: impl std::fmt::Display) -> String {
    e.to_string()
}

impl VoterFolder {
    /// Makes one for this voter; refused where there is one.
    pub fn create(path: &Path, owner: &str, kept: &StoredVoter) -> Result<(), String> {
        let file = path.join(FILE_NAME);
        if file.exists() {
            return Err(format!("{} is there already: it is this voter's memory, keep it", file.display()));
        }
        std::fs::create_dir_all(path).map_err(|e| format!("{}: {e}", path.display()))?;
        let base = Database::create(&file).map_err(|e| format!("{}: {e}", file.display()))?;
        VoterFolder::initialize(base, owner, kept).map(drop)
    }

    /// Writes the first words into an empty one.
    pub fn initialize(base: Database, owner: &str, kept: &StoredVoter) -> Result<VoterFolder, String> {
        let write = base.begin_write().map_err(error_text)?;
        {
            let mut meta = write.open_table(META_TABLE).map_err(error_text)?;
            meta.insert("whose", owner.as_bytes()).map_err(error_text)?;
            meta.insert("id", &kept.id.to_le_bytes()[..]).map_err(error_text)?;
            if let Some(replaces) = &kept.replaces {
                meta.insert("instead", replaces.as_bytes()).map_err(error_text)?;
            }
            meta.insert("hard", &*kept.hard_state.write_to_bytes().map_err(error_text)?)
                .map_err(error_text)?;
            meta.insert("snapshot", &*kept.snapshot.write_to_bytes().map_err(error_text)?)
                .map_err(error_text)?;
            write.open_table(LOG_TABLE).map_err(error_text)?;
        }
        write.commit().map_err(error_text)?;
        Ok(VoterFolder(base))
    }

    /// Opens that of this voter.
    pub fn open(path: &Path, owner: &str) -> Result<(VoterFolder, StoredVoter), String> {
        let file = path.join(FILE_NAME);
        let with_path = |what: String| format!("{}: {what}", file.display());
        if !file.exists() {
            return Err(with_path("is not there: make it once with `oakdeal group found`".into()));
        }
        let base = Database::open(&file).map_err(|e| with_path(e.to_string()))?;
        VoterFolder::load(base, owner).map_err(with_path)
    }

    /// Reads what is in one.
    pub fn load(base: Database, owner: &str) -> Result<(VoterFolder, StoredVoter), String> {
        let mut kept = StoredVoter::default();
        {
            let read = base.begin_read().map_err(error_text)?;
            let meta = read.open_table(META_TABLE).map_err(error_text)?;
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
            kept.id = id.ok_or("was made by an older program: move it away and found the group again")?;
            kept.replaces = get("instead")?.map(|name| String::from_utf8_lossy(&name).into_owned());
            if let Some(bytes) = get("hard")? {
                kept.hard_state = HardState::parse_from_bytes(&bytes).map_err(error_text)?;
            }
            if let Some(bytes) = get("snapshot")? {
                kept.snapshot = Snapshot::parse_from_bytes(&bytes).map_err(error_text)?;
            }
            let log = read.open_table(LOG_TABLE).map_err(error_text)?;
            for entry in log.iter().map_err(error_text)? {
                let (_, bytes) = entry.map_err(error_text)?;
                kept.entries.push(Entry::parse_from_bytes(bytes.value()).map_err(error_text)?);
            }
        }
        Ok((VoterFolder(base), kept))
    }
}

impl VoterFolder {
    fn write_update(write: &WriteTransaction, save: &StorageUpdate) -> Result<(), String> {
        let StorageUpdate { entries, hard_state, snapshot, reset_log } = save;
        let mut meta = write.open_table(META_TABLE).map_err(error_text)?;
        if let Some(hard_state) = hard_state {
            meta.insert("hard", &*hard_state.write_to_bytes().map_err(error_text)?).map_err(error_text)?;
        }
        if let Some(snapshot) = snapshot {
            meta.insert("snapshot", &*snapshot.write_to_bytes().map_err(error_text)?).map_err(error_text)?;
        }
        let mut log = write.open_table(LOG_TABLE).map_err(error_text)?;
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
    fn save(&mut self, save: StorageUpdate) -> Result<(), String> {
        self.save_all(&[save])
    }

    fn save_all(&mut self, saves: &[StorageUpdate]) -> Result<(), String> {
        let begun = Instant::now();
        if let Some(delay) = std::env::var(WRITE_DELAY_VARIABLE).ok().and_then(|ms| ms.parse().ok()) {
            std::thread::sleep(Duration::from_millis(delay));
        }
        let write = self.0.begin_write().map_err(error_text)?;
        saves.iter().try_for_each(|save| VoterFolder::write_update(&write, save))?;
        write.commit().map_err(error_text)?;
        let took = begun.elapsed();
        if took > SLOW_WRITE_THRESHOLD {
            let (took_ms, saves) = (took.as_millis() as u64, saves.len());
            tracing::warn!(took_ms, saves, "group: a write of the log was slow");
        }
        Ok(())
    }
}
