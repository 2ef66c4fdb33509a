use clap::{Parser, Subcommand};
use rockflow_dispatcher::{Service, Told};
use std::path::PathBuf;
use std::process::ExitCode;

/// Decides where objects are served, kept and filled from, and serves them.
#[derive(Parser)]
#[command(name = "rockflow")]
struct Line {
    #[command(subcommand)]
    command: Command,
}

#[derive(Subcommand)]
enum Command {
    /// Run a dispatcher until SIGTERM
    Serve {
        /// The configuration, as JSON
        #[arg(long, env = "GW_CONFIG")]
        config: PathBuf,
    },
    /// Print the version
    Version,
    /// Read a configuration and say whether a dispatcher can start with it
    Check {
        /// The configuration, as JSON
        #[arg(long, env = "GW_CONFIG")]
        config: PathBuf,
    },
}

fn main() -> ExitCode {
    let result = match Line::parse().command {
        Command::Serve { config } => serve(&config),
        Command::Check { config } => read(&config).map(|told| println!("{}: ready to serve", told.name)),
        Command::Version => {
            println!("rockflow {}", env!("CARGO_PKG_VERSION"));
            Ok(())
        }
    };
    match result {
        Ok(()) => ExitCode::SUCCESS,
        Err(what) => {
            eprintln!("rockflow: {what}");
            ExitCode::FAILURE
        }
    }
}

fn read(config: &PathBuf) -> Result<Told, String> {
    let fault = |what: &dyn std::fmt::Display| format!("{}: {what}", config.display());
    let text = std::fs::read_to_string(config).map_err(|what| fault(&what))?;
    Told::read(&text).map_err(|what| fault(&what))
}

fn serve(config: &PathBuf) -> Result<(), String> {
    let (log, _guard) = tracing_appender::non_blocking(std::io::stderr());
    tracing_subscriber::fmt().with_writer(log).with_ansi(false).init();
    let mut signals = signal_hook::iterator::Signals::new([signal_hook::consts::SIGTERM])
        .map_err(|what| format!("signals: {what}"))?;
    let told = read(config)?;
    Service::set_up();
    let mut service = Service::start(told).map_err(|what| format!("start: {what}"))?;
    signals.forever().next();
    service.stop();
    Ok(())
}
