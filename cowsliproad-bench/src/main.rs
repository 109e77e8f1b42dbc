//! The bench's program.

#![forbid(unsafe_code)]

use mimalloc::MiMalloc;

#[global_allocator]
static ALLOCATOR: MiMalloc = MiMalloc;

fn main() {
    cowsliproad_bench::experiment::main();
}
