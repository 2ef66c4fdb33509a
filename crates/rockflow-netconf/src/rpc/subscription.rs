//! The operations that create and delete subscriptions to events (RFC 5277, RFC 8639) and to datastore values
//! (RFC 8641).

use super::parameters::{datastore_by_identity, hundredths, invalid, missing};
use super::selection::Selection;
use super::{Reply, Server};
use crate::xml::Element;
use rockflow_management::{ManagementError, Trigger};
use rockflow_management_service::SessionHandle;
use std::time::Duration;

/// Minimum period of a periodic subscription.
const MIN_PERIOD: Duration = Duration::from_millis(100);

impl Server {
    pub(super) fn establish_subscription(
        &self,
        session: &SessionHandle,
        operation: &Element,
    ) -> Result<Reply, ManagementError> {
        session.authorize_call("establish-subscription")?;
        if operation.child("stream").is_some() {
            check_stream(operation)?;
            return Ok(Reply::Events);
        }
        datastore_by_identity(operation)?;
        let schema = self.service.schema();
        let (subtree, xpath) = ("datastore-subtree-filter", "datastore-xpath-filter");
        let selection = Selection::from_elements(schema, operation, subtree, xpath)?;
        let patterns = selection.to_patterns(schema)?;
        match operation.child("periodic") {
            Some(periodic) => {
                let trigger = periodic_trigger(periodic)?;
                Ok(Reply::Push { patterns, trigger, updates_only: false })
            }
            None => {
                let on_change = operation.child("on-change").ok_or_else(|| missing("on-change"))?;
                let dampening = hundredths(on_change, "dampening-period")?.unwrap_or_default();
                let updates_only = on_change.text_of("sync-on-start") == Some("false");
                let trigger = Trigger::OnChange { dampening, heartbeat: None };
                Ok(Reply::Push { patterns, trigger, updates_only })
            }
        }
    }
}

fn periodic_trigger(periodic: &Element) -> Result<Trigger, ManagementError> {
    let period = hundredths(periodic, "period")?.ok_or_else(|| missing("period"))?;
    if period < MIN_PERIOD {
        let error = invalid("the least period is 10 hundredths of a second");
        return Err(error.with_app_tag("period-unsupported").with_element("period"));
    }
    Ok(Trigger::Periodic { period, suppress: false, heartbeat: None })
}

pub(super) fn create_subscription(
    session: &SessionHandle,
    operation: &Element,
) -> Result<Reply, ManagementError> {
    session.authorize_call("create-subscription")?;
    check_stream(operation)?;
    if operation.child("startTime").is_some() || operation.child("stopTime").is_some() {
        return Err(invalid("there is no replay").with_element("startTime"));
    }
    Ok(Reply::Events)
}

pub(super) fn delete_subscription(operation: &Element) -> Result<Reply, ManagementError> {
    let id = operation.text_of("id").ok_or_else(|| missing("id"))?;
    Ok(Reply::Unsubscribe(id.parse().map_err(|_| invalid("id is no number"))?))
}

/// Checks that the requested stream, if any, is `NETCONF`, the only one that this server has.
fn check_stream(operation: &Element) -> Result<(), ManagementError> {
    match operation.text_of("stream") {
        None | Some("NETCONF") => Ok(()),
        Some(other) => Err(invalid(format!("{other}: no such stream")).with_element("stream")),
    }
}
