//! Generates `crates/wire/src/generated` from the files in `crates/wire/proto`.
//!
//! Run from the repository root: `cargo run -p berylgw-codegen`.

use std::error::Error;

const PROTO_DIR: &str = "crates/wire/proto";
const OUT_DIR: &str = "crates/wire/src/generated";

fn main() -> Result<(), Box<dyn Error>> {
    let descriptors =
        protox::compile(["berylgw.proto", "direct.proto", "rank.proto"], [PROTO_DIR])?;
    std::fs::create_dir_all(OUT_DIR)?;
    tonic_prost_build::configure()
        .bytes(".")
        .codec_path("crate::codec::Codec")
        .out_dir(OUT_DIR)
        .compile_fds(descriptors)?;
    Ok(())
}
