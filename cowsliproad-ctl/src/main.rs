//! The operators' program.

#![forbid(unsafe_code)]

use std::{fs, io::Write, net::SocketAddr, path::PathBuf, process};

use clap::{Arg, ArgAction, ArgMatches, Command, value_parser};
use cowsliproad_config::{
    ConfigObject,
    fold::VersionedObject,
    object::{DrainOrder, ObjectKey, ObjectKind},
};
use cowsliproad_ctl::{
    apply::{self, Difference, Others},
    client::{Client, Error, Mode},
    show,
};
use futures_util::StreamExt;
use serde_json::json;

/// The exit status of a change whose outcome is unknown.
const UNKNOWN: i32 = 3;

fn main() {
    let matches = command().get_matches();
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .expect("a runtime starts");
    if let Err(error) = runtime.block_on(run(&matches)) {
        eprintln!("cowsliproad-ctl: {error}");
        let unknown = matches!(
            &error,
            Error::Change { ran, .. }
                if *ran == cowsliproad_kernel::code::ExecutionStatus::OutcomeUnknown
        );
        process::exit(if unknown { UNKNOWN } else { 1 });
    }
}

async fn run(matches: &ArgMatches) -> Result<(), Error> {
    let address = *matches
        .get_one::<SocketAddr>("entry")
        .expect("the argument has a default");
    let client = Client::new(address);
    let output = match matches.get_flag("json") {
        true => Output::Json,
        false => Output::Table,
    };
    match matches.subcommand() {
        Some(("get", args)) => get(&client, args, output).await,
        Some(("list", args)) => list(&client, args, output).await,
        Some(("watch", _)) => watch(&client, output).await,
        Some(("status", _)) => status(&client, output).await,
        Some(("put", args)) => put(&client, args, output).await,
        Some(("delete", args)) => delete(&client, args, output).await,
        Some(("apply", args)) => apply_file(&client, args, output).await,
        Some(("drain", args)) => drain(&client, args, output).await,
        Some(("undrain", args)) => undrain(&client, args, output).await,
        Some(("hash-key", args)) => {
            let key = args.get_one::<String>("key").expect("it is required");
            say(&format!("{}\n", blake3::hash(key.as_bytes()).to_hex()));
            Ok(())
        }
        _ => unreachable!("clap demands a subcommand"),
    }
}

#[derive(Clone, Copy, Eq, PartialEq)]
enum Output {
    Table,
    Json,
}

async fn get(
    client: &Client,
    args: &ArgMatches,
    output: Output,
) -> Result<(), Error> {
    let found = client.get(&key(args)?).await?;
    match output {
        Output::Json => say(&format!("{}\n", show::object(&found))),
        Output::Table => say(&show::table(&[found])),
    }
    Ok(())
}

async fn list(
    client: &Client,
    args: &ArgMatches,
    output: Output,
) -> Result<(), Error> {
    let kind = args.get_one::<String>("kind");
    let kind = kind.map(|it| it.parse::<ObjectKind>().map_err(Error::Answer));
    let (next, objects) = client.list(kind.transpose()?).await?;
    print_list(next, &objects, output);
    Ok(())
}

async fn watch(client: &Client, output: Output) -> Result<(), Error> {
    let mut listings = Box::pin(client.watch().await?);
    while let Some(listing) = listings.next().await {
        let (next, objects) = listing?;
        print_list(next, &objects, output);
    }
    Ok(())
}

async fn status(client: &Client, output: Output) -> Result<(), Error> {
    let status = client.status().await?;
    match output {
        Output::Json => say(&format!("{}\n", show::status_json(&status))),
        Output::Table => say(&show::status(&status)),
    }
    Ok(())
}

async fn put(
    client: &Client,
    args: &ArgMatches,
    output: Output,
) -> Result<(), Error> {
    let objects = read(args)?;
    let (_, present) = client.list(None).await?;
    let found = apply::differences(&objects, &present, Others::Keep);
    make(client, &found, mode(args), output).await
}

async fn delete(
    client: &Client,
    args: &ArgMatches,
    output: Output,
) -> Result<(), Error> {
    let key = key(args)?;
    let present = client.get(&key).await?;
    let gone = Difference::Delete(present.revision, key);
    make(client, &[gone], mode(args), output).await
}

async fn apply_file(
    client: &Client,
    args: &ArgMatches,
    output: Output,
) -> Result<(), Error> {
    let objects = read(args)?;
    let (_, present) = client.list(None).await?;
    let others = match args.get_flag("prune") {
        true => Others::Prune,
        false => Others::Keep,
    };
    let found = apply::differences(&objects, &present, others);
    make(client, &found, mode(args), output).await
}

async fn drain(
    client: &Client,
    args: &ArgMatches,
    output: Output,
) -> Result<(), Error> {
    let target = args.get_one::<String>("target").expect("it is required");
    let object =
        ConfigObject::Drain(DrainOrder { target: target.as_str().into() });
    let order = Difference::Create(object);
    make(client, &[order], Mode::Commit, output).await
}

async fn undrain(
    client: &Client,
    args: &ArgMatches,
    output: Output,
) -> Result<(), Error> {
    let target = args.get_one::<String>("target").expect("it is required");
    let key = ObjectKey::new(ObjectKind::Drain, target);
    let present = client.get(&key).await?;
    let gone = Difference::Delete(present.revision, key);
    make(client, &[gone], Mode::Commit, output).await
}

async fn make(
    client: &Client,
    differences: &[Difference],
    mode: Mode,
    output: Output,
) -> Result<(), Error> {
    for difference in differences {
        if output == Output::Table {
            say(&format!("{difference}\n"));
        }
        let revision = apply::change(client, difference, mode).await?;
        match output {
            Output::Table => say(&format!("  accepted @{revision}\n")),
            Output::Json => {
                say(&format!("{}\n", json!({ "revision": revision })))
            }
        }
    }
    if differences.is_empty() && output == Output::Table {
        say("nothing to change\n");
    }
    Ok(())
}

fn print_list(next: u64, objects: &[VersionedObject], output: Output) {
    match output {
        Output::Json => say(&format!("{}\n", show::objects(next, objects))),
        Output::Table => {
            say(&show::table(objects));
            say(&format!("{} objects, offset {next}\n", objects.len()));
        }
    }
}

/// Writes to standard output. When nobody reads it any more, as behind
/// `head`, the rest has no use.
fn say(text: &str) {
    let mut out = std::io::stdout().lock();
    if out.write_all(text.as_bytes()).and_then(|()| out.flush()).is_err() {
        process::exit(0);
    }
}

fn key(args: &ArgMatches) -> Result<ObjectKey, Error> {
    let kind = args.get_one::<String>("kind").expect("it is required");
    let name = args.get_one::<String>("name").expect("it is required");
    Ok(ObjectKey::new(kind.parse().map_err(Error::Answer)?, name))
}

fn mode(args: &ArgMatches) -> Mode {
    if args.get_flag("dry-run") { Mode::DryRun } else { Mode::Commit }
}

fn read(args: &ArgMatches) -> Result<Vec<ConfigObject>, Error> {
    let path = args.get_one::<PathBuf>("file").expect("it is required");
    let bad =
        |why: String| Error::Answer(format!("{}: {why}", path.display()));
    let text = fs::read_to_string(path).map_err(|it| bad(it.to_string()))?;
    let mut json = serde_json::Deserializer::from_str(&text);
    serde_path_to_error::deserialize(&mut json)
        .map_err(|it| bad(format!("field {}: {}", it.path(), it.inner())))
}

fn command() -> Command {
    let kind = || Arg::new("kind").required(true).help("The object's kind");
    let name = || Arg::new("name").required(true).help("The object's name");
    let target = || Arg::new("target").required(true).help("The target");
    let file = || {
        Arg::new("file")
            .short('f')
            .long("file")
            .required(true)
            .value_parser(value_parser!(PathBuf))
            .help("A JSON list of objects")
    };
    let dry_run = || flag("dry-run", "Only tell what the verdict would be");
    Command::new("cowsliproad-ctl")
        .about("Drives cowsliproad through any entry")
        .version(env!("CARGO_PKG_VERSION"))
        .subcommand_required(true)
        .arg(
            Arg::new("entry")
                .long("entry")
                .default_value("127.0.0.1:8081")
                .value_parser(value_parser!(SocketAddr))
                .help("The operator address of an entry"),
        )
        .arg(flag("json", "Print JSON").global(true))
        .subcommand(
            Command::new("get")
                .about("Shows one object")
                .args([kind(), name()]),
        )
        .subcommand(
            Command::new("list")
                .about("Shows all objects, or those of one kind")
                .arg(Arg::new("kind").help("The kind")),
        )
        .subcommand(
            Command::new("put")
                .about("Creates or replaces objects")
                .args([file(), dry_run()]),
        )
        .subcommand(Command::new("delete").about("Removes an object").args([
            kind(),
            name(),
            dry_run(),
        ]))
        .subcommand(
            Command::new("apply")
                .about("Brings the configuration to what a file says")
                .args([
                    file(),
                    dry_run(),
                    flag("prune", "Delete what the file doesn't have"),
                ]),
        )
        .subcommand(
            Command::new("drain")
                .about("Gives a target no new work")
                .arg(target()),
        )
        .subcommand(
            Command::new("undrain")
                .about("Gives a drained target work again")
                .arg(target()),
        )
        .subcommand(Command::new("watch").about("Shows every change"))
        .subcommand(Command::new("status").about("Shows the targets"))
        .subcommand(
            Command::new("hash-key")
                .about("Hashes an organisation's key for its declaration")
                .arg(Arg::new("key").required(true).help("The key")),
        )
}

fn flag(name: &'static str, help: &'static str) -> Arg {
    Arg::new(name).long(name).action(ArgAction::SetTrue).help(help)
}
