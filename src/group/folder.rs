//! Where a voter keeps what it has promised: its log, its vote and a snapshot, synced before it answers anybody.
//!
//! Promised: what [`Keep::save`] has returned from is there after a kill; a write that was cut short is there whole or not at
//! all (redb); a folder of another voter or group is refused. A voter without a folder does not vote: `group found` makes one,
//! once, so that a voter whose folder was lost cannot vote a second time for what its old self voted against.

use protobuf::Message as _;
use raft::eraftpb::{Entry, HardState, Snapshot};
use redb::{Database, ReadableDatabase, ReadableTable, TableDefinition};
use std::path::Path;

const LOG: TableDefinition<u64, &[u8]> = TableDefinition::new("log");
const META: TableDefinition<&str, &[u8]> = TableDefinition::new("meta");
/// The file in the folder.
const FILE: &str = "voter.redb";

/// What a voter kept.
#[derive(Clone, Debug, Default)]
pub struct Kept {
    /// Entries behind the snapshot.
    pub entries: Vec<Entry>,
    /// Term, vote and what is known to be decided.
    pub hard: HardState,
    /// The snapshot; empty at first.
    pub snapshot: Snapshot,
}

/// A place that keeps things.
pub trait Keep {
    /// Keeps all of it, or nothing. Entries replace those from their first index on; those up to `first` are let go.
    fn save(
        &mut self,
        entries: &[Entry],
        hard: Option<&HardState>,
        snapshot: Option<&Snapshot>,
        first: Option<u64>,
    ) -> Result<(), String>;
}

/// One on disk.
pub struct Folder(Database);

fn told(e: impl std::fmt::Display) -> String {
    e.to_string()
}

impl Folder {
    /// Makes one for this voter; refused where there is one.
    pub fn found(path: &Path, whose: &str) -> Result<(), String> {
        let file = path.join(FILE);
        if file.exists() {
            return Err(format!("{} is there already: it is this voter's memory, keep it", file.display()));
        }
        std::fs::create_dir_all(path).map_err(|e| format!("{}: {e}", path.display()))?;
        let base = Database::create(&file).map_err(|e| format!("{}: {e}", file.display()))?;
        let write = base.begin_write().map_err(told)?;
        {
            let mut meta = write.open_table(META).map_err(told)?;
            meta.insert("whose", whose.as_bytes()).map_err(told)?;
            write.open_table(LOG).map_err(told)?;
        }
        write.commit().map_err(told)
    }

    /// Opens that of this voter.
    pub fn open(path: &Path, whose: &str) -> Result<(Folder, Kept), String> {
        let file = path.join(FILE);
        let said = |what: String| format!("{}: {what}", file.display());
        if !file.exists() {
            return Err(said("is not there: make it once with `oakdeal group found`".into()));
        }
        let base = Database::open(&file).map_err(|e| said(e.to_string()))?;
        let mut kept = Kept::default();
        {
            let read = base.begin_read().map_err(told)?;
            let meta = read.open_table(META).map_err(|e| said(e.to_string()))?;
            let get = |key: &str| -> Result<Option<Vec<u8>>, String> {
                Ok(meta.get(key).map_err(told)?.map(|v| v.value().to_vec()))
            };
            let owner = get("whose")?.unwrap_or_default();
            if owner != whose.as_bytes() {
                let owner = String::from_utf8_lossy(&owner).into_owned();
                return Err(said(format!(
                    "is the memory of {owner:?}, not of {whose:?}: name the right folder"
                )));
            }
            if let Some(bytes) = get("hard")? {
                kept.hard = HardState::parse_from_bytes(&bytes).map_err(|e| said(e.to_string()))?;
            }
            if let Some(bytes) = get("snapshot")? {
                kept.snapshot = Snapshot::parse_from_bytes(&bytes).map_err(|e| said(e.to_string()))?;
            }
            let log = read.open_table(LOG).map_err(told)?;
            for entry in log.iter().map_err(told)? {
                let (_, bytes) = entry.map_err(told)?;
                kept.entries.push(Entry::parse_from_bytes(bytes.value()).map_err(|e| said(e.to_string()))?);
            }
        }
        Ok((Folder(base), kept))
    }
}

impl Keep for Folder {
    fn save(
        &mut self,
        entries: &[Entry],
        hard: Option<&HardState>,
        snapshot: Option<&Snapshot>,
        first: Option<u64>,
    ) -> Result<(), String> {
        let write = self.0.begin_write().map_err(told)?;
        {
            let mut meta = write.open_table(META).map_err(told)?;
            if let Some(hard) = hard {
                meta.insert("hard", &*hard.write_to_bytes().map_err(told)?).map_err(told)?;
            }
            if let Some(snapshot) = snapshot {
                meta.insert("snapshot", &*snapshot.write_to_bytes().map_err(told)?).map_err(told)?;
            }
            let mut log = write.open_table(LOG).map_err(told)?;
            if let Some(entry) = entries.first() {
                log.retain_in(entry.index.., |_, _| false).map_err(told)?;
            }
            for entry in entries {
                log.insert(entry.index, &*entry.write_to_bytes().map_err(told)?).map_err(told)?;
            }
            if let Some(first) = first {
                log.retain_in(..=first, |_, _| false).map_err(told)?;
            }
        }
        write.commit().map_err(told)
    }
}
