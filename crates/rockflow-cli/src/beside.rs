//! What is served beside the queries, by the operator's file. A program built without the feature `management`
//! refuses such a file, so that nobody takes it for heeded.

use std::path::PathBuf;

/// Sets the log's level while running; none: as the program was started.
pub type SetLevel = Box<dyn Fn(Option<&str>) + Send + Sync>;

#[cfg(feature = "management")]
mod with {
    use super::SetLevel;
    use rockflow_agent::Agent;
    use rockflow_dispatcher::{Clock, Service, Told};
    use rockflow_operator::{file, OperatorFile};
    use std::path::PathBuf;

    #[derive(PartialEq)]
    pub struct Beside(OperatorFile);

    impl Beside {
        /// Every fault of the operator's file comes on a line of its own.
        pub fn read(paths: &[PathBuf]) -> Result<Beside, String> {
            let layer = |path: &PathBuf| {
                let text =
                    std::fs::read_to_string(path).map_err(|what| format!("{}: {what}", path.display()))?;
                Ok((path.display().to_string(), text))
            };
            let layers = paths.iter().map(layer).collect::<Result<Vec<_>, String>>()?;
            let read = file::read(&layers).map_err(|faults| {
                let faults: Vec<_> = faults.iter().map(ToString::to_string).collect();
                faults.join("\n")
            });
            read.map(Beside)
        }

        /// Whether all that it names can be used; what would listen, and where.
        pub fn check(&self) -> Result<Vec<String>, String> {
            Agent::check(&self.0)?;
            let netconf = self.0.netconf.iter();
            let netconf =
                netconf.flat_map(|part| part.ssh.into_iter().chain(part.tls.as_ref().map(|tls| tls.listen)));
            let gnmi = self.0.gnmi.iter().map(|part| format!("gnmi: at {}", part.tls.listen));
            Ok(netconf.map(|at| format!("netconf: at {at}")).chain(gnmi).collect())
        }

        /// Starts the service, and what is served beside it.
        pub fn start(&self, clock: Clock, told: Told, set_level: SetLevel) -> Result<Service, String> {
            let agent = Agent::open(clock, &self.0)?;
            Service::set_up();
            let marks = agent.as_ref().map(Agent::marks);
            let service =
                Service::start_marked(clock, told, marks).map_err(|what| format!("start: {what}"))?;
            if let Some(agent) = agent {
                agent.run(service.link(), set_level).map_err(|what| format!("management: {what}"))?;
            }
            Ok(service)
        }
    }
}

#[cfg(not(feature = "management"))]
mod with {
    use super::SetLevel;
    use rockflow_dispatcher::{Clock, Service, Told};
    use std::path::PathBuf;

    #[derive(PartialEq)]
    pub struct Beside;

    impl Beside {
        pub fn read(paths: &[PathBuf]) -> Result<Beside, String> {
            match paths.first() {
                None => Ok(Beside),
                Some(path) => Err(format!(
                    "{}: this program is built without management (cargo build --release --features management)",
                    path.display()
                )),
            }
        }

        pub fn check(&self) -> Result<Vec<String>, String> {
            Ok(Vec::new())
        }

        pub fn start(&self, clock: Clock, told: Told, _: SetLevel) -> Result<Service, String> {
            Service::set_up();
            Service::start_marked(clock, told, None).map_err(|what| format!("start: {what}"))
        }
    }
}

pub use with::Beside;

/// Where the operator's file is.
#[derive(clap::Args)]
pub struct Files {
    /// The operator's own file, as INI; given again, a later one holds over an earlier one key by key
    #[arg(long, env = "ROCKFLOW_OPERATOR", value_delimiter = ':')]
    pub operator: Vec<PathBuf>,
}
