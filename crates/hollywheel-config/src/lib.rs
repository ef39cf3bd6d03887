//! Configuration objects, their validation, and the publication and installation of versions.

mod change;
mod check;
mod install;
mod key_hash;
mod locate;
mod object;
mod read;
mod set;

pub use change::{BaseMismatch, ConfigChange, ObjectChange, PublishedSet, SetDiff};
pub use check::{CheckFault, CheckReport, check_set};
pub use install::{
    ChangeBatch, ChangeSummary, InstallError, InstallFault, InstallInput, InstallMachine,
    InstallOutput, InstallSettings, InstallTicket, PublishCommand, PublishReceipt, RollbackCommand,
    SetDigest, retain,
};
pub use key_hash::{hash_key, key_matches};
pub use object::{
    ConfigObject, ModelPlacement, ObjectKey, ObjectKind, PipelineObject, PoolKind, PoolObject,
    ServerEntry, StageKind, StageObject, TargetObject, WorkspaceObject,
};
pub use read::{ReadError, file_schema, read_json, read_toml, write_json, write_toml};
pub use set::ObjectSet;
