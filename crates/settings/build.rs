//! Compiles the schemas in `proto/` to Rust types and to a descriptor set, without an external protobuf compiler.

use std::path::PathBuf;

fn main() -> Result<(), Box<dyn std::error::Error>> {
    let proto_folder = PathBuf::from(std::env::var("CARGO_MANIFEST_DIR")?).join("../../proto");
    println!("cargo::rerun-if-changed={}", proto_folder.display());
    let out = PathBuf::from(std::env::var("OUT_DIR")?);
    let descriptors = protox::compile(["settings.proto", "experiment.proto"], [&proto_folder])?;
    std::fs::write(
        out.join("descriptors.bin"),
        encode_descriptors(&descriptors),
    )?;
    prost_build::Config::new().compile_fds(descriptors)?;
    Ok(())
}

fn encode_descriptors(descriptors: &impl protox::prost::Message) -> Vec<u8> {
    descriptors.encode_to_vec()
}
