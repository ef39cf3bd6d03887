//! The list of commands.

use clap::{ArgMatches, Command};

use super::{
    check, claims, completion, diff, drain, hash_key, history, hosts, logs, make_ca, make_host_key,
    pools, publish, rollback, schema, show, status, trace,
};
use crate::context::CommandContext;
use crate::error::CliError;

/// Identifies a command of the tool.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum CommandName {
    /// Validates object files.
    Check,
    /// Lists and resolves claims.
    Claims,
    /// Prints a shell completion script.
    Completion,
    /// Compares object files with the version in force.
    Diff,
    /// Shuts a host down gracefully.
    Drain,
    /// Generates a workspace or operator key, or hashes a given one.
    HashKey,
    /// Lists publications.
    History,
    /// Lists hosts.
    Hosts,
    /// Explains failed requests from log files.
    Logs,
    /// Creates the certificate authority of the hosts.
    MakeCa,
    /// Creates the private key and the certificate of a host.
    MakeHostKey,
    /// Lists pools and their backend servers.
    Pools,
    /// Publishes object files.
    Publish,
    /// Publishes the set of an older version again.
    Rollback,
    /// Prints the schema of object files.
    Schema,
    /// Shows the objects in force.
    Show,
    /// Shows the state of a host and whether it meets its targets.
    Status,
    /// Lists the events of a request on a host.
    Trace,
}

impl CommandName {
    /// Lists every command, in the order in which the help shows them.
    pub const ALL: [Self; 18] = [
        Self::Status,
        Self::Check,
        Self::Diff,
        Self::Publish,
        Self::Rollback,
        Self::Show,
        Self::History,
        Self::Hosts,
        Self::Pools,
        Self::Claims,
        Self::Trace,
        Self::Logs,
        Self::Drain,
        Self::HashKey,
        Self::MakeCa,
        Self::MakeHostKey,
        Self::Schema,
        Self::Completion,
    ];

    /// Returns the name of the command on the command line.
    pub const fn name(self) -> &'static str {
        match self {
            Self::Check => check::NAME,
            Self::Claims => claims::NAME,
            Self::Completion => completion::NAME,
            Self::Diff => diff::NAME,
            Self::Drain => drain::NAME,
            Self::HashKey => hash_key::NAME,
            Self::History => history::NAME,
            Self::Hosts => hosts::NAME,
            Self::Logs => logs::NAME,
            Self::MakeCa => make_ca::NAME,
            Self::MakeHostKey => make_host_key::NAME,
            Self::Pools => pools::NAME,
            Self::Publish => publish::NAME,
            Self::Rollback => rollback::NAME,
            Self::Schema => schema::NAME,
            Self::Show => show::NAME,
            Self::Status => status::NAME,
            Self::Trace => trace::NAME,
        }
    }

    /// Builds the definition of the command.
    pub fn command(self) -> Command {
        match self {
            Self::Check => check::command(),
            Self::Claims => claims::command(),
            Self::Completion => completion::command(),
            Self::Diff => diff::command(),
            Self::Drain => drain::command(),
            Self::HashKey => hash_key::command(),
            Self::History => history::command(),
            Self::Hosts => hosts::command(),
            Self::Logs => logs::command(),
            Self::MakeCa => make_ca::command(),
            Self::MakeHostKey => make_host_key::command(),
            Self::Pools => pools::command(),
            Self::Publish => publish::command(),
            Self::Rollback => rollback::command(),
            Self::Schema => schema::command(),
            Self::Show => show::command(),
            Self::Status => status::command(),
            Self::Trace => trace::command(),
        }
    }

    /// Runs the command.
    ///
    /// # Errors
    ///
    /// Returns [`CliError`] if the command fails.
    pub(crate) async fn run(
        self,
        context: &CommandContext,
        args: &ArgMatches,
    ) -> Result<(), CliError> {
        match self {
            Self::Check => check::run(context, args),
            Self::Claims => claims::run(context, args).await,
            Self::Completion => completion::run(args),
            Self::Diff => diff::run(context, args).await,
            Self::Drain => drain::run(context).await,
            Self::HashKey => hash_key::run(context, args),
            Self::History => history::run(context, args).await,
            Self::Hosts => hosts::run(context).await,
            Self::Logs => logs::run(context, args),
            Self::MakeCa => make_ca::run(context, args),
            Self::MakeHostKey => make_host_key::run(context, args),
            Self::Pools => pools::run(context, args).await,
            Self::Publish => publish::run(context, args).await,
            Self::Rollback => rollback::run(context, args).await,
            Self::Schema => schema::run(context),
            Self::Show => show::run(context, args).await,
            Self::Status => status::run(context, args).await,
            Self::Trace => trace::run(context, args).await,
        }
    }
}
