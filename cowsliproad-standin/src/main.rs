//! One stand-in as a process: `cowsliproad-standin KIND --listen ADDRESS`.

#![forbid(unsafe_code)]

use std::{net::SocketAddr, time::Duration};

use clap::{Arg, Command, value_parser};
use cowsliproad_standin::{engine, log, plain, vms};

fn main() {
    let matches = command().get_matches();
    let address = *matches
        .get_one::<SocketAddr>("listen")
        .expect("the argument is required");
    let kind = matches
        .get_one::<String>("kind")
        .expect("the argument is required")
        .clone();
    let service = matches.get_one::<u64>("service-us").copied();
    let runtime = tokio::runtime::Runtime::new().expect("a runtime starts");
    let outcome = runtime.block_on(run(&kind, address, service));
    if let Err(error) = outcome {
        eprintln!("can't listen on {address}: {error}");
        std::process::exit(1);
    }
}

async fn run(
    kind: &str,
    address: SocketAddr,
    service: Option<u64>,
) -> std::io::Result<()> {
    match kind {
        "engine" => {
            let mut config = engine::Config::new();
            config.first_us = service.unwrap_or(config.first_us);
            engine::start(address, config).await?;
        }
        "plain" => {
            let mut config = plain::Config::new();
            config.service_us = service.unwrap_or(config.service_us);
            plain::start(address, config).await?;
        }
        "log" => {
            log::start(address).await?;
        }
        _ => {
            vms::start(address, Duration::from_millis(500)).await?;
        }
    }
    tokio::signal::ctrl_c().await
}

fn command() -> Command {
    Command::new("cowsliproad-standin")
        .about("A small stand-in for a part of the platform")
        .arg(
            Arg::new("kind")
                .required(true)
                .value_parser(["engine", "plain", "log", "vms"])
                .help("What it stands in for"),
        )
        .arg(
            Arg::new("listen")
                .long("listen")
                .required(true)
                .value_parser(value_parser!(SocketAddr))
                .help("IP address and port"),
        )
        .arg(
            Arg::new("service-us")
                .long("service-us")
                .value_parser(value_parser!(u64))
                .help("Time to the first token or the answer"),
        )
}
