//! Compiles the schemas in `proto/` to Rust types and to a set of descriptors, with no outside compiler.

use std::path::PathBuf;

fn main() -> Result<(), Box<dyn std::error::Error>> {
    let protos = PathBuf::from(std::env::var("CARGO_MANIFEST_DIR")?).join("../../proto");
    println!("cargo::rerun-if-changed={}", protos.display());
    let out = PathBuf::from(std::env::var("OUT_DIR")?);
    let set = protox::compile(["settings.proto", "experiment.proto"], [&protos])?;
    std::fs::write(out.join("descriptors.bin"), prost_build_message(&set))?;
    prost_build::Config::new().compile_fds(set)?;
    Ok(())
}

fn prost_build_message(set: &impl protox::prost::Message) -> Vec<u8> {
    set.encode_to_vec()
}
