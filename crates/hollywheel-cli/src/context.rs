//! The context that every command runs in.

use std::io::Write;

use serde::Serialize;

use crate::client::AdminClient;
use crate::error::CliError;
use crate::output::OutputFormat;

/// Holds the client and the output format.
#[derive(Debug)]
pub(crate) struct CommandContext {
    pub(crate) client: AdminClient,
    pub(crate) format: OutputFormat,
}

impl CommandContext {
    /// Prints a result in the output format: as JSON, or as the text that a function renders.
    ///
    /// # Errors
    ///
    /// Returns [`CliError::Output`] if standard output can't be written.
    pub(crate) fn print<T: Serialize>(
        &self,
        document: &T,
        render_text: impl FnOnce(&T) -> String,
    ) -> Result<(), CliError> {
        let rendered = match self.format {
            OutputFormat::Text => render_text(document),
            OutputFormat::Json => {
                let json = serde_json::to_string_pretty(document);
                json.map_err(|error| CliError::Output(error.into()))? + "\n"
            }
        };
        let mut stdout = std::io::stdout().lock();
        stdout
            .write_all(rendered.as_bytes())
            .map_err(CliError::Output)?;
        stdout.flush().map_err(CliError::Output)
    }
}
