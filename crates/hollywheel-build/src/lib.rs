//! Names the commit from which the programs were built, so that a report can state which code ran.

/// Commit of a build whose sources were in no repository, or that found no `git`.
const UNKNOWN_COMMIT: &str = "unknown";
/// Value that the build-time library passes if `git` fails.
const NO_OUTPUT: &str = "VERGEN_IDEMPOTENT_OUTPUT";

/// Returns the hash of the commit that was checked out at the build, or `unknown`. It does not tell
/// whether files were changed after the checkout.
pub fn source_commit() -> &'static str {
    match option_env!("VERGEN_GIT_SHA") {
        Some(commit) if commit != NO_OUTPUT => commit,
        Some(_) | None => UNKNOWN_COMMIT,
    }
}

/// Returns the text that follows a program's name after `--version`: the package's version and the
/// commit.
pub fn version_text() -> &'static str {
    static TEXT: std::sync::LazyLock<String> =
        std::sync::LazyLock::new(|| format!("{} ({})", env!("CARGO_PKG_VERSION"), source_commit()));
    &TEXT
}
