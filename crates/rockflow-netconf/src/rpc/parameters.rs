//! Parsing of parameters that several operations have.

use crate::xml::Element;
use rockflow_management::{Datastore, ErrorTag, ManagementError};
use std::fmt::Display;
use std::time::Duration;

/// Returns the error for a missing element.
pub(super) fn missing(name: &str) -> ManagementError {
    ManagementError::new(ErrorTag::MissingElement, format!("{name} is missing")).with_element(name)
}

/// Returns the error for a value that is not allowed.
pub(super) fn invalid(message: impl Display) -> ManagementError {
    ManagementError::new(ErrorTag::InvalidValue, message.to_string())
}

/// Parses the datastore in an element such as `<target>`, whose name is `name`.
pub(super) fn datastore(operation: &Element, name: &str) -> Result<Datastore, ManagementError> {
    let holder = operation.child(name).ok_or_else(|| missing(name))?;
    let inner = holder.children.first().ok_or_else(|| missing(name))?;
    match inner.name.as_str() {
        "running" => Ok(Datastore::Running),
        "candidate" => Ok(Datastore::Candidate),
        "startup" => Ok(Datastore::Startup),
        other => {
            let message = format!("{other}: not a datastore here");
            Err(ManagementError::new(ErrorTag::OperationNotSupported, message).with_element(other))
        }
    }
}

/// Parses the identity in `<datastore>` (RFC 8342). Returns `None` for the operational datastore.
pub(super) fn datastore_by_identity(operation: &Element) -> Result<Option<Datastore>, ManagementError> {
    let name = operation.text_of("datastore").ok_or_else(|| missing("datastore"))?;
    match name.split_once(':').map_or(name, |(_, name)| name) {
        "running" | "intended" => Ok(Some(Datastore::Running)),
        "candidate" => Ok(Some(Datastore::Candidate)),
        "startup" => Ok(Some(Datastore::Startup)),
        "operational" => Ok(None),
        other => Err(invalid(format!("{other}: not a datastore here")).with_element("datastore")),
    }
}

/// Parses an optional element with a number of seconds, which must be above zero.
pub(super) fn seconds(operation: &Element, name: &str) -> Result<Option<Duration>, ManagementError> {
    let Some(text) = operation.text_of(name) else { return Ok(None) };
    let number = text.parse::<u32>().ok().filter(|number| *number > 0);
    let number = number.ok_or_else(|| invalid(format!("{name}: {text:?} is no number of seconds")))?;
    Ok(Some(Duration::from_secs(number.into())))
}

/// Parses an optional element with a duration in hundredths of a second (RFC 8641, section 5).
pub(super) fn hundredths(holder: &Element, name: &str) -> Result<Option<Duration>, ManagementError> {
    let Some(text) = holder.text_of(name) else { return Ok(None) };
    match text.parse::<u32>() {
        Ok(hundredths) => Ok(Some(Duration::from_millis(u64::from(hundredths) * 10))),
        Err(_) => Err(invalid(format!("{name} is no number")).with_element(name)),
    }
}
