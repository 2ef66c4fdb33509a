#[cfg_attr(not(any(feature = "dissemination", feature = "management")), path = "no_beside.rs")]
mod beside;
#[cfg(feature = "dissemination")]
mod control;
mod log;
#[cfg(feature = "management")]
mod manage;

use beside::{Beside, Files};
use clap::{CommandFactory, Parser, Subcommand};
use rockflow_dispatcher::{Clock, Config, Service};
use signal_hook::consts::{SIGHUP, SIGINT, SIGTERM};
use signal_hook::iterator::Signals;
use std::fmt::Display;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::ExitCode;
use tracing_appender::non_blocking::{NonBlockingBuilder, WorkerGuard};
use tracing_subscriber::filter::LevelFilter;
use tracing_subscriber::layer::SubscriberExt;
use tracing_subscriber::util::SubscriberInitExt;
use tracing_subscriber::{fmt, registry, reload, Registry};

/// Lines that may wait for whoever reads the log; more are dropped.
const MAX_LOG_LINES: usize = 4096;

/// Decides where objects are served, kept and filled from, and serves them.
#[derive(Parser)]
#[command(name = "rockflow")]
struct Line {
    #[command(subcommand)]
    command: Command,
}

#[derive(Subcommand)]
enum Command {
    /// Run a dispatcher until SIGTERM or SIGINT; SIGHUP has it read its configuration again
    Serve {
        #[command(flatten)]
        told: Source,
        /// The least level of log lines: error, warn, info, debug
        #[arg(long, default_value = "info")]
        log: tracing::Level,
    },
    /// Run a control process until SIGTERM or SIGINT; SIGHUP has it read its directory and marks again
    #[cfg(feature = "dissemination")]
    Control {
        #[command(flatten)]
        told: Source,
        /// Say whether it can start, in place of starting
        #[arg(long)]
        check: bool,
        /// The least level of log lines: error, warn, info, debug
        #[arg(long, default_value = "info")]
        log: tracing::Level,
    },
    /// Print the version
    Version,
    /// Read a configuration and say whether a dispatcher can start with it
    Check {
        #[command(flatten)]
        told: Source,
    },
    /// Read and change a running dispatcher over NETCONF or gNMI
    #[cfg(feature = "management")]
    Manage(Box<manage::Line>),
    /// Print what a shell needs to complete these commands
    Completion { shell: clap_complete::Shell },
}

/// Where a dispatcher finds what it is told.
#[derive(clap::Args)]
struct Source {
    /// The configuration, as JSON
    #[arg(long, env = "GW_CONFIG")]
    config: PathBuf,
    /// The address to listen on, in place of the configuration's
    #[arg(long, env = "GW_LISTEN")]
    listen: Option<SocketAddr>,
    /// The dispatcher's name, in place of the configuration's
    #[arg(long, env = "GW_NAME")]
    name: Option<String>,
    #[command(flatten)]
    files: Files,
}

fn main() -> ExitCode {
    let result = match Line::parse().command {
        Command::Serve { told, log } => serve(&told, log),
        Command::Check { told } => check(&told),
        #[cfg(feature = "dissemination")]
        Command::Control { told, check, log } => control(&told, check, log),
        #[cfg(feature = "management")]
        Command::Manage(line) => return manage::run(&line),
        Command::Completion { shell } => {
            clap_complete::generate(shell, &mut Line::command(), "rockflow", &mut std::io::stdout());
            Ok(())
        }
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

impl Source {
    fn read(&self) -> Result<Config, String> {
        let fault = |what: &dyn Display| format!("{}: {what}", self.config.display());
        let text = std::fs::read_to_string(&self.config).map_err(|what| fault(&what))?;
        let mut told = Config::parse(&text).map_err(|what| fault(&what.to_string()))?;
        told.listen = self.listen.unwrap_or(told.listen);
        told.name = self.name.clone().unwrap_or(told.name);
        Ok(told)
    }

    fn beside(&self) -> Result<Beside, String> {
        Beside::read(&self.files.operator)
    }
}

/// Reads both files, and all that the operator's file names, as a start would.
fn check(source: &Source) -> Result<(), String> {
    let told = source.read()?;
    let beside = source.beside()?.check(&told)?;
    println!("{}: ready to serve at {}", told.name, told.listen);
    beside.iter().for_each(|line| println!("{line}"));
    Ok(())
}

/// Asked for before anything else: a stop during the start is kept till the start is done.
fn signals() -> Result<Signals, String> {
    Signals::new([SIGTERM, SIGINT, SIGHUP]).map_err(|what| format!("signals: {what}"))
}

/// Writes the log from a thread of its own, so that no coroutine waits for whoever reads it; ends with what is returned.
fn log_to_stderr(level: tracing::Level) -> (WorkerGuard, reload::Handle<LevelFilter, Registry>) {
    let log = NonBlockingBuilder::default().buffered_lines_limit(MAX_LOG_LINES);
    let (log, guard) = log.finish(std::io::stderr());
    let log = log::Bounded::new(log, log::MAX_LINES);
    let (filter, level_of) = reload::Layer::new(LevelFilter::from_level(level));
    registry().with(filter).with(fmt::layer().with_writer(log).with_ansi(false)).init();
    (guard, level_of)
}

#[cfg(feature = "dissemination")]
fn control(source: &Source, check: bool, level: tracing::Level) -> Result<(), String> {
    if check {
        let inputs = control::ControlInputs::read(source)?;
        inputs.summary().iter().for_each(|line| println!("{line}"));
        return Ok(());
    }
    let mut signals = signals()?;
    let _log = log_to_stderr(level);
    Ok(control::run(source, &mut signals)?)
}

fn serve(source: &Source, level: tracing::Level) -> Result<(), String> {
    let mut signals = signals()?;
    let (_log, level_of) = log_to_stderr(level);
    let told = source.read()?;
    let beside = source.beside()?;
    let set_level = move |word: Option<&str>| {
        let told = word.and_then(|word| word.parse().ok()).unwrap_or(level);
        let _ = level_of.modify(|filter| *filter = LevelFilter::from_level(told));
    };
    let (mut service, _carried) = beside.start(Clock::start(), told, Box::new(set_level))?;
    let read_again = |service: &mut Service| {
        match source.read() {
            Ok(told) => service.reload(&told),
            Err(what) => tracing::error!(what, "configuration not taken; the old one stays in force"),
        }
        match source.beside() {
            Ok(read) if read == beside => {}
            Ok(_) => tracing::warn!("the operator's file has changed; that takes a restart"),
            Err(what) => tracing::error!(what, "operator's file not taken; the old one stays in force"),
        }
    };
    for _ in signals.forever().take_while(|signal| *signal == SIGHUP) {
        read_again(&mut service);
    }
    service.stop_with(|service| {
        if signals.pending().any(|signal| signal == SIGHUP) {
            read_again(service);
        }
    });
    Ok(())
}
