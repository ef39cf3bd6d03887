//! `hollywheelctl diff`

use clap::{ArgMatches, Command};
use hollywheel_admin::ConfigDocument;
use hollywheel_config::{ObjectChange, ObjectSet, SetDiff};
use hollywheel_types::ConfigVersion;
use serde::Serialize;

use crate::context::CommandContext;
use crate::error::CliError;
use crate::object_files::{files_argument, read_files, require_clean};

pub(crate) const NAME: &str = "diff";

pub(crate) fn command() -> Command {
    Command::new(NAME)
        .about("Compares object files with the version in force")
        .arg(files_argument())
        .after_help("Example:\n  hollywheelctl diff examples/pricing-office.toml")
}

/// Lists the changes that publishing the files would make.
#[derive(Debug, Serialize)]
pub(crate) struct DiffDocument {
    pub(crate) base: ConfigVersion,
    pub(crate) changes: Vec<ObjectChange>,
}

impl DiffDocument {
    /// Compares a new set with the version in force.
    pub(crate) fn new(document: &ConfigDocument, set: &ObjectSet) -> Self {
        let old = &document.published.set;
        Self {
            base: document.published.version,
            changes: SetDiff::between(old, set).summary(old),
        }
    }

    /// Renders one line for each object that differs.
    pub(crate) fn render_text(&self) -> String {
        if self.changes.is_empty() {
            return format!("version {}: no difference\n", self.base);
        }
        let mut text = format!("version {} would change:\n", self.base);
        for change in &self.changes {
            text.push_str(&format!("{change}\n"));
        }
        text
    }
}

pub(crate) async fn run(context: &CommandContext, args: &ArgMatches) -> Result<(), CliError> {
    let set = read_files(args)?;
    require_clean(&set)?;
    let document: ConfigDocument = context.client.get("/admin/config").await?;
    context.print(
        &DiffDocument::new(&document, &set),
        DiffDocument::render_text,
    )
}
