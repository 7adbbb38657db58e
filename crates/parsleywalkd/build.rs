//! Puts the digest of the sources into the program, which logs it when it starts.

#[path = "build/source_digest.rs"]
mod source_digest;

use std::path::Path;

use source_digest::source_digest;

fn main() -> std::io::Result<()> {
    let workspace = Path::new(env!("CARGO_MANIFEST_DIR")).join("../..");
    for name in ["Cargo.lock", "Cargo.toml", "crates", "platform"] {
        println!("cargo::rerun-if-changed={}", workspace.join(name).display());
    }
    println!("cargo::rustc-env=PARSLEYWALK_BUILD={}", source_digest(&workspace)?);
    Ok(())
}
