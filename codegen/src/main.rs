//! Generates the Rust code of `proto/admin.proto`.
//!
//! Run `cargo run -p codegen` after changing the schema and commit the
//! output. `.ci/run` runs it and fails when the output differs.

fn main() {
    let root = concat!(env!("CARGO_MANIFEST_DIR"), "/..");
    volo_build::Builder::protobuf()
        .add_service(format!("{root}/proto/admin.proto"))
        .include_dirs(vec![format!("{root}/proto").into()])
        .out_dir(format!("{root}/cowsliproad-admin/gen"))
        .filename("admin.rs".into())
        .write()
        .expect("proto/admin.proto generates");
}
