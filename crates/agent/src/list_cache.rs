//! The agent's list on disk: a line with magic, version and checksum, and a line of JSON. Replaced as a whole.

use std::io::Write;
use std::path::Path;

use anyhow::{bail, Context};

use crate::list::List;

const MAGIC: &str = "fircroft-agent-list 1";

/// Reads the list; `None` where there is no file yet.
///
/// # Errors
///
/// A file that can't be read, is damaged, or is of another version. The agent goes on without it: the registry has
/// the list.
pub fn read(file: &Path) -> anyhow::Result<Option<List>> {
    let text = match std::fs::read_to_string(file) {
        Ok(text) => text,
        Err(error) if error.kind() == std::io::ErrorKind::NotFound => return Ok(None),
        Err(error) => return Err(error).with_context(|| file.display().to_string()),
    };
    let (head, body) = text.split_once('\n').with_context(|| format!("{}: it is cut off", file.display()))?;
    let Some(sum) = head.strip_prefix(MAGIC) else {
        bail!(
            "{}: expected '{MAGIC}', found '{}'",
            file.display(),
            head.chars().take(40).collect::<String>()
        );
    };
    if sum.trim() != format!("{:08x}", crc32fast::hash(body.as_bytes())) {
        bail!("{}: its checksum does not fit: remove it, the registry has the list", file.display());
    }
    serde_json::from_str(body).map(Some).with_context(|| file.display().to_string())
}

/// Replaces the file; a crash leaves the old one or the new one.
///
/// # Errors
///
/// What the disk says.
pub fn write(file: &Path, list: &List) -> anyhow::Result<()> {
    let body = serde_json::to_string(list)?;
    let folder = file.parent().filter(|folder| !folder.as_os_str().is_empty()).unwrap_or(Path::new("."));
    std::fs::create_dir_all(folder).with_context(|| folder.display().to_string())?;
    let mut new = tempfile::NamedTempFile::new_in(folder)?;
    write!(new, "{MAGIC} {:08x}\n{body}", crc32fast::hash(body.as_bytes()))?;
    new.as_file().sync_all()?;
    new.persist(file)?;
    std::fs::File::open(folder)?.sync_all()?;
    Ok(())
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn a_list_comes_back_and_a_damaged_one_is_said() {
        let folder = tempfile::tempdir().unwrap();
        let file = folder.path().join("list");
        assert_eq!(read(&file).unwrap(), None);
        let mut list = List { revision: 7, ..List::default() };
        list.members.insert("a".to_owned(), serde_json::json!({"id": "a"}));
        write(&file, &list).unwrap();
        assert_eq!(read(&file).unwrap(), Some(list));
        let text = std::fs::read_to_string(&file).unwrap();
        std::fs::write(&file, text.replace("\"revision\":7", "\"revision\":8")).unwrap();
        assert!(read(&file).unwrap_err().to_string().contains("checksum"));
        std::fs::write(&file, "something else\n{}").unwrap();
        assert!(read(&file).unwrap_err().to_string().contains("expected 'fircroft-agent-list 1'"));
    }
}
