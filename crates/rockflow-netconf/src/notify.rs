//! What followers are sent: events (RFC 5277, with those of RFC 6470 and the model's own) and pushes of values
//! (RFC 8641).

use crate::codec::{self, Annotations};
use crate::ns;
use crate::xml::Writer;
use rockflow_management::{timestamp, Notification, Operator, Update};
use rockflow_management_service::ManagementEvent;
use rockflow_yang::{data, Change, DataTree, Path, Scalar, Schema};
use std::collections::BTreeMap;
use std::time::Duration;

fn envelope(at: Duration, fill: impl FnOnce(&mut Writer)) -> String {
    let mut out = Writer::new();
    out.open("notification", &[("xmlns", ns::NOTIFICATION)]);
    out.leaf("eventTime", &[], &timestamp::format(at));
    fill(&mut out);
    out.close("notification");
    out.finish()
}

fn common(out: &mut Writer, operator: &Operator, session: u32) {
    out.leaf("username", &[], &operator.user);
    out.leaf("session-id", &[], &session.to_string());
    out.leaf("source-host", &[], &operator.source);
}

/// An event as it is sent, by its namespace and name; most commits are two.
pub fn event(schema: &Schema, at: Duration, event: &ManagementEvent) -> Vec<String> {
    let own = |name: &str| {
        let id = schema.find(&[name]);
        id.map(|id| schema.module_of(id).namespace.clone()).unwrap_or_default()
    };
    match event {
        ManagementEvent::EndpointChanged { name, now } => {
            let ns = own("host-changed");
            vec![envelope(at, |out| {
                out.open("host-changed", &[("xmlns", &ns)]);
                out.leaf("name", &[], name);
                if let Some(effective) = now {
                    out.leaf("effective", &[], &format!("{:?}", effective.readiness).to_lowercase());
                    out.leaf("says", &[], effective.source.as_str());
                }
                out.close("host-changed");
            })]
        }
        ManagementEvent::OverrideExpired { host } => {
            let ns = own("mark-expired");
            vec![envelope(at, |out| {
                out.open("mark-expired", &[("xmlns", &ns)]);
                out.leaf("host", &[], host);
                out.close("mark-expired");
            })]
        }
        ManagementEvent::Notification(Notification::Committed(commit)) => {
            let ns = own("committed");
            let standard = envelope(at, |out| {
                out.open("netconf-config-change", &[("xmlns", ns::NOTIFICATIONS)]);
                out.open("changed-by", &[]);
                common(out, &commit.operator, 0);
                out.close("changed-by");
                out.leaf("datastore", &[], "running");
                for change in &commit.changes {
                    out.open("edit", &[]);
                    out.leaf("target", &[], &change.path.to_text(schema));
                    let operation = match (&change.before, &change.after) {
                        (None, _) => "create",
                        (_, None) => "delete",
                        _ => "replace",
                    };
                    out.leaf("operation", &[], operation);
                    out.close("edit");
                }
                out.close("netconf-config-change");
            });
            let mine = envelope(at, |out| {
                out.open("committed", &[("xmlns", &ns)]);
                out.leaf("version", &[], &commit.version.to_string());
                out.leaf("author", &[], &commit.operator.user);
                commit.changes.iter().for_each(|change| out.leaf("change", &[], &change.to_text(schema)));
                out.close("committed");
            });
            vec![standard, mine]
        }
        ManagementEvent::Notification(Notification::SessionStarted { session, operator }) => {
            vec![envelope(at, |out| {
                out.open("netconf-session-start", &[("xmlns", ns::NOTIFICATIONS)]);
                common(out, operator, session.0);
                out.close("netconf-session-start");
            })]
        }
        ManagementEvent::Notification(Notification::SessionEnded { session, operator, reason }) => {
            vec![envelope(at, |out| {
                out.open("netconf-session-end", &[("xmlns", ns::NOTIFICATIONS)]);
                common(out, operator, session.0);
                out.leaf("termination-reason", &[], reason.name());
                out.close("netconf-session-end");
            })]
        }
        ManagementEvent::Notification(Notification::ConfirmedCommit { event, operator }) => {
            vec![envelope(at, |out| {
                out.open("netconf-confirmed-commit", &[("xmlns", ns::NOTIFICATIONS)]);
                common(out, operator, 0);
                out.leaf("confirm-event", &[], event.name());
                out.close("netconf-confirmed-commit");
            })]
        }
    }
}

/// The tree that values by path make.
pub fn tree(schema: &Schema, values: BTreeMap<Path, Scalar>) -> DataTree {
    let changes: Vec<Change> =
        values.into_iter().map(|(path, value)| Change { path, before: None, after: Some(value) }).collect();
    let mut fields = DataTree::new();
    data::apply_changes(schema, &mut fields, &changes);
    fields
}

/// `push-update` or `push-change-update`.
pub fn push(schema: &Schema, at: Duration, id: u64, update: Update) -> String {
    envelope(at, |out| match update {
        Update::Snapshot(values) => {
            out.open("push-update", &[("xmlns", ns::PUSH)]);
            out.leaf("id", &[], &id.to_string());
            out.open("datastore-contents", &[]);
            codec::write(schema, &tree(schema, values), None, Annotations::default(), out);
            out.close("datastore-contents");
            out.close("push-update");
        }
        Update::Changes(changes) => {
            out.open("push-change-update", &[("xmlns", ns::PUSH)]);
            out.leaf("id", &[], &id.to_string());
            out.open("datastore-changes", &[]);
            out.open("yang-patch", &[]);
            out.leaf("patch-id", &[], &format!("{id}-{}", at.as_millis()));
            for (number, (path, changed)) in changes.into_iter().enumerate() {
                let value = changed.value;
                out.open("edit", &[]);
                out.leaf("edit-id", &[], &format!("edit{}", number + 1));
                out.leaf("operation", &[], if value.is_some() { "replace" } else { "delete" });
                out.leaf("target", &[], &path.to_text(schema));
                if let (Some(value), Some(node)) = (value, path.node()) {
                    out.open("value", &[]);
                    let name = &schema.node(node).name;
                    let ns = &schema.module_of(node).namespace;
                    out.leaf(name, &[("xmlns", ns)], &value.to_string());
                    out.close("value");
                }
                out.close("edit");
            }
            out.close("yang-patch");
            out.close("datastore-changes");
            out.close("push-change-update");
        }
    })
}
