//! The digest of the sources that a program is built from.

use std::fs;
use std::io;
use std::path::{Path, PathBuf};

use sha2::{Digest, Sha256};

/// The number of bytes of the digest that are shown.
const SHOWN_BYTES: usize = 6;

/// Returns the digest of the workspace's lock file and of the sources and manifests of its packages, in hexadecimal.
///
/// # Errors
///
/// Returns an error if a file can't be read.
pub(crate) fn source_digest(workspace: &Path) -> io::Result<String> {
    let mut files = vec![workspace.join("Cargo.lock"), workspace.join("Cargo.toml")];
    for folder in ["crates", "platform"] {
        add_sources(&workspace.join(folder), &mut files)?;
    }
    files.sort();
    let mut digest = Sha256::new();
    for path in files {
        let name = path.strip_prefix(workspace).unwrap_or(&path).to_string_lossy().into_owned();
        let content = fs::read(&path)?;
        digest.update(format!("{name} {}\n", content.len()));
        digest.update(content);
    }
    let shown = digest.finalize().iter().take(SHOWN_BYTES).fold(0, |number, byte| number << 8 | u64::from(*byte));
    Ok(format!("{shown:0width$x}", width = 2 * SHOWN_BYTES))
}

/// Adds the manifests and the files of `src` folders below a folder.
fn add_sources(folder: &Path, files: &mut Vec<PathBuf>) -> io::Result<()> {
    for entry in fs::read_dir(folder)? {
        let path = entry?.path();
        if path.is_dir() {
            add_sources(&path, files)?;
        } else if path.ends_with("Cargo.toml") || path.components().any(|part| part.as_os_str() == "src") {
            files.push(path);
        }
    }
    Ok(())
}
