//! Encoding of notifications: events (RFC 5277) defined by RFC 6470 or by rockflow's YANG modules, and value
//! updates of YANG push subscriptions (RFC 8641).

use crate::codec::{self, Annotations};
use crate::ns;
use crate::xml::Writer;
use rockflow_management::{timestamp, ChangedValue, Commit, Notification, Operator, Update};
use rockflow_management_service::ManagementEvent;
use rockflow_yang::{data, Change, DataTree, Path, Scalar, Schema};
use std::collections::BTreeMap;
use std::time::Duration;

/// The session id in notifications whose event doesn't record a NETCONF session.
const NO_SESSION: u32 = 0;

/// Encodes the notifications of an event. A commit has two: `netconf-config-change` and `committed`. `time`
/// is the event time since the Unix epoch.
pub fn event(schema: &Schema, time: Duration, event: &ManagementEvent) -> Vec<String> {
    match event {
        ManagementEvent::EndpointChanged { name, now } => {
            vec![model_event(schema, time, "host-changed", |out| {
                out.leaf("name", &[], name);
                if let Some(effective) = now {
                    out.leaf("effective", &[], &format!("{:?}", effective.readiness).to_lowercase());
                    out.leaf("says", &[], effective.source.as_str());
                }
            })]
        }
        ManagementEvent::OverrideExpired { host } => {
            vec![model_event(schema, time, "mark-expired", |out| out.leaf("host", &[], host))]
        }
        ManagementEvent::Notification(Notification::Committed(commit)) => {
            vec![config_change(schema, time, commit), committed(schema, time, commit)]
        }
        ManagementEvent::Notification(Notification::SessionStarted { session, operator }) => {
            vec![base_event(time, "netconf-session-start", |out| write_operator(out, operator, session.0))]
        }
        ManagementEvent::Notification(Notification::SessionEnded { session, operator, reason }) => {
            vec![base_event(time, "netconf-session-end", |out| {
                write_operator(out, operator, session.0);
                out.leaf("termination-reason", &[], reason.name());
            })]
        }
        ManagementEvent::Notification(Notification::ConfirmedCommit { event, operator }) => {
            vec![base_event(time, "netconf-confirmed-commit", |out| {
                write_operator(out, operator, NO_SESSION);
                out.leaf("confirm-event", &[], event.name());
            })]
        }
    }
}

/// Encodes a `netconf-config-change` notification (RFC 6470).
fn config_change(schema: &Schema, time: Duration, commit: &Commit) -> String {
    base_event(time, "netconf-config-change", |out| {
        out.open("changed-by", &[]);
        write_operator(out, &commit.operator, NO_SESSION);
        out.close("changed-by");
        out.leaf("datastore", &[], "running");
        for change in &commit.changes {
            let operation = match (&change.before, &change.after) {
                (None, _) => "create",
                (_, None) => "delete",
                _ => "replace",
            };
            out.open("edit", &[]);
            out.leaf("target", &[], &change.path.to_text(schema));
            out.leaf("operation", &[], operation);
            out.close("edit");
        }
    })
}

/// Encodes a `committed` notification, which is defined in rockflow's YANG modules.
fn committed(schema: &Schema, time: Duration, commit: &Commit) -> String {
    model_event(schema, time, "committed", |out| {
        out.leaf("version", &[], &commit.version.to_string());
        out.leaf("author", &[], &commit.operator.user);
        for change in &commit.changes {
            out.leaf("change", &[], &change.to_text(schema));
        }
    })
}

/// Encodes an event defined in RFC 6470.
fn base_event(time: Duration, name: &str, write: impl FnOnce(&mut Writer)) -> String {
    notification(time, |out| {
        out.open(name, &[("xmlns", ns::NOTIFICATIONS)]);
        write(out);
        out.close(name);
    })
}

/// Encodes an event defined in one of rockflow's YANG modules.
fn model_event(schema: &Schema, time: Duration, name: &str, write: impl FnOnce(&mut Writer)) -> String {
    let namespace = schema.find(&[name]).map(|id| schema.module_of(id).namespace.as_str());
    notification(time, |out| {
        out.open(name, &[("xmlns", namespace.unwrap_or_default())]);
        write(out);
        out.close(name);
    })
}

fn notification(time: Duration, write: impl FnOnce(&mut Writer)) -> String {
    let mut out = Writer::new();
    out.open("notification", &[("xmlns", ns::NOTIFICATION)]);
    out.leaf("eventTime", &[], &timestamp::format(time));
    write(&mut out);
    out.close("notification");
    out.finish()
}

fn write_operator(out: &mut Writer, operator: &Operator, session: u32) {
    out.leaf("username", &[], &operator.user);
    out.leaf("session-id", &[], &session.to_string());
    out.leaf("source-host", &[], &operator.source);
}

/// Encodes a `push-update` or `push-change-update` notification for the subscription `id`. `time` is since
/// the Unix epoch.
pub fn push(schema: &Schema, time: Duration, id: u64, update: Update) -> String {
    notification(time, |out| match update {
        Update::Snapshot(values) => {
            out.open("push-update", &[("xmlns", ns::PUSH)]);
            out.leaf("id", &[], &id.to_string());
            out.open("datastore-contents", &[]);
            codec::write(schema, &build_tree(schema, values), None, Annotations::default(), out);
            out.close("datastore-contents");
            out.close("push-update");
        }
        Update::Changes(changes) => {
            out.open("push-change-update", &[("xmlns", ns::PUSH)]);
            out.leaf("id", &[], &id.to_string());
            out.open("datastore-changes", &[]);
            out.open("yang-patch", &[]);
            out.leaf("patch-id", &[], &format!("{id}-{}", time.as_millis()));
            for (index, (path, changed)) in changes.into_iter().enumerate() {
                write_edit(schema, index + 1, &path, &changed, out);
            }
            out.close("yang-patch");
            out.close("datastore-changes");
            out.close("push-change-update");
        }
    })
}

fn write_edit(schema: &Schema, number: usize, path: &Path, changed: &ChangedValue, out: &mut Writer) {
    out.open("edit", &[]);
    out.leaf("edit-id", &[], &format!("edit{number}"));
    out.leaf("operation", &[], if changed.value.is_some() { "replace" } else { "delete" });
    out.leaf("target", &[], &path.to_text(schema));
    if let (Some(value), Some(node)) = (&changed.value, path.node()) {
        out.open("value", &[]);
        let namespace = &schema.module_of(node).namespace;
        out.leaf(&schema.node(node).name, &[("xmlns", namespace)], &value.to_string());
        out.close("value");
    }
    out.close("edit");
}

/// Builds a data tree from leaf values by path.
fn build_tree(schema: &Schema, values: BTreeMap<Path, Scalar>) -> DataTree {
    let changes: Vec<Change> =
        values.into_iter().map(|(path, value)| Change { path, before: None, after: Some(value) }).collect();
    let mut tree = DataTree::new();
    data::apply_changes(schema, &mut tree, &changes);
    tree
}
