//! Reads the operators' administrative overrides of endpoints (`marks` in the model) from a configuration.

use crate::timestamp;
use rockflow::Readiness;
use rockflow_endpoints::{AdminOverride, AdminOverrides};
use rockflow_yang::{data, DataNode, DataTree, NodeId, PathStep, Scalar, Schema};

/// The nested names of the model's list of overrides.
const OVERRIDE_LIST: [&str; 3] = ["router", "marks", "mark"];

/// The overrides of a configuration, by the endpoint's name.
pub fn administrative_overrides(schema: &Schema, configuration: &DataTree) -> AdminOverrides {
    let Some(leaves) = OverrideLeaves::find(schema) else { return AdminOverrides::new() };
    let Some(path) = list_path(schema) else { return AdminOverrides::new() };
    let Some(data::Instance::DataNode(DataNode::List(entries))) = data::find_instance(configuration, &path)
    else {
        return AdminOverrides::new();
    };
    let mut overrides = AdminOverrides::new();
    for (keys, fields) in entries {
        if let Some(host) = keys.first().and_then(Scalar::as_text) {
            overrides.insert(host.to_string(), leaves.read(fields));
        }
    }
    overrides
}

/// The leaves of a list entry that describe an override.
struct OverrideLeaves {
    state: NodeId,
    expires: NodeId,
    force: NodeId,
}

impl OverrideLeaves {
    fn find(schema: &Schema) -> Option<OverrideLeaves> {
        let [router, marks, mark] = OVERRIDE_LIST;
        let leaf = |name: &str| schema.find(&[router, marks, mark, name]);
        Some(OverrideLeaves { state: leaf("state")?, expires: leaf("expires")?, force: leaf("force")? })
    }

    fn read(&self, fields: &DataTree) -> AdminOverride {
        let scalar = |leaf: NodeId| fields.get(&leaf).and_then(DataNode::scalar);
        let text = |leaf: NodeId| scalar(leaf).and_then(Scalar::as_text);
        let readiness = match text(self.state) {
            Some("gone") => Readiness::Gone,
            _ => Readiness::Draining,
        };
        let expires_at = text(self.expires).and_then(timestamp::parse);
        let force = scalar(self.force).and_then(Scalar::as_bool).unwrap_or(false);
        AdminOverride { readiness, expires_at, force }
    }
}

fn list_path(schema: &Schema) -> Option<Vec<PathStep>> {
    let step = |length: usize| {
        let node = schema.find(&OVERRIDE_LIST[..length])?;
        Some(PathStep { node, keys: Vec::new() })
    };
    (1..=OVERRIDE_LIST.len()).map(step).collect()
}
