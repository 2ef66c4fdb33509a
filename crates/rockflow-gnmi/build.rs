//! Generates the Rust types of the gNMI messages and service from `proto/gnmi.proto`.

fn main() -> Result<(), Box<dyn std::error::Error>> {
    println!("cargo::rerun-if-changed=proto/gnmi.proto");
    let files = protox::compile(["gnmi.proto"], ["proto"])?;
    tonic_prost_build::configure().compile_fds(files)?;
    Ok(())
}
