//! `mastbay-stand-in`: simulated dependencies of the fleet for tests and the demo: the platform, a
//! model engine and a plain service, with faults that can be injected over HTTP.

use argh::FromArgs;
use derive_more::{Display, Error};
use mastbay_web::{BindError, Server, ServerConfig};
use std::fs::File;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::ExitCode;
use std::time::Duration;

mod application;
mod engine;
mod generation;
mod platform;
mod reply;
mod store;

/// Simulated dependencies of the fleet, for tests and the demo.
#[derive(FromArgs)]
struct Arguments {
    #[argh(subcommand)]
    role: Role,
}

#[derive(FromArgs)]
#[argh(subcommand)]
enum Role {
    Platform(PlatformArguments),
    Engine(EngineArguments),
    Application(ApplicationArguments),
}

/// The platform: object API and machine list.
#[derive(FromArgs)]
#[argh(subcommand, name = "platform")]
struct PlatformArguments {
    /// address to listen on
    #[argh(option)]
    address: SocketAddr,
    /// writes allowed each second
    #[argh(option, default = "100")]
    writes_per_second: u32,
    /// reads allowed each second, watches included
    #[argh(option, default = "2000")]
    reads_per_second: u32,
    /// milliseconds by which the machine list is delayed
    #[argh(option, default = "0")]
    machine_lag_ms: u64,
}

/// A model engine.
#[derive(FromArgs)]
#[argh(subcommand, name = "engine")]
struct EngineArguments {
    /// address to listen on
    #[argh(option)]
    address: SocketAddr,
    /// sequences that run at a time
    #[argh(option, default = "8")]
    slots: usize,
    /// milliseconds for a step, in which each running sequence gets a token
    #[argh(option, default = "5")]
    step_ms: u64,
}

/// A plain service that records each run of each request.
#[derive(FromArgs)]
#[argh(subcommand, name = "application")]
struct ApplicationArguments {
    /// address to listen on
    #[argh(option)]
    address: SocketAddr,
    /// milliseconds that a request takes
    #[argh(option, default = "5")]
    work_ms: u64,
    /// file to which each run is appended
    #[argh(option)]
    record: Option<PathBuf>,
}

/// Errors that prevent a stand-in from starting.
#[derive(Debug, Display, Error)]
enum StartError {
    /// The address cannot be bound.
    #[display("{_0}")]
    Bind(BindError),
    /// The file of the record cannot be opened.
    #[display("the record cannot be opened: {_0}")]
    Record(std::io::Error),
}

fn main() -> ExitCode {
    let arguments: Arguments = argh::from_env();
    match smol::block_on(run(arguments.role)) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("{error}");
            ExitCode::FAILURE
        }
    }
}

async fn run(role: Role) -> Result<(), StartError> {
    match role {
        Role::Platform(arguments) => {
            let server = bind(arguments.address).await?;
            let limits = store::Limits {
                writes_per_second: arguments.writes_per_second,
                reads_per_second: arguments.reads_per_second,
            };
            let lag = Duration::from_millis(arguments.machine_lag_ms);
            platform::serve(server, limits, lag).await;
        }
        Role::Engine(arguments) => {
            let server = bind(arguments.address).await?;
            let step = Duration::from_millis(arguments.step_ms);
            engine::serve(server, arguments.slots, step).await;
        }
        Role::Application(arguments) => {
            let server = bind(arguments.address).await?;
            let record = arguments.record.map(open_record).transpose();
            let record = record.map_err(StartError::Record)?;
            application::serve(server, Duration::from_millis(arguments.work_ms), record).await;
        }
    }
    Ok(())
}

async fn bind(address: SocketAddr) -> Result<Server, StartError> {
    Server::bind(address, ServerConfig::default()).await.map_err(StartError::Bind)
}

fn open_record(path: PathBuf) -> std::io::Result<File> {
    File::options().create(true).append(true).open(path)
}
