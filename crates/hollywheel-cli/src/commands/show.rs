//! `hollywheelctl show`

use clap::{Arg, ArgMatches, Command, value_parser};
use hollywheel_admin::ConfigDocument;
use hollywheel_config::{ObjectKey, ObjectSet, write_toml};

use crate::context::CommandContext;
use crate::error::CliError;

pub(crate) const NAME: &str = "show";

pub(crate) fn command() -> Command {
    Command::new(NAME)
        .about("Shows the objects in force, in the format of object files")
        .arg(
            Arg::new("object")
                .value_name("KIND/NAME")
                .help("Shows only this object")
                .value_parser(value_parser!(ObjectKey)),
        )
        .arg(
            Arg::new("version")
                .long("version")
                .value_name("VERSION")
                .help("Shows this version instead of the one in force")
                .value_parser(value_parser!(u64)),
        )
        .after_help(
            "Examples:\n  hollywheelctl show > set.toml\n  hollywheelctl show pool/rates-engines",
        )
}

pub(crate) async fn run(context: &CommandContext, args: &ArgMatches) -> Result<(), CliError> {
    let path = match args.get_one::<u64>("version") {
        Some(version) => format!("/admin/config?version={version}"),
        None => "/admin/config".to_owned(),
    };
    let mut document: ConfigDocument = context.client.get(&path).await?;
    if let Some(key) = args.get_one::<ObjectKey>("object") {
        document.published.set = select_object(&document.published.set, key)?;
    }
    context.print(&document, |document| {
        let version = document.published.version;
        format!(
            "# version {version}\n{}",
            write_toml(&document.published.set)
        )
    })
}

/// Returns a set that contains only the object with a key.
fn select_object(set: &ObjectSet, key: &ObjectKey) -> Result<ObjectSet, CliError> {
    let found = set
        .objects()
        .into_iter()
        .find(|object| object.key() == *key);
    let Some(object) = found else {
        return Err(CliError::not_found(format!("{key} is not in the set")));
    };
    let mut selected = ObjectSet::default();
    selected.put(object);
    Ok(selected)
}
