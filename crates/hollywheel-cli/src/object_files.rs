//! Reading of object files from the paths on the command line.

use std::path::{Path, PathBuf};

use clap::{Arg, ArgAction, ArgMatches, value_parser};
use hollywheel_config::{CheckReport, ObjectSet, check_set, read_json, read_toml};

use crate::error::CliError;

/// Returns the argument for the paths of object files.
pub(crate) fn files_argument() -> Arg {
    Arg::new("files")
        .value_name("PATH")
        .help("Object files (.toml or .json) or directories of them, which together form the set")
        .required(true)
        .num_args(1..)
        .action(ArgAction::Append)
        .value_parser(value_parser!(PathBuf))
}

/// Reads all object files that the arguments name into one set.
///
/// # Errors
///
/// Returns [`CliError`] with the file, line and field of the error.
pub(crate) fn read_files(args: &ArgMatches) -> Result<ObjectSet, CliError> {
    let paths = args.get_many::<PathBuf>("files").into_iter().flatten();
    let mut set = ObjectSet::default();
    for path in paths {
        for file in list_files(path)? {
            extend_set(&mut set, read_file(&file)?);
        }
    }
    if set == ObjectSet::default() {
        return Err(CliError::NoObjects);
    }
    set.sort();
    Ok(set)
}

/// Validates a set before anything is sent to a host.
///
/// # Errors
///
/// Returns [`CliError::Faults`] with every fault.
pub(crate) fn require_clean(set: &ObjectSet) -> Result<(), CliError> {
    let CheckReport { faults } = check_set(set);
    if faults.is_empty() {
        return Ok(());
    }
    Err(CliError::Faults(faults))
}

/// Returns the object files in a directory, sorted by name, or the path itself if it is a file.
fn list_files(path: &Path) -> Result<Vec<PathBuf>, CliError> {
    if !path.is_dir() {
        return Ok(vec![path.to_owned()]);
    }
    let mut files = Vec::new();
    for entry in std::fs::read_dir(path).map_err(|error| file_error(path, &error))? {
        let file = entry.map_err(|error| file_error(path, &error))?.path();
        if has_extension(&file, "toml") || has_extension(&file, "json") {
            files.push(file);
        }
    }
    files.sort();
    Ok(files)
}

fn read_file(path: &Path) -> Result<ObjectSet, CliError> {
    let text = std::fs::read_to_string(path).map_err(|error| file_error(path, &error))?;
    let name = path.display().to_string();
    let set = if has_extension(path, "json") {
        read_json(&name, text.as_bytes())
    } else {
        read_toml(&name, &text)
    };
    set.map_err(CliError::Objects)
}

fn extend_set(set: &mut ObjectSet, other: ObjectSet) {
    set.pipelines.extend(other.pipelines);
    set.pools.extend(other.pools);
    set.stages.extend(other.stages);
    set.targets.extend(other.targets);
    set.workspaces.extend(other.workspaces);
}

fn has_extension(path: &Path, extension: &str) -> bool {
    path.extension().is_some_and(|actual| actual == extension)
}

fn file_error(path: &Path, error: &std::io::Error) -> CliError {
    CliError::File {
        path: path.to_owned(),
        message: error.to_string(),
    }
}
