//! Fake upstreams, platform and callers for masticfield.

use std::process::ExitCode;

use mimalloc::MiMalloc;

#[global_allocator]
static ALLOCATOR: MiMalloc = MiMalloc;

fn main() -> ExitCode {
    masticfield_fake::main()
}
