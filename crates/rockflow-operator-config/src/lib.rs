//! Parses the operator's configuration file; `deploy/rockflow.ini` is a commented example. The format is INI,
//! in layers: a later file overrides an earlier one key by key. Each error names its file, line, section and
//! key, and what is allowed there. If a section is absent, the part of the program that it configures does
//! not run.

mod dissemination;
mod error;
mod layers;
mod management;
mod overrides;
mod reader;
mod sections;

pub use dissemination::{MAX_CONTROL_NODES, MAX_SEEDS};
pub use error::ConfigError;
pub use layers::{Layer, MAX_LAYER_BYTES};
pub use overrides::{parse_overrides, AdministrativeState, MAX_OVERRIDES};
pub use sections::{
    ControlNode, ControlSection, DisseminationSection, GnmiSection, ManagementSection, NetconfSection,
    OperatorConfig, RestartFrom, TlsSection,
};

use reader::Reader;

/// Maximum length of the name of a cluster, a control node or an endpoint, in bytes.
pub const MAX_NAME_BYTES: usize = 128;

/// Parses the layers and merges them; a later layer overrides an earlier one key by key.
///
/// # Errors
/// Returns all errors of all layers, sorted by file and line.
pub fn parse(layers: &[Layer]) -> Result<OperatorConfig, Vec<ConfigError>> {
    let mut reader = Reader::new(layers::merge(layers));
    let config = OperatorConfig {
        management: reader.read_management(),
        netconf: reader.read_netconf(),
        gnmi: reader.read_gnmi(),
        dissemination: reader.read_dissemination(),
        control: reader.read_control(),
    };
    let server = match &config {
        OperatorConfig { netconf: Some(_), .. } => Some("netconf"),
        OperatorConfig { gnmi: Some(_), .. } => Some("gnmi"),
        _ => None,
    };
    if let Some(server) = server.filter(|_| !reader.has_section("management")) {
        reader.report_section(server, "needs a section [management] with an owner");
    }
    reader.finish(config)
}
