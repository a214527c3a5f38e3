//! A replica's log, vote and snapshot on disk: one file, one transaction a batch.
//!
//! The guarantee: when [`Store::write`] has returned, the whole batch is on disk and survives a crash at any later
//! moment; of one that did not return, all or nothing is there. What is read back is what was written, or an error
//! that names file, record and what to do: each record carries a checksum over its place and its bytes.
//!
//! ```
//! use store::{Batch, Entry, HardState, Owner, Store};
//! # fn main() -> Result<(), Box<dyn std::error::Error>> {
//! let folder = tempfile::tempdir()?;
//! let file = folder.path().join("replica.redb");
//! let owner = Owner { cluster: 7, replica: 1 };
//! let (mut store, found) = Store::open(&file, owner)?;
//! assert!(found.entries.is_empty());
//! let entry = Entry { index: 1, term: 1, kind: 0, data: b"put".to_vec(), context: Vec::new() };
//! store.write(&Batch { entries: vec![entry], hard: Some(HardState { term: 1, vote: 1, commit: 0 }), ..Batch::default() })?;
//! drop(store);
//! assert_eq!(Store::open(&file, owner)?.1.entries[0].data, b"put");
//! # Ok(())
//! # }
//! ```

mod record;

use std::path::{Path, PathBuf};

use redb::{Database, Durability, ReadableDatabase, ReadableTable, TableDefinition};
use serde::{Deserialize, Serialize};

const LOG: TableDefinition<u64, &[u8]> = TableDefinition::new("log");
const META: TableDefinition<&str, &[u8]> = TableDefinition::new("meta");
/// What the file is, and the version of its form.
const FORMAT: (&str, u32) = ("fircroft replica", 1);

/// Whose file it is.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Owner {
    /// The group.
    pub cluster: u64,
    /// The replica in it.
    pub replica: u64,
}

/// An entry of the log.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Entry {
    /// Its place.
    pub index: u64,
    /// The term in which it was made.
    pub term: u64,
    /// Its kind, as the group numbers kinds.
    pub kind: i32,
    /// What it holds.
    pub data: Vec<u8>,
    /// What its maker added.
    pub context: Vec<u8>,
}

/// What a replica must not forget before it speaks.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct HardState {
    /// The latest term it has seen.
    pub term: u64,
    /// Whom it voted for in that term; 0 is nobody.
    pub vote: u64,
    /// The last entry it knows to be committed.
    pub commit: u64,
}

/// The state at an index, in place of the log up to there.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Snapshot {
    /// The last entry in it.
    pub index: u64,
    /// That entry's term.
    pub term: u64,
    /// The group's voters.
    pub voters: Vec<u64>,
    /// The state.
    pub data: Vec<u8>,
}

/// What is written together.
#[derive(Clone, Debug, Default)]
pub struct Batch {
    /// Entries: they replace all from the first one's place on.
    pub entries: Vec<Entry>,
    /// The vote.
    pub hard: Option<HardState>,
    /// A snapshot: the log up to its index goes.
    pub snapshot: Option<Snapshot>,
}

/// What was found.
#[derive(Clone, Debug, Default)]
pub struct Found {
    /// The vote.
    pub hard: HardState,
    /// The snapshot, where there is one.
    pub snapshot: Option<Snapshot>,
    /// The entries after it, without a gap.
    pub entries: Vec<Entry>,
}

/// Why a file can't be used.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// The disk, or the store's own file format.
    #[error("{file}: {source}")]
    Disk {
        /// The file.
        file: PathBuf,
        /// What it said.
        source: redb::Error,
    },
    /// A record is not what was written.
    #[error(
        "{file}: {record}: {what}. Don't start this replica from it: move the file away and let the group send a \
         snapshot, or restore a copy"
    )]
    Damaged {
        /// The file.
        file: PathBuf,
        /// The record.
        record: String,
        /// What is wrong.
        what: &'static str,
    },
    /// The file is of another version, or another program's.
    #[error(
        "{file}: expected form {expected}, found {found}: use the program that wrote it, or another file"
    )]
    Form {
        /// The file.
        file: PathBuf,
        /// The form that is read.
        expected: String,
        /// The one that was found.
        found: String,
    },
    /// The file is another replica's.
    #[error("{file}: it is of {found:?}, not of {expected:?}: give each replica the file that it wrote")]
    Foreign {
        /// The file.
        file: PathBuf,
        /// Who asked.
        expected: Owner,
        /// Whose it is.
        found: Owner,
    },
}

/// An open store. The file is locked for as long as it is.
pub struct Store {
    db: Database,
    file: PathBuf,
    failed: bool,
}

impl Store {
    /// Opens a replica's file, or makes it, and reads what is there.
    ///
    /// # Errors
    ///
    /// All of [`Error`]; nothing is changed then.
    pub fn open(file: &Path, owner: Owner) -> Result<(Store, Found), Error> {
        let db = Database::create(file)
            .map_err(|error| Error::Disk { file: file.to_owned(), source: error.into() })?;
        let store = Store { db, file: file.to_owned(), failed: false };
        let known = store.read_meta::<(String, u32)>("format")?;
        match known {
            None => store.make(owner)?,
            Some(known) if known != (FORMAT.0.to_owned(), FORMAT.1) => {
                let (expected, found) = (format!("{FORMAT:?}"), format!("{known:?}"));
                return Err(Error::Form { file: store.file, expected, found });
            }
            Some(_) => match store.read_meta::<Owner>("owner")? {
                Some(found) if found == owner => {}
                Some(found) => return Err(Error::Foreign { file: store.file, expected: owner, found }),
                None => return Err(store.damaged("owner", "it is missing")),
            },
        }
        let found = store.read_all()?;
        Ok((store, found))
    }

    /// Writes a batch and returns when it is durable.
    ///
    /// # Errors
    ///
    /// [`Error::Disk`]. What is on disk is then unknown until the file is opened anew: every later write fails.
    pub fn write(&mut self, batch: &Batch) -> Result<(), Error> {
        self.write_all(std::iter::once(batch))
    }

    /// Writes batches, one after the other, in one transaction: one sync for all of them.
    ///
    /// # Errors
    ///
    /// As [`Store::write`].
    pub fn write_all<'a>(&mut self, batches: impl Iterator<Item = &'a Batch>) -> Result<(), Error> {
        if self.failed {
            let gone = redb::Error::PreviousIo;
            return Err(Error::Disk { file: self.file.clone(), source: gone });
        }
        self.failed = true;
        self.try_write(batches).map_err(|source| Error::Disk { file: self.file.clone(), source })?;
        self.failed = false;
        Ok(())
    }

    fn try_write<'a>(&self, batches: impl Iterator<Item = &'a Batch>) -> Result<(), redb::Error> {
        let mut txn = self.db.begin_write()?;
        txn.set_durability(Durability::Immediate)?;
        {
            let mut log = txn.open_table(LOG)?;
            let mut meta = txn.open_table(META)?;
            for batch in batches {
                if let Some(snapshot) = &batch.snapshot {
                    let text = record::write("snapshot", snapshot);
                    meta.insert("snapshot", text.as_slice())?;
                    log.retain_in(..=snapshot.index, |_, _| false)?;
                }
                if let Some(first) = batch.entries.first() {
                    log.retain_in(first.index.., |_, _| false)?;
                }
                for entry in &batch.entries {
                    let text = record::write(&name(entry.index), entry);
                    log.insert(entry.index, text.as_slice())?;
                }
                if let Some(hard) = &batch.hard {
                    meta.insert("hard", record::write("hard", hard).as_slice())?;
                }
            }
        }
        txn.commit()?;
        Ok(())
    }

    fn make(&self, owner: Owner) -> Result<(), Error> {
        let make = || -> Result<(), redb::Error> {
            let txn = self.db.begin_write()?;
            {
                txn.open_table(LOG)?;
                let mut meta = txn.open_table(META)?;
                let format = (FORMAT.0.to_owned(), FORMAT.1);
                meta.insert("format", record::write("format", &format).as_slice())?;
                meta.insert("owner", record::write("owner", &owner).as_slice())?;
            }
            Ok(txn.commit()?)
        };
        make().map_err(|source| Error::Disk { file: self.file.clone(), source })
    }

    fn read_all(&self) -> Result<Found, Error> {
        let hard: HardState = self.read_meta("hard")?.unwrap_or_default();
        let snapshot: Option<Snapshot> = self.read_meta("snapshot")?;
        let mut entries: Vec<Entry> = Vec::new();
        let disk = |source: redb::Error| Error::Disk { file: self.file.clone(), source };
        let txn = self.db.begin_read().map_err(|error| disk(error.into()))?;
        let log = txn.open_table(LOG).map_err(|error| disk(error.into()))?;
        let mut next = snapshot.as_ref().map_or(1, |snapshot| snapshot.index + 1);
        for row in log.iter().map_err(|error| disk(error.into()))? {
            let (index, text) = row.map_err(|error| disk(error.into()))?;
            let name = name(index.value());
            let entry: Entry = record::read(&name, text.value()).map_err(|what| self.damaged(&name, what))?;
            if index.value() != next || entry.index != next {
                return Err(self.damaged(&name, "the entry before it is missing"));
            }
            next += 1;
            entries.push(entry);
        }
        let last = next - 1;
        if hard.commit > last {
            return Err(self.damaged(&name(hard.commit), "it was committed and is missing"));
        }
        Ok(Found { hard, snapshot, entries })
    }

    fn read_meta<T: for<'a> Deserialize<'a>>(&self, key: &str) -> Result<Option<T>, Error> {
        let disk = |source: redb::Error| Error::Disk { file: self.file.clone(), source };
        let txn = self.db.begin_read().map_err(|error| disk(error.into()))?;
        let meta = match txn.open_table(META) {
            Ok(meta) => meta,
            Err(redb::TableError::TableDoesNotExist(_)) => return Ok(None),
            Err(error) => return Err(disk(error.into())),
        };
        let Some(text) = meta.get(key).map_err(|error| disk(error.into()))? else { return Ok(None) };
        record::read(key, text.value()).map(Some).map_err(|what| self.damaged(key, what))
    }

    fn damaged(&self, record: &str, what: &'static str) -> Error {
        Error::Damaged { file: self.file.clone(), record: format!("record '{record}'"), what }
    }
}

fn name(index: u64) -> String {
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
        let hard = Some(HardState { term: 2, vote: 1, commit });
        store.write(&Batch { entries, hard, snapshot }).unwrap();
    }

    #[test]
    fn what_was_written_is_read_back_and_a_later_term_replaces_the_tail() {
        let folder = tempfile::tempdir().unwrap();
        let file = folder.path().join("log");
        let (mut store, _) = Store::open(&file, OWNER).unwrap();
        write(&mut store, (1..=5).map(|n| entry(n, 1)).collect(), None, 2);
        write(&mut store, vec![entry(4, 2)], None, 2);
        let snapshot = Snapshot { index: 2, term: 1, voters: vec![1, 2, 3], data: b"state".to_vec() };
        write(&mut store, Vec::new(), Some(snapshot.clone()), 3);
        drop(store);
        let (_, found) = Store::open(&file, OWNER).unwrap();
        assert_eq!(found.entries, [entry(3, 1), entry(4, 2)]);
        assert_eq!(found.snapshot, Some(snapshot));
        assert_eq!(found.hard, HardState { term: 2, vote: 1, commit: 3 });
    }

    #[test]
    fn a_file_of_another_replica_or_form_is_refused() {
        let folder = tempfile::tempdir().unwrap();
        let file = folder.path().join("log");
        drop(Store::open(&file, OWNER).unwrap());
        let other = Owner { cluster: 7, replica: 2 };
        let said = Store::open(&file, other).err().unwrap().to_string();
        assert!(said.contains("replica: 1") && said.contains("replica: 2"), "{said}");
        let text = folder.path().join("text");
        std::fs::write(&text, "no such file of ours").unwrap();
        assert!(matches!(Store::open(&text, OWNER), Err(Error::Disk { .. })));
    }

    #[test]
    fn a_changed_or_missing_record_is_said_with_its_place() {
        let folder = tempfile::tempdir().unwrap();
        let file = folder.path().join("log");
        let change = |with: &dyn Fn(&Store)| {
            let _ = std::fs::remove_file(&file);
            let (mut store, _) = Store::open(&file, OWNER).unwrap();
            write(&mut store, (1..=5).map(|n| entry(n, 1)).collect(), None, 5);
            with(&store);
            drop(store);
            Store::open(&file, OWNER).err().unwrap().to_string()
        };
        let put = |store: &Store, index: u64, text: Option<&[u8]>| {
            let txn = store.db.begin_write().unwrap();
            {
                let mut log = txn.open_table(LOG).unwrap();
                match text {
                    Some(text) => drop(log.insert(index, text).unwrap()),
                    None => drop(log.remove(index).unwrap()),
                }
            }
            txn.commit().unwrap();
        };
        let mut bits = record::write("entry 3", &entry(3, 1));
        *bits.last_mut().unwrap() ^= 1;
        let said = change(&|store| put(store, 3, Some(&bits)));
        assert!(said.contains("'entry 3'") && said.contains("checksum"), "{said}");
        // A record that is whole, but of another place.
        let moved = record::write("entry 2", &entry(2, 1));
        assert!(change(&|store| put(store, 3, Some(&moved))).contains("'entry 3'"));
        assert!(change(&|store| put(store, 3, None)).contains("'entry 4'"));
        let said = change(&|store| put(store, 5, None));
        assert!(said.contains("'entry 5'") && said.contains("committed and is missing"), "{said}");
    }
}
