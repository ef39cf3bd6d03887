//! Passes the commit of the checkout to the crate.

use std::error::Error;
use std::path::Path;

use vergen_gitcl::{Emitter, Gitcl};

fn main() -> Result<(), Box<dyn Error>> {
    let mut emitter = Emitter::default();
    // Without this check an unpacked archive inside another repository would take its commit.
    if Path::new("../../.git").exists() {
        // The length of an abbreviated hash depends on the checkout, so the hash is passed in full.
        emitter.add_instructions(&Gitcl::builder().sha(false).build())?;
    }
    emitter.emit()?;
    // Read again once an unpacked archive has become a repository.
    println!("cargo:rerun-if-changed=../../.git/HEAD");
    Ok(())
}
