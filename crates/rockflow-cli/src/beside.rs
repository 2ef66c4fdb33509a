//! What runs beside the requests, by the operator's file: management, and dissemination. A program that is built without
//! one of them refuses a file with its sections, so that nobody takes it for heeded.

#[cfg_attr(not(feature = "dissemination"), path = "beside/no_dissemination.rs")]
pub mod dissemination;
#[cfg_attr(not(feature = "management"), path = "beside/no_management.rs")]
mod management;

use dissemination::RunningNode;
use rockflow_dispatcher::{Clock, Config, Service};
use rockflow_operator_config::{self as file, OperatorConfig};
use std::path::PathBuf;

/// Sets the log's level while running; none: as the program was started.
pub type SetLevel = Box<dyn Fn(Option<&str>) + Send + Sync>;

#[derive(PartialEq)]
pub struct Beside(OperatorConfig);

impl Beside {
    /// Every fault of the operator's file comes on a line of its own.
    pub fn read(paths: &[PathBuf]) -> Result<Beside, String> {
        let layer = |path: &PathBuf| {
            let text = std::fs::read_to_string(path).map_err(|what| format!("{}: {what}", path.display()))?;
            Ok(file::Layer { file: path.display().to_string(), text })
        };
        let layers = paths.iter().map(layer).collect::<Result<Vec<_>, String>>()?;
        let read = file::parse(&layers).map_err(|faults| {
            let faults: Vec<_> = faults.iter().map(ToString::to_string).collect();
            faults.join("\n")
        })?;
        let names: Vec<_> = paths.iter().map(|path| path.display().to_string()).collect();
        let unbuilt = |what: &str, feature: &str| {
            let build = format!("cargo build --release --features {feature}");
            Err(format!("{}: this program is built without {what} ({build})", names.join(", ")))
        };
        if !management::BUILT && (read.management.is_some() || read.netconf.is_some() || read.gnmi.is_some())
        {
            return unbuilt("management", "management");
        }
        if !dissemination::BUILT && read.dissemination.is_some() {
            return unbuilt("dissemination", "dissemination");
        }
        Ok(Beside(read))
    }

    #[cfg(feature = "dissemination")]
    pub fn file(&self) -> &OperatorConfig {
        &self.0
    }

    /// Whether all that it names can be used with this configuration; what would listen, and where.
    pub fn check(&self, told: &Config) -> Result<Vec<String>, String> {
        let mut lines = management::check(&self.0)?;
        lines.extend(dissemination::check(&self.0, told)?);
        Ok(lines)
    }

    /// Starts the service, and what runs beside it.
    pub fn start(
        &self,
        clock: Clock,
        told: Config,
        set_level: SetLevel,
    ) -> Result<(Service, Option<RunningNode>), String> {
        let plan = dissemination::plan(&self.0, &told)?;
        let opened = management::open(clock, &self.0)?;
        Service::set_up();
        // Whoever can mark needs a list that marks are merged into.
        let marks = opened.marks().or_else(|| plan.is_some().then(Default::default));
        let service =
            Service::start_with_overrides(clock, told, marks).map_err(|what| format!("start: {what}"))?;
        opened.run(&service, set_level)?;
        let carried = plan.map(|plan| dissemination::serve(plan, service.handle())).transpose()?;
        Ok((service, carried))
    }
}

/// Where the operator's file is.
#[derive(clap::Args)]
pub struct Files {
    /// The operator's own file, as INI; given again, a later one holds over an earlier one key by key
    #[arg(long, env = "ROCKFLOW_OPERATOR", value_delimiter = ':')]
    pub operator: Vec<PathBuf>,
}
