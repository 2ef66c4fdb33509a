//! In place of all that runs beside the requests where the program is built with none of it: an operator's file is refused,
//! so that nobody takes it for heeded.

use rockflow_dispatcher::{Clock, Config, Service};
use std::path::PathBuf;

/// Sets the log's level while running; none: as the program was started.
pub type SetLevel = Box<dyn Fn(Option<&str>) + Send + Sync>;

#[derive(PartialEq)]
pub struct Beside;

impl Beside {
    pub fn read(paths: &[PathBuf]) -> Result<Beside, String> {
        match paths.first() {
            None => Ok(Beside),
            Some(path) => Err(format!(
                "{}: this program is built without management and dissemination (cargo build --release --features \
                 management,dissemination)",
                path.display()
            )),
        }
    }

    pub fn check(&self, _: &Config) -> Result<Vec<String>, String> {
        Ok(Vec::new())
    }

    pub fn start(&self, clock: Clock, told: Config, _: SetLevel) -> Result<(Service, ()), String> {
        Service::set_up();
        let service =
            Service::start_with_overrides(clock, told, None).map_err(|what| format!("start: {what}"))?;
        Ok((service, ()))
    }
}

/// Where the operator's file is.
#[derive(clap::Args)]
pub struct Files {
    /// The operator's own file, as INI; given again, a later one holds over an earlier one key by key
    #[arg(long, env = "ROCKFLOW_OPERATOR", value_delimiter = ':')]
    pub operator: Vec<PathBuf>,
}
