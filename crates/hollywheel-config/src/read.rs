//! Parsing and serialization of object sets as TOML and JSON.

use std::fmt;

use schemars::{JsonSchema, Schema, schema_for};
use serde::{Deserialize, Serialize};

use crate::locate::describe_syntax_error;
use crate::object::{PipelineObject, PoolObject, StageObject, TargetObject, WorkspaceObject};
use crate::set::ObjectSet;

/// The version of the object file format that this crate reads and writes.
const FORMAT_VERSION: u32 = 1;

/// Describes why a text could not be read as an object set.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum ReadError {
    /// The text is not valid TOML or JSON, or an object has an invalid field.
    Syntax {
        /// The file or source of the text.
        source_name: String,
        /// The message of the parser, with object, field and line where they are known.
        message: String,
    },
    /// The text declares an unsupported format version.
    Format {
        /// The file or source of the text.
        source_name: String,
        /// The declared format version.
        given: u32,
    },
}

impl fmt::Display for ReadError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Syntax {
                source_name,
                message,
            } => write!(f, "{source_name}: {}", message.trim_end()),
            Self::Format { source_name, given } => write!(
                f,
                "{source_name}: format {given} is not supported; expected format = {FORMAT_VERSION}"
            ),
        }
    }
}

impl std::error::Error for ReadError {}

/// Describes the layout of an object file. Every list is optional, so a set can be split across
/// several files.
#[derive(Debug, Default, Deserialize, JsonSchema, Serialize)]
#[serde(deny_unknown_fields)]
struct ObjectFile {
    format: u32,
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    workspace: Vec<WorkspaceObject>,
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    target: Vec<TargetObject>,
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pool: Vec<PoolObject>,
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    stage: Vec<StageObject>,
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pipeline: Vec<PipelineObject>,
}

impl ObjectFile {
    fn into_set(self, source_name: &str) -> Result<ObjectSet, ReadError> {
        if self.format != FORMAT_VERSION {
            return Err(ReadError::Format {
                source_name: source_name.to_owned(),
                given: self.format,
            });
        }
        let mut set = ObjectSet {
            pipelines: self.pipeline,
            pools: self.pool,
            stages: self.stage,
            targets: self.target,
            workspaces: self.workspace,
        };
        set.sort();
        Ok(set)
    }

    fn from_set(set: &ObjectSet) -> Self {
        Self {
            format: FORMAT_VERSION,
            workspace: set.workspaces.clone(),
            target: set.targets.clone(),
            pool: set.pools.clone(),
            stage: set.stages.clone(),
            pipeline: set.pipelines.clone(),
        }
    }
}

/// Returns the JSON schema of object files.
pub fn file_schema() -> Schema {
    schema_for!(ObjectFile)
}

/// Reads an object set from TOML. Duplicate objects are kept, so that [`crate::check_set`] can
/// report them.
///
/// # Errors
///
/// Returns [`ReadError`] with the object, field and line of the error.
pub fn read_toml(source_name: &str, text: &str) -> Result<ObjectSet, ReadError> {
    let file: ObjectFile = toml::from_str(text).map_err(|error| ReadError::Syntax {
        source_name: source_name.to_owned(),
        message: describe_syntax_error(text, &error),
    })?;
    file.into_set(source_name)
}

/// Reads an object set from JSON.
///
/// # Errors
///
/// Returns [`ReadError`] with the line and field of the error.
pub fn read_json(source_name: &str, text: &[u8]) -> Result<ObjectSet, ReadError> {
    let file: ObjectFile = serde_json::from_slice(text).map_err(|error| ReadError::Syntax {
        source_name: source_name.to_owned(),
        message: error.to_string(),
    })?;
    file.into_set(source_name)
}

/// Writes an object set as TOML.
///
/// # Panics
///
/// Never panics: every object can be serialized.
pub fn write_toml(set: &ObjectSet) -> String {
    toml::to_string(&ObjectFile::from_set(set)).expect("every field of an object can be serialized")
}

/// Writes an object set as JSON.
///
/// # Panics
///
/// Never panics: every object can be serialized.
pub fn write_json(set: &ObjectSet) -> Vec<u8> {
    serde_json::to_vec(&ObjectFile::from_set(set))
        .expect("every field of an object can be serialized")
}
