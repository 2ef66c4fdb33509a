//! The inputs of a control process: its configuration, the directory of members, and the operators' overrides.

use super::overrides::HostOverrides;
use super::ControlError;
use crate::Source;
use rockflow_dispatcher::Config;
use rockflow_dissemination::Directory;
use rockflow_operator_config::{parse_overrides, ControlSection, DisseminationSection};
use std::path::Path;

/// The inputs of a control process, each checked on its own and against the others.
pub struct ControlInputs {
    pub(super) config: Config,
    /// The section `[dissemination]` of the operator's file.
    pub(super) dissemination: DisseminationSection,
    /// The section `[control]` of the operator's file: the paths of the directory and of the overrides.
    pub(super) files: ControlSection,
    pub(super) directory: Directory,
    pub(super) overrides: HostOverrides,
}

impl ControlInputs {
    /// Reads and checks all inputs; the first error ends it.
    pub fn read(source: &Source) -> Result<ControlInputs, ControlError> {
        let config = source.read().map_err(|error| ControlError::Configuration(error.to_string()))?;
        let extensions =
            source.read_extensions().map_err(|error| ControlError::Configuration(error.to_string()))?;
        let file = extensions.file();
        let dissemination =
            file.dissemination.clone().ok_or(ControlError::MissingSection("dissemination"))?;
        let files = file.control.clone().ok_or(ControlError::MissingSection("control"))?;
        check_own_address(&config.name, &dissemination)?;
        let directory = read_directory(&files.directory, &dissemination)?;
        let overrides = read_overrides(files.overrides.as_deref())?;
        Ok(ControlInputs { config, dissemination, files, directory, overrides })
    }

    /// The lines that `rockflow control --check` prints.
    pub fn summary(&self) -> Vec<String> {
        let (name, listen) = (&self.config.name, self.dissemination.listen);
        let (members, version) = (self.directory.members.len(), self.directory.version);
        vec![
            format!("{name}: ready to control at {listen}"),
            format!("directory {version}: {members} members"),
            format!("marks: {}", self.overrides.len()),
        ]
    }
}

/// Checks that the process listens at the address at which the section lists it. In a trusted network the two may
/// differ, as addresses may be translated on the way.
fn check_own_address(name: &str, section: &DisseminationSection) -> Result<(), ControlError> {
    let own_entry = section.control.iter().find(|control| control.name == name);
    let own_entry = own_entry.ok_or_else(|| ControlError::NotListed { name: name.to_owned() })?;
    let listens_there = section.listen.ip().is_unspecified() || section.listen == own_entry.address;
    if listens_there || section.trusted_network {
        return Ok(());
    }
    Err(ControlError::ListenMismatch {
        listen: section.listen,
        address: own_entry.address,
        name: name.to_owned(),
    })
}

/// Reads the directory of members. Unless the section declares a trusted network, all addresses have to be loopback.
pub(super) fn read_directory(path: &Path, section: &DisseminationSection) -> Result<Directory, ControlError> {
    let directory = Directory::parse(&read_file(path)?)
        .map_err(|source| ControlError::Directory { path: path.to_owned(), source })?;
    let beyond_loopback = directory.members.iter().find(|member| !member.address.ip().is_loopback());
    match beyond_loopback {
        Some(member) if !section.trusted_network => Err(ControlError::OutsideLoopback {
            path: path.to_owned(),
            name: member.name.clone(),
            address: member.address,
        }),
        _ => Ok(directory),
    }
}

/// Reads the operators' overrides. Without a path there are none.
pub(super) fn read_overrides(path: Option<&Path>) -> Result<HostOverrides, ControlError> {
    let Some(path) = path else { return Ok(HostOverrides::new()) };
    parse_overrides(&path.display().to_string(), &read_file(path)?).map_err(|errors| {
        let lines: Vec<String> = errors.iter().map(ToString::to_string).collect();
        ControlError::Overrides(lines.join("\n"))
    })
}

fn read_file(path: &Path) -> Result<String, ControlError> {
    std::fs::read_to_string(path).map_err(|source| ControlError::Read { path: path.to_owned(), source })
}
