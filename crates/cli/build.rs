//! Tells the program which commit it was built from.

use vergen_gitcl::{Emitter, GitclBuilder};

fn main() -> Result<(), Box<dyn std::error::Error>> {
    // Outside a checkout the variable is there all the same, with a text that says so.
    Ok(Emitter::default().add_instructions(&GitclBuilder::default().sha(true).build()?)?.emit()?)
}
