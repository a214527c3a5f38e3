//! The file in which the agent caches its server list. The first line has the format name, its version and a
//! checksum; the second is the list as JSON. The file is always replaced as a whole.

use std::io::Write;
use std::path::Path;

use anyhow::{bail, Context};

use crate::list::ServerList;

/// The format name and version.
const FORMAT: &str = "fircroft-agent-list 1";

/// Reads the list; `None` if there is no file yet.
///
/// # Errors
///
/// The file can't be read, is damaged, or has another format version. The agent starts without it then and gets the
/// list from the registry.
pub fn read(file: &Path) -> anyhow::Result<Option<ServerList>> {
    let text = match std::fs::read_to_string(file) {
        Ok(text) => text,
        Err(error) if error.kind() == std::io::ErrorKind::NotFound => return Ok(None),
        Err(error) => return Err(error).with_context(|| file.display().to_string()),
    };
    let (header, body) =
        text.split_once('\n').with_context(|| format!("{}: the file is truncated", file.display()))?;
    let Some(checksum) = header.strip_prefix(FORMAT) else {
        bail!(
            "{}: expected '{FORMAT}', found '{}'",
            file.display(),
            header.chars().take(40).collect::<String>()
        );
    };
    if checksum.trim() != format!("{:08x}", crc32fast::hash(body.as_bytes())) {
        bail!("{}: checksum mismatch: remove the file, the registry has the list", file.display());
    }
    serde_json::from_str(body).map(Some).with_context(|| file.display().to_string())
}

/// Replaces the file. After a crash there is either the old file or the new one.
///
/// # Errors
///
/// The file can't be written.
pub fn write(file: &Path, list: &ServerList) -> anyhow::Result<()> {
    let body = serde_json::to_string(list)?;
    let folder = file.parent().filter(|folder| !folder.as_os_str().is_empty()).unwrap_or(Path::new("."));
    std::fs::create_dir_all(folder).with_context(|| folder.display().to_string())?;
    let mut temporary = tempfile::NamedTempFile::new_in(folder)?;
    write!(temporary, "{FORMAT} {:08x}\n{body}", crc32fast::hash(body.as_bytes()))?;
    temporary.as_file().sync_all()?;
    temporary.persist(file)?;
    std::fs::File::open(folder)?.sync_all()?;
    Ok(())
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn written_list_is_read_back_and_a_damaged_file_is_rejected() {
        let folder = tempfile::tempdir().unwrap();
        let file = folder.path().join("list");
        assert_eq!(read(&file).unwrap(), None);
        let mut list = ServerList { revision: 7, ..ServerList::default() };
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
