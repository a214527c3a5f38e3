//! Passes the commit of the checkout to the compiler, for `fircroft --version`.

use vergen_gitcl::{Emitter, GitclBuilder};

fn main() -> Result<(), Box<dyn std::error::Error>> {
    // Outside a checkout the variable is set as well, to a placeholder.
    Ok(Emitter::default().add_instructions(&GitclBuilder::default().sha(true).build()?)?.emit()?)
}
