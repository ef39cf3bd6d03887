//! Reading of object files from paths that an operator gives.

use std::path::{Path, PathBuf};

use clap::{Arg, ArgAction, ArgMatches, value_parser};
use hollywheel_config::{CheckReport, ObjectSet, check_set, read_json, read_toml};

use crate::error::CliError;

/// Returns the argument for object files.
pub(crate) fn files_argument() -> Arg {
    Arg::new("files")
        .value_name("PATH")
        .help("Object files (.toml or .json), or directories of them; together they are the set")
        .required(true)
        .num_args(1..)
        .action(ArgAction::Append)
        .value_parser(value_parser!(PathBuf))
}

/// Reads every object file that the arguments name into one set.
///
/// # Errors
///
/// Returns [`CliError`] naming the file, the line and the field at fault.
pub(crate) fn read_files(args: &ArgMatches) -> Result<ObjectSet, CliError> {
    let given = args.get_many::<PathBuf>("files").into_iter().flatten();
    let mut set = ObjectSet::default();
    for path in given {
        for file in expand(path)? {
            append(&mut set, read_file(&file)?);
        }
    }
    if set == ObjectSet::default() {
        return Err(CliError::NoObjects);
    }
    set.sort();
    Ok(set)
}

/// Checks a set before anything is sent.
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

fn expand(path: &Path) -> Result<Vec<PathBuf>, CliError> {
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

fn append(set: &mut ObjectSet, more: ObjectSet) {
    set.pipelines.extend(more.pipelines);
    set.pools.extend(more.pools);
    set.stages.extend(more.stages);
    set.targets.extend(more.targets);
    set.workspaces.extend(more.workspaces);
}

fn has_extension(path: &Path, extension: &str) -> bool {
    path.extension().is_some_and(|given| given == extension)
}

fn file_error(path: &Path, error: &std::io::Error) -> CliError {
    CliError::File {
        path: path.to_owned(),
        message: error.to_string(),
    }
}
