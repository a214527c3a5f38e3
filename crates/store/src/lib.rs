//! A replica's Raft log, hard state and snapshot on disk, in one file with one transaction for each write.
//!
//! Once [`Store::write`] has returned, the whole batch is on disk and survives a crash at any later time. After a
//! write that did not return, either the whole batch is on disk or nothing of it. Reading returns what was written,
//! or an error that names the file, the record and the remedy: each record has a checksum over its key and content.
//!
//! ```
//! use store::{Batch, Entry, HardState, Owner, Store};
//! # fn main() -> Result<(), Box<dyn std::error::Error>> {
//! let folder = tempfile::tempdir()?;
//! let file = folder.path().join("replica.redb");
//! let owner = Owner { cluster: 7, replica: 1 };
//! let (mut store, stored) = Store::open(&file, owner)?;
//! assert!(stored.entries.is_empty());
//! let entry = Entry { index: 1, term: 1, kind: 0, data: b"put".to_vec(), context: Vec::new() };
//! let hard_state = Some(HardState { term: 1, vote: 1, commit: 0 });
//! store.write(&Batch { entries: vec![entry], hard_state, ..Batch::default() })?;
//! drop(store);
//! assert_eq!(Store::open(&file, owner)?.1.entries[0].data, b"put");
//! # Ok(())
//! # }
//! ```

mod record;

use std::path::{Path, PathBuf};

use redb::{Database, Durability, ReadableDatabase, ReadableTable, TableDefinition};
use serde::{Deserialize, Serialize};

const LOG_TABLE: TableDefinition<u64, &[u8]> = TableDefinition::new("log");
const META_TABLE: TableDefinition<&str, &[u8]> = TableDefinition::new("meta");
/// The name and version of the file format.
const FORMAT: (&str, u32) = ("fircroft replica", 1);

/// The replica that a file belongs to.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Owner {
    /// The number of the replica's cluster.
    pub cluster: u64,
    /// The replica's number in the cluster.
    pub replica: u64,
}

/// An entry of the Raft log.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Entry {
    /// The entry's index in the log.
    pub index: u64,
    /// The term in which the entry was proposed.
    pub term: u64,
    /// The number of the entry's Raft type.
    pub kind: i32,
    /// The entry's content.
    pub data: Vec<u8>,
    /// What the proposer attached to the entry.
    pub context: Vec<u8>,
}

/// Raft's hard state, which has to be on disk before a replica sends messages that depend on it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct HardState {
    /// The latest term that the replica has seen.
    pub term: u64,
    /// The replica that it voted for in that term; 0 for none.
    pub vote: u64,
    /// The index of the last entry that the replica knows to be committed.
    pub commit: u64,
}

/// The state at an index, which replaces the log up to that index.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Snapshot {
    /// The index of the last entry that the snapshot covers.
    pub index: u64,
    /// That entry's term.
    pub term: u64,
    /// The voting replicas of the cluster.
    pub voters: Vec<u64>,
    /// The encoded state.
    pub data: Vec<u8>,
}

/// What is written in one transaction.
#[derive(Clone, Debug, Default)]
pub struct Batch {
    /// New entries; they replace all stored entries from the first one's index on.
    pub entries: Vec<Entry>,
    /// The new hard state.
    pub hard_state: Option<HardState>,
    /// A new snapshot; the log up to its index is removed.
    pub snapshot: Option<Snapshot>,
}

/// What was read from a file when it was opened.
#[derive(Clone, Debug, Default)]
pub struct StoredState {
    /// The hard state.
    pub hard_state: HardState,
    /// The snapshot, if there is one.
    pub snapshot: Option<Snapshot>,
    /// The entries after the snapshot, without a gap.
    pub entries: Vec<Entry>,
}

/// Why a file can't be used.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// The disk failed, or the file is not a readable database.
    #[error("{file}: {source}")]
    Disk {
        /// The file.
        file: PathBuf,
        /// The database's error.
        source: redb::Error,
    },
    /// A record is missing or is not what was written.
    #[error(
        "{file}: {record}: {reason}. Don't start this replica from it: move the file away and let the group send a \
         snapshot, or restore a copy"
    )]
    Damaged {
        /// The file.
        file: PathBuf,
        /// The record.
        record: String,
        /// What is wrong with the record.
        reason: &'static str,
    },
    /// The file has another format or format version.
    #[error(
        "{file}: expected form {expected}, found {found}: use the program that wrote it, or another file"
    )]
    FormatMismatch {
        /// The file.
        file: PathBuf,
        /// The format that this program reads.
        expected: String,
        /// The format of the file.
        found: String,
    },
    /// The file belongs to another replica.
    #[error("{file}: it is of {found:?}, not of {expected:?}: give each replica the file that it wrote")]
    OwnerMismatch {
        /// The file.
        file: PathBuf,
        /// The replica that opened the file.
        expected: Owner,
        /// The replica that the file belongs to.
        found: Owner,
    },
}

/// An open store. The file is locked while it is open.
pub struct Store {
    db: Database,
    file: PathBuf,
    /// Whether a write has failed, so that it is unknown what is on disk.
    has_failed: bool,
}

impl Store {
    /// Opens a replica's file and reads its content; creates the file if there is none.
    ///
    /// # Errors
    ///
    /// Any [`Error`]; nothing is changed then.
    pub fn open(file: &Path, owner: Owner) -> Result<(Store, StoredState), Error> {
        let db = Database::create(file)
            .map_err(|error| Error::Disk { file: file.to_owned(), source: error.into() })?;
        let store = Store { db, file: file.to_owned(), has_failed: false };
        let format = store.read_meta::<(String, u32)>("format")?;
        match format {
            None => store.initialize(owner)?,
            Some(format) if format != (FORMAT.0.to_owned(), FORMAT.1) => {
                let (expected, found) = (format!("{FORMAT:?}"), format!("{format:?}"));
                return Err(Error::FormatMismatch { file: store.file, expected, found });
            }
            Some(_) => match store.read_meta::<Owner>("owner")? {
                Some(found) if found == owner => {}
                Some(found) => return Err(Error::OwnerMismatch { file: store.file, expected: owner, found }),
                None => return Err(store.damaged_error("owner", "it is missing")),
            },
        }
        let stored = store.read_all()?;
        Ok((store, stored))
    }

    /// Writes a batch and returns once it is durable.
    ///
    /// # Errors
    ///
    /// [`Error::Disk`]. It is then unknown what is on disk until the file is opened again; every later write fails.
    pub fn write(&mut self, batch: &Batch) -> Result<(), Error> {
        self.write_all(std::iter::once(batch))
    }

    /// Writes batches in their order in one transaction, which needs only one sync for all of them.
    ///
    /// # Errors
    ///
    /// The same as [`Store::write`].
    pub fn write_all<'a>(&mut self, batches: impl Iterator<Item = &'a Batch>) -> Result<(), Error> {
        if self.has_failed {
            let source = redb::Error::PreviousIo;
            return Err(Error::Disk { file: self.file.clone(), source });
        }
        self.has_failed = true;
        self.commit_batches(batches).map_err(|source| Error::Disk { file: self.file.clone(), source })?;
        self.has_failed = false;
        Ok(())
    }

    fn commit_batches<'a>(&self, batches: impl Iterator<Item = &'a Batch>) -> Result<(), redb::Error> {
        let mut txn = self.db.begin_write()?;
        txn.set_durability(Durability::Immediate)?;
        {
            let mut log = txn.open_table(LOG_TABLE)?;
            let mut meta = txn.open_table(META_TABLE)?;
            for batch in batches {
                if let Some(snapshot) = &batch.snapshot {
                    let bytes = record::encode("snapshot", snapshot);
                    meta.insert("snapshot", bytes.as_slice())?;
                    log.retain_in(..=snapshot.index, |_, _| false)?;
                }
                if let Some(first) = batch.entries.first() {
                    log.retain_in(first.index.., |_, _| false)?;
                }
                for entry in &batch.entries {
                    let bytes = record::encode(&entry_key(entry.index), entry);
                    log.insert(entry.index, bytes.as_slice())?;
                }
                if let Some(hard_state) = &batch.hard_state {
                    meta.insert("hard", record::encode("hard", hard_state).as_slice())?;
                }
            }
        }
        txn.commit()?;
        Ok(())
    }

    /// Creates the tables of a new file, with its format and owner.
    fn initialize(&self, owner: Owner) -> Result<(), Error> {
        let create_tables = || -> Result<(), redb::Error> {
            let txn = self.db.begin_write()?;
            {
                txn.open_table(LOG_TABLE)?;
                let mut meta = txn.open_table(META_TABLE)?;
                let format = (FORMAT.0.to_owned(), FORMAT.1);
                meta.insert("format", record::encode("format", &format).as_slice())?;
                meta.insert("owner", record::encode("owner", &owner).as_slice())?;
            }
            Ok(txn.commit()?)
        };
        create_tables().map_err(|source| Error::Disk { file: self.file.clone(), source })
    }

    fn read_all(&self) -> Result<StoredState, Error> {
        let hard_state: HardState = self.read_meta("hard")?.unwrap_or_default();
        let snapshot: Option<Snapshot> = self.read_meta("snapshot")?;
        let mut entries: Vec<Entry> = Vec::new();
        let disk_error = |source: redb::Error| Error::Disk { file: self.file.clone(), source };
        let txn = self.db.begin_read().map_err(|error| disk_error(error.into()))?;
        let log = txn.open_table(LOG_TABLE).map_err(|error| disk_error(error.into()))?;
        let mut next_index = snapshot.as_ref().map_or(1, |snapshot| snapshot.index + 1);
        for row in log.iter().map_err(|error| disk_error(error.into()))? {
            let (index, bytes) = row.map_err(|error| disk_error(error.into()))?;
            let key = entry_key(index.value());
            let entry: Entry =
                record::decode(&key, bytes.value()).map_err(|reason| self.damaged_error(&key, reason))?;
            if index.value() != next_index || entry.index != next_index {
                return Err(self.damaged_error(&key, "the entry before it is missing"));
            }
            next_index += 1;
            entries.push(entry);
        }
        let last_index = next_index - 1;
        if hard_state.commit > last_index {
            return Err(self.damaged_error(&entry_key(hard_state.commit), "it was committed and is missing"));
        }
        Ok(StoredState { hard_state, snapshot, entries })
    }

    fn read_meta<T: for<'a> Deserialize<'a>>(&self, key: &str) -> Result<Option<T>, Error> {
        let disk_error = |source: redb::Error| Error::Disk { file: self.file.clone(), source };
        let txn = self.db.begin_read().map_err(|error| disk_error(error.into()))?;
        let meta = match txn.open_table(META_TABLE) {
            Ok(meta) => meta,
            Err(redb::TableError::TableDoesNotExist(_)) => return Ok(None),
            Err(error) => return Err(disk_error(error.into())),
        };
        let Some(bytes) = meta.get(key).map_err(|error| disk_error(error.into()))? else {
            return Ok(None);
        };
        record::decode(key, bytes.value()).map(Some).map_err(|reason| self.damaged_error(key, reason))
    }

    fn damaged_error(&self, key: &str, reason: &'static str) -> Error {
        Error::Damaged { file: self.file.clone(), record: format!("record '{key}'"), reason }
    }
}

/// The key of a log entry that its checksum covers and that error messages name.
fn entry_key(index: u64) -> String {
    format!("entry {index}")
}

#[cfg(test)]
mod tests {
    use super::*;

    const OWNER: Owner = Owner { cluster: 7, replica: 1 };

    fn entry(index: u64, term: u64) -> Entry {
        Entry { index, term, kind: 0, data: format!("{index} of {term}").into_bytes(), context: Vec::new() }
    }

    fn write(store: &mut Store, entries: Vec<Entry>, snapshot: Option<Snapshot>, commit: u64) {
        let hard_state = Some(HardState { term: 2, vote: 1, commit });
        store.write(&Batch { entries, hard_state, snapshot }).unwrap();
    }

    #[test]
    fn written_state_is_read_back_and_entries_of_a_later_term_replace_the_tail() {
        let folder = tempfile::tempdir().unwrap();
        let file = folder.path().join("log");
        let (mut store, _) = Store::open(&file, OWNER).unwrap();
        write(&mut store, (1..=5).map(|n| entry(n, 1)).collect(), None, 2);
        write(&mut store, vec![entry(4, 2)], None, 2);
        let snapshot = Snapshot { index: 2, term: 1, voters: vec![1, 2, 3], data: b"state".to_vec() };
        write(&mut store, Vec::new(), Some(snapshot.clone()), 3);
        drop(store);
        let (_, stored) = Store::open(&file, OWNER).unwrap();
        assert_eq!(stored.entries, [entry(3, 1), entry(4, 2)]);
        assert_eq!(stored.snapshot, Some(snapshot));
        assert_eq!(stored.hard_state, HardState { term: 2, vote: 1, commit: 3 });
    }

    #[test]
    fn a_file_of_another_replica_or_format_is_rejected() {
        let folder = tempfile::tempdir().unwrap();
        let file = folder.path().join("log");
        drop(Store::open(&file, OWNER).unwrap());
        let other = Owner { cluster: 7, replica: 2 };
        let message = Store::open(&file, other).err().unwrap().to_string();
        assert!(message.contains("replica: 1") && message.contains("replica: 2"), "{message}");
        let text_file = folder.path().join("text");
        std::fs::write(&text_file, "no such file of ours").unwrap();
        assert!(matches!(Store::open(&text_file, OWNER), Err(Error::Disk { .. })));
    }

    #[test]
    fn a_changed_or_missing_record_is_reported_with_its_key() {
        let folder = tempfile::tempdir().unwrap();
        let file = folder.path().join("log");
        let open_after = |damage: &dyn Fn(&Store)| {
            let _ = std::fs::remove_file(&file);
            let (mut store, _) = Store::open(&file, OWNER).unwrap();
            write(&mut store, (1..=5).map(|n| entry(n, 1)).collect(), None, 5);
            damage(&store);
            drop(store);
            Store::open(&file, OWNER).err().unwrap().to_string()
        };
        let replace_record = |store: &Store, index: u64, bytes: Option<&[u8]>| {
            let txn = store.db.begin_write().unwrap();
            {
                let mut log = txn.open_table(LOG_TABLE).unwrap();
                match bytes {
                    Some(bytes) => drop(log.insert(index, bytes).unwrap()),
                    None => drop(log.remove(index).unwrap()),
                }
            }
            txn.commit().unwrap();
        };
        let mut flipped = record::encode("entry 3", &entry(3, 1));
        *flipped.last_mut().unwrap() ^= 1;
        let message = open_after(&|store| replace_record(store, 3, Some(&flipped)));
        assert!(message.contains("'entry 3'") && message.contains("checksum"), "{message}");
        // An intact record that is stored under another key.
        let moved = record::encode("entry 2", &entry(2, 1));
        assert!(open_after(&|store| replace_record(store, 3, Some(&moved))).contains("'entry 3'"));
        assert!(open_after(&|store| replace_record(store, 3, None)).contains("'entry 4'"));
        let message = open_after(&|store| replace_record(store, 5, None));
        assert!(message.contains("'entry 5'") && message.contains("committed and is missing"), "{message}");
    }
}
