//! The checks that a configuration has to pass before a commit puts it into force.

use crate::access::Access;
use crate::error::{ErrorTag, ManagementError};
use crate::overrides::administrative_overrides;
use rockflow_endpoints::{find_emptied_group, ListedEndpoint};
use rockflow_yang::{data, DataTree, Path, Schema};
use std::collections::BTreeMap;
use std::time::Duration;

/// The most values that a configuration may hold.
pub(crate) const MAX_VALUES: usize = 100_000;

/// Information from outside the datastores that the checks of a commit need.
#[derive(Clone, Debug, Default)]
pub struct ValidationContext {
    /// The endpoint list, by endpoint name. While the list is not known it is empty, and the check for the last
    /// endpoint in service refuses nothing.
    pub endpoints: BTreeMap<String, ListedEndpoint>,
}

/// Checks a configuration against the model, the access rules' syntax, the size limit, and the rule that overrides
/// must not take the last endpoint of a group out of service unless they force it.
pub(crate) fn validate(
    schema: &Schema,
    now: Duration,
    running: &DataTree,
    proposed: &DataTree,
    owner: Option<&str>,
    context: &ValidationContext,
) -> Result<(), ManagementError> {
    data::check_constraints(schema, proposed, &Path::default()).map_err(ManagementError::from)?;
    check_size(proposed)?;
    Access::compile(schema, proposed, owner.map(str::to_string))
        .map_err(|error| ManagementError::new(ErrorTag::InvalidValue, error.to_string()))?;
    let before = administrative_overrides(schema, running);
    let after = administrative_overrides(schema, proposed);
    if let Some(problem) = find_emptied_group(&context.endpoints, &before, &after, now) {
        let message = format!("{problem}; with force it is done all the same");
        return Err(ManagementError::new(ErrorTag::OperationFailed, message).with_app_tag("none-left"));
    }
    Ok(())
}

/// Fails where a configuration holds more than [`MAX_VALUES`] values.
pub(crate) fn check_size(fields: &DataTree) -> Result<(), ManagementError> {
    if data::count_values(fields) > MAX_VALUES {
        let message = format!("more than {MAX_VALUES} values");
        return Err(ManagementError::new(ErrorTag::ResourceDenied, message));
    }
    Ok(())
}
