//! Where a voter keeps what it has promised: its log, its vote and a snapshot, synced before it answers anybody.
//!
//! Promised: what [`Keep::save`] has returned from is there after a kill; a write that was cut short is there whole or not at
//! all (redb); a folder of another voter or group is refused. A voter without a folder does not vote: `group found` makes one,
//! once, so that a voter whose folder was lost cannot vote a second time for what its old self voted against.

use super::record::State;
use protobuf::Message as _;
use raft::eraftpb::{Entry, HardState, Snapshot};
use redb::{Database, ReadableDatabase, ReadableTable, TableDefinition, WriteTransaction};
use std::path::Path;
use std::time::{Duration, Instant};

const LOG: TableDefinition<u64, &[u8]> = TableDefinition::new("log");
const META: TableDefinition<&str, &[u8]> = TableDefinition::new("meta");
/// The file in the folder.
const FILE: &str = "voter.redb";
/// Milliseconds by which each write is late, for the rig that tests slow disks: read from here, and from nowhere else.
const RIG: &str = "OAKDEAL_RIG_WRITE_DELAY_MS";
/// A write that takes longer than this is logged.
const SLOW_WRITE: Duration = Duration::from_millis(100);

/// What a voter kept.
#[derive(Clone, Debug, Default)]
pub struct Kept {
    /// Its number: another folder of the same voter is another one.
    pub id: u64,
    /// Whose place it takes, where it was made for a group that is there.
    pub instead: Option<String>,
    /// Entries behind the snapshot.
    pub entries: Vec<Entry>,
    /// Term, vote and what is known to be decided.
    pub hard: HardState,
    /// The snapshot; empty at first.
    pub snapshot: Snapshot,
}

impl Kept {
    /// That of a voter of a new group: all of them begin with the same record.
    pub fn founder(whose: &str, names: &[String]) -> Kept {
        let voters = names.iter().map(|name| (number(name), name.clone())).collect();
        let state = State { version: 1, voters, ..State::default() };
        let mut snapshot = Snapshot::default();
        snapshot.mut_metadata().index = 1;
        snapshot.mut_metadata().term = 1;
        snapshot.mut_metadata().mut_conf_state().voters = state.voters.keys().copied().collect();
        snapshot.data = state.encode().into();
        let hard = HardState { term: 1, commit: 1, ..HardState::default() };
        Kept { id: number(whose), instead: None, entries: Vec::new(), hard, snapshot }
    }

    /// That of a voter that takes another's place, or its own after its folder was lost. The figure is never the same.
    pub fn joiner(whose: &str, instead: &str, drawn: u64) -> Kept {
        let id = number(&format!("{whose}#{drawn}"));
        Kept { id, instead: Some(instead.into()), ..Kept::default() }
    }
}

/// A founder's number.
pub fn number(name: &str) -> u64 {
    xxhash_rust::xxh64::xxh64(name.as_bytes(), 0).max(1)
}

/// What is to be kept at once.
#[derive(Clone, Copy, Default)]
pub struct Save<'a> {
    /// These replace those from their first index on.
    pub entries: &'a [Entry],
    /// Term, vote and what is known to be decided.
    pub hard: Option<&'a HardState>,
    /// Entries up to it are let go.
    pub snapshot: Option<&'a Snapshot>,
    /// The snapshot is another voter's: what was in the log before goes, behind it too.
    pub anew: bool,
}

/// A place that keeps things.
pub trait Keep {
    /// Keeps all of it, or nothing; or begins to, in the order of the calls.
    fn save(&mut self, save: Save) -> Result<(), String>;

    /// Keeps all of these, in their order, or nothing: one sync for all.
    fn save_all(&mut self, saves: &[Save]) -> Result<(), String> {
        saves.iter().try_for_each(|save| self.save(*save))
    }

    /// How many of so many calls of `save` are kept by now.
    fn kept(&mut self, saved: u64) -> Result<u64, String> {
        Ok(saved)
    }
}

/// One on disk.
pub struct Folder(Database);

fn told(e: impl std::fmt::Display) -> String {
    e.to_string()
}

impl Folder {
    /// Makes one for this voter; refused where there is one.
    pub fn found(path: &Path, whose: &str, kept: &Kept) -> Result<(), String> {
        let file = path.join(FILE);
        if file.exists() {
            return Err(format!("{} is there already: it is this voter's memory, keep it", file.display()));
        }
        std::fs::create_dir_all(path).map_err(|e| format!("{}: {e}", path.display()))?;
        let base = Database::create(&file).map_err(|e| format!("{}: {e}", file.display()))?;
        Folder::fill(base, whose, kept).map(drop)
    }

    /// Writes the first words into an empty one.
    pub fn fill(base: Database, whose: &str, kept: &Kept) -> Result<Folder, String> {
        let write = base.begin_write().map_err(told)?;
        {
            let mut meta = write.open_table(META).map_err(told)?;
            meta.insert("whose", whose.as_bytes()).map_err(told)?;
            meta.insert("id", &kept.id.to_le_bytes()[..]).map_err(told)?;
            if let Some(instead) = &kept.instead {
                meta.insert("instead", instead.as_bytes()).map_err(told)?;
            }
            meta.insert("hard", &*kept.hard.write_to_bytes().map_err(told)?).map_err(told)?;
            meta.insert("snapshot", &*kept.snapshot.write_to_bytes().map_err(told)?).map_err(told)?;
            write.open_table(LOG).map_err(told)?;
        }
        write.commit().map_err(told)?;
        Ok(Folder(base))
    }

    /// Opens that of this voter.
    pub fn open(path: &Path, whose: &str) -> Result<(Folder, Kept), String> {
        let file = path.join(FILE);
        let said = |what: String| format!("{}: {what}", file.display());
        if !file.exists() {
            return Err(said("is not there: make it once with `oakdeal group found`".into()));
        }
        let base = Database::open(&file).map_err(|e| said(e.to_string()))?;
        Folder::read(base, whose).map_err(said)
    }

    /// Reads what is in one.
    pub fn read(base: Database, whose: &str) -> Result<(Folder, Kept), String> {
        let mut kept = Kept::default();
        {
            let read = base.begin_read().map_err(told)?;
            let meta = read.open_table(META).map_err(told)?;
            let get = |key: &str| -> Result<Option<Vec<u8>>, String> {
                Ok(meta.get(key).map_err(told)?.map(|v| v.value().to_vec()))
            };
            let owner = get("whose")?.unwrap_or_default();
            if owner != whose.as_bytes() {
                let owner = String::from_utf8_lossy(&owner).into_owned();
                return Err(format!("is the memory of {owner:?}, not of {whose:?}: name the right folder"));
            }
            let id = get("id")?.and_then(|bytes| bytes.try_into().ok()).map(u64::from_le_bytes);
            kept.id = id.ok_or("was made by an older program: move it away and found the group again")?;
            kept.instead = get("instead")?.map(|name| String::from_utf8_lossy(&name).into_owned());
            if let Some(bytes) = get("hard")? {
                kept.hard = HardState::parse_from_bytes(&bytes).map_err(told)?;
            }
            if let Some(bytes) = get("snapshot")? {
                kept.snapshot = Snapshot::parse_from_bytes(&bytes).map_err(told)?;
            }
            let log = read.open_table(LOG).map_err(told)?;
            for entry in log.iter().map_err(told)? {
                let (_, bytes) = entry.map_err(told)?;
                kept.entries.push(Entry::parse_from_bytes(bytes.value()).map_err(told)?);
            }
        }
        Ok((Folder(base), kept))
    }
}

impl Folder {
    fn put(write: &WriteTransaction, save: &Save) -> Result<(), String> {
        let Save { entries, hard, snapshot, anew } = save;
        let mut meta = write.open_table(META).map_err(told)?;
        if let Some(hard) = hard {
            meta.insert("hard", &*hard.write_to_bytes().map_err(told)?).map_err(told)?;
        }
        if let Some(snapshot) = snapshot {
            meta.insert("snapshot", &*snapshot.write_to_bytes().map_err(told)?).map_err(told)?;
        }
        let mut log = write.open_table(LOG).map_err(told)?;
        if *anew {
            log.retain(|_, _| false).map_err(told)?;
        }
        if let Some(entry) = entries.first() {
            log.retain_in(entry.index.., |_, _| false).map_err(told)?;
        }
        for entry in *entries {
            log.insert(entry.index, &*entry.write_to_bytes().map_err(told)?).map_err(told)?;
        }
        if let Some(snapshot) = snapshot {
            log.retain_in(..=snapshot.get_metadata().index, |_, _| false).map_err(told)?;
        }
        Ok(())
    }
}

impl Keep for Folder {
    fn save(&mut self, save: Save) -> Result<(), String> {
        self.save_all(&[save])
    }

    fn save_all(&mut self, saves: &[Save]) -> Result<(), String> {
        let begun = Instant::now();
        if let Some(delay) = std::env::var(RIG).ok().and_then(|ms| ms.parse().ok()) {
            std::thread::sleep(Duration::from_millis(delay));
        }
        let write = self.0.begin_write().map_err(told)?;
        saves.iter().try_for_each(|save| Folder::put(&write, save))?;
        write.commit().map_err(told)?;
        let took = begun.elapsed();
        if took > SLOW_WRITE {
            let (took_ms, saves) = (took.as_millis() as u64, saves.len());
            tracing::warn!(took_ms, saves, "group: a write of the log was slow");
        }
        Ok(())
    }
}
