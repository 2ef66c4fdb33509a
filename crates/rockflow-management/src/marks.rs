//! Operators' marks on hosts, as the running configuration holds them.

use rockflow::Readiness;
use rockflow_endpoints::{AdminOverride, AdminOverrides};
use rockflow_yang::{data, DataNode, DataTree, Schema};

/// The marks of a configuration.
pub fn marks(schema: &Schema, running: &DataTree) -> AdminOverrides {
    let find = |name: &str| schema.find(&["router", "marks", "mark", name]);
    let (Some(state), Some(expires), Some(force)) = (find("state"), find("expires"), find("force")) else {
        return AdminOverrides::new();
    };
    let mut marks = AdminOverrides::new();
    for (keys, fields) in entries(schema, running) {
        let text = |id| fields.get(&id).and_then(DataNode::scalar).and_then(|value| value.as_text());
        let readiness = if text(state) == Some("gone") { Readiness::Gone } else { Readiness::Draining };
        let until = text(expires).and_then(crate::timestamp::parse);
        let force = fields.get(&force).and_then(DataNode::scalar).and_then(|value| value.as_bool());
        if let Some(host) = keys.first().and_then(|key| key.as_text()) {
            marks.insert(
                host.to_string(),
                AdminOverride { readiness, expires_at: until, force: force.unwrap_or(false) },
            );
        }
    }
    marks
}

/// The entries under `marks/mark`.
fn entries<'a>(schema: &Schema, running: &'a DataTree) -> Vec<(&'a rockflow_yang::KeyValues, &'a DataTree)> {
    let steps = ["router", "marks", "mark"];
    let ids: Option<Vec<_>> = (1..=3).map(|n| schema.find(&steps[..n])).collect();
    let path = ids.unwrap_or_default().into_iter();
    let path: Vec<_> = path.map(|node| rockflow_yang::PathStep { node, keys: Vec::new() }).collect();
    match data::find_instance(running, &path) {
        Some(data::Instance::DataNode(DataNode::List(entries))) => entries.iter().collect(),
        _ => Vec::new(),
    }
}
