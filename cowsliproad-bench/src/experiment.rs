//! The experiments, each a plug-in and a subcommand.

pub mod config;
pub mod demo;
pub mod faults;
pub mod limits;
pub mod outage;
pub mod overhead;
pub mod overload;
pub mod pace;
pub mod placement;
pub mod prompt_parts;
pub mod quarantine;
pub mod retry_budget;
pub mod routing;
pub mod slopes;
pub mod switch;

use std::{collections::BTreeMap, fs, process};

use clap::{Arg, ArgAction, ArgMatches, Command, value_parser};
use cowsliproad_kernel::{
    log::Level,
    plugin::{self, inventory},
};
use rand::{Rng, rngs::StdRng};
use serde_json::Value;

/// An experiment.
#[derive(Clone, Copy, Debug)]
pub struct Plugin {
    /// The subcommand.
    pub name: &'static str,
    /// What it measures.
    pub about: &'static str,
    /// Runs it.
    pub start: fn(Options) -> Outcome,
}

inventory::collect!(Plugin);

impl plugin::Plugin for Plugin {
    fn name(&self) -> &'static str {
        self.name
    }

    fn description(&self) -> &'static str {
        self.about
    }
}

/// How an experiment is run.
#[derive(Clone, Copy, Debug)]
pub struct Options {
    /// The seed of everything random that the experiment decides.
    pub seed: u64,
    /// Whether it runs in full.
    pub extent: Extent,
    /// What follows its end.
    pub ending: Ending,
    /// How its result is written.
    pub output: Output,
    /// How much its nodes log.
    pub log: Level,
}

/// Whether an experiment runs in full.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Extent {
    /// The size that figures are quoted from.
    Full,
    /// A smaller one that shows that it works.
    Quick,
}

impl Extent {
    /// The sizes to play, of which the first is the quick one.
    pub fn sizes<T>(self, all: &[T]) -> &[T] {
        match self {
            Extent::Full => all,
            Extent::Quick => &all[..1],
        }
    }
}

/// What follows an experiment's end.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Ending {
    /// Everything is taken down.
    TakeDown,
    /// The plant stays up until SIGINT.
    Hold,
}

/// How a result is written.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Output {
    /// For people.
    Table,
    /// One JSON object on the last line.
    Json,
}

/// What an experiment found.
#[derive(Clone, Debug)]
pub struct Outcome {
    /// Its figures.
    pub figures: Value,
    /// Its table for people.
    pub table: String,
    /// Promises that were broken.
    pub broken: Vec<String>,
    /// A plot as SVG, where the experiment draws one.
    pub plot: Option<String>,
}

impl Outcome {
    /// An outcome without broken promises.
    pub fn new(figures: Value) -> Outcome {
        let (table, broken) = (String::new(), Vec::new());
        Outcome { figures, table, broken, plot: None }
    }

    /// Adds a table for people.
    pub fn with_table(self, table: String) -> Outcome {
        Outcome { table, ..self }
    }

    /// Adds broken promises.
    pub fn with_broken(self, broken: Vec<String>) -> Outcome {
        Outcome { broken, ..self }
    }

    /// Adds a plot.
    pub fn with_plot(self, plot: String) -> Outcome {
        Outcome { plot: Some(plot), ..self }
    }

    /// The outcome of an experiment that could not be run.
    pub fn failed(why: &str) -> Outcome {
        let broken = vec![format!("the experiment did not run: {why}")];
        Outcome::new(Value::Null).with_broken(broken)
    }
}

/// Runs the experiment that the command line names.
pub fn main() {
    let matches = command().get_matches();
    let Some((name, args)) = matches.subcommand() else { return };
    let Some(plugin) = plugin::find_plugin::<Plugin>(name) else { return };
    let options = options(args);
    let mut outcome = (plugin.start)(options);
    if let Some(path) = args.get_one::<String>("plot") {
        let plot = outcome.plot.take();
        let plot = plot.ok_or("this experiment draws none".to_string());
        let written = plot.and_then(|svg| {
            fs::write(path, svg).map_err(|error| error.to_string())
        });
        if let Err(why) = written {
            outcome.broken.push(format!("no plot in {path}: {why}"));
        }
    }
    for promise in &outcome.broken {
        eprintln!("broken: {promise}");
    }
    match options.output {
        Output::Json => println!("{}", outcome.figures),
        Output::Table if outcome.table.is_empty() => print_lines(&outcome),
        Output::Table => print!("{}", outcome.table),
    }
    if !outcome.broken.is_empty() {
        process::exit(1);
    }
}

/// Runs an asynchronous experiment on a runtime of its own.
pub fn block_on(
    run: impl Future<Output = std::io::Result<Outcome>>,
) -> Outcome {
    let runtime = match tokio::runtime::Runtime::new() {
        Ok(runtime) => runtime,
        Err(error) => return Outcome::failed(&error.to_string()),
    };
    let outcome = runtime.block_on(run);
    runtime.shutdown_background();
    outcome.unwrap_or_else(|error| Outcome::failed(&error.to_string()))
}

/// A draw from a lognormal distribution with a median and a spread of the
/// logarithm, cut at a most.
fn lognormal(
    (median, spread, most): (f64, f64, f64),
    random: &mut StdRng,
) -> f64 {
    let (a, b): (f64, f64) = (random.random(), random.random());
    let radius = (-2.0 * (1.0 - a).ln()).sqrt();
    let normal = radius * (std::f64::consts::TAU * b).cos();
    (median * (spread * normal).exp()).min(most)
}

fn print_lines(outcome: &Outcome) {
    let Value::Object(fields) = &outcome.figures else { return };
    let fields: BTreeMap<_, _> = fields.iter().collect();
    for (name, value) in fields {
        println!("{name:<28} {value}");
    }
}

fn options(args: &ArgMatches) -> Options {
    let flag = |name| args.get_flag(name);
    Options {
        seed: args.get_one::<u64>("seed").copied().unwrap_or(1),
        extent: if flag("quick") { Extent::Quick } else { Extent::Full },
        ending: if flag("hold") { Ending::Hold } else { Ending::TakeDown },
        output: if flag("json") { Output::Json } else { Output::Table },
        log: match args.get_one::<String>("log").map(String::as_str) {
            Some("error") => Level::Error,
            Some("info") => Level::Info,
            Some("debug") => Level::Debug,
            _ => Level::Off,
        },
    }
}

fn command() -> Command {
    let experiments =
        plugin::all_plugins::<Plugin>().into_iter().map(|plugin| {
            Command::new(plugin.name).about(plugin.about).args([
                flag("json", "Print one JSON object as the last line"),
                flag("quick", "Run a smaller size"),
                flag("hold", "Keep the plant up until SIGINT (demo)"),
                Arg::new("log")
                    .long("log")
                    .value_parser(["off", "error", "info", "debug"])
                    .default_value("off")
                    .help("How much the nodes log on standard error"),
                Arg::new("plot")
                    .long("plot")
                    .value_name("FILE")
                    .help("Write a plot as SVG (pace)"),
                Arg::new("seed")
                    .long("seed")
                    .value_parser(value_parser!(u64))
                    .default_value("1")
                    .help("The seed of what the experiment draws"),
            ])
        });
    Command::new("cowsliproad-bench")
        .about("Load, faults and experiments")
        .version(env!("CARGO_PKG_VERSION"))
        .subcommand_required(true)
        .subcommands(experiments)
}

fn flag(name: &'static str, help: &'static str) -> Arg {
    Arg::new(name).long(name).action(ArgAction::SetTrue).help(help)
}
