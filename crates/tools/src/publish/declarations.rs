//! Finding declaration files.

use std::path::{Path, PathBuf};

use egret_conf::DeclarationFile;

use super::PublishError;

/// The name of a declaration file; `*.egret.toml` is taken too.
pub const DECLARATION_FILE_NAME: &str = "egret.toml";

/// Reads all declaration files below a directory, sorted by path.
///
/// # Errors
/// Fails where a file cannot be read, or where there is none.
pub fn read_declarations(directory: &Path) -> Result<Vec<DeclarationFile>, PublishError> {
    let mut paths = Vec::new();
    find(directory, &mut paths)?;
    paths.sort();
    if paths.is_empty() {
        return Err(PublishError::NoDeclarations { path: directory.to_owned() });
    }
    let read = |path: &PathBuf| {
        let text = std::fs::read_to_string(path).map_err(|source| file_error(path, source))?;
        Ok(DeclarationFile::new(path.display().to_string(), text))
    };
    paths.iter().map(read).collect()
}

fn find(directory: &Path, paths: &mut Vec<PathBuf>) -> Result<(), PublishError> {
    let entries = std::fs::read_dir(directory).map_err(|source| file_error(directory, source))?;
    for entry in entries {
        let path = entry.map_err(|source| file_error(directory, source))?.path();
        if path.is_dir() {
            find(&path, paths)?;
        } else if is_declaration(&path) {
            paths.push(path);
        }
    }
    Ok(())
}

fn is_declaration(path: &Path) -> bool {
    let name = path.file_name().and_then(|name| name.to_str()).unwrap_or_default();
    name == DECLARATION_FILE_NAME || name.ends_with(".egret.toml")
}

pub(super) fn file_error(path: &Path, source: std::io::Error) -> PublishError {
    PublishError::File { path: path.to_owned(), source }
}
