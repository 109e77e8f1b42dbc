//! The bench's program.

#![forbid(unsafe_code)]

fn main() {
    cowsliproad_bench::experiment::main();
}
