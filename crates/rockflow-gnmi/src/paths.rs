//! Converts paths and values between gNMI messages and the YANG model. Names that the model does not define are errors.

use crate::wire;
use rockflow_management::{ErrorTag, ManagementError};
use rockflow_yang::data::{self, Instance};
use rockflow_yang::path::{PatternStep, MAX_STEPS};
use rockflow_yang::{
    json, DataNode, DataTree, JsonError, NodeId, NodeKind, NodeScope, Path, PathStep, Pattern, Scalar, Schema,
};
use serde_json::{Map, Value};
use std::collections::BTreeSet;
use wire::typed_value::Value as Typed;

/// Maximum number of paths in one request.
pub const MAX_PATHS: usize = 64;
/// Maximum number of instances that one path with open keys may match.
pub const MAX_INSTANCES: usize = 20_000;

fn invalid(message: impl std::fmt::Display) -> ManagementError {
    ManagementError::new(ErrorTag::InvalidValue, message.to_string())
}

/// Decodes a path that continues the prefix. A key whose value is `*`, or that is not given, is open. Wildcards in
/// place of a name are not supported.
pub fn decode_pattern(
    schema: &Schema,
    prefix: Option<&wire::Path>,
    path: Option<&wire::Path>,
) -> Result<Pattern, ManagementError> {
    let mut steps: Vec<PatternStep> = Vec::new();
    for path in prefix.into_iter().chain(path) {
        if !matches!(path.origin.as_str(), "" | "rfc7951" | "rockflow") {
            return Err(invalid(format!("{}: no such origin", path.origin)));
        }
        for elem in &path.elem {
            if steps.len() >= MAX_STEPS {
                return Err(invalid(format!("a path of more than {MAX_STEPS} steps")));
            }
            if matches!(elem.name.as_str(), "*" | "...") {
                let message = format!("{}: open steps are not served, open keys are", elem.name);
                return Err(ManagementError::new(ErrorTag::OperationNotSupported, message));
            }
            let key_values = elem.key.iter().map(|(key, value)| (key.as_str(), value.as_str()));
            let step = PatternStep::parse(schema, steps.last(), &elem.name, key_values).map_err(invalid)?;
            if !matches!(
                schema.node(step.node).kind,
                NodeKind::Container
                    | NodeKind::List { .. }
                    | NodeKind::Leaf { .. }
                    | NodeKind::LeafList { .. }
            ) {
                return Err(invalid(format!("{}: no data", elem.name)));
            }
            steps.push(step);
        }
    }
    Ok(Pattern(steps))
}

/// Whether the pattern gives every key of its lists, so that it identifies a single instance.
pub fn has_all_keys(pattern: &Pattern) -> bool {
    pattern.0.iter().all(|step| step.keys.iter().all(Option::is_some))
}

/// Converts a pattern to the path of one instance, or of a whole list if the last step has no keys. `None` if another
/// key is open.
pub fn to_path(pattern: &Pattern) -> Option<Path> {
    let last = pattern.0.len().saturating_sub(1);
    let to_step = |(position, step): (usize, &PatternStep)| {
        let is_whole_list = position == last && step.keys.iter().all(Option::is_none);
        let keys = if is_whole_list { Some(Vec::new()) } else { step.keys.iter().cloned().collect() };
        keys.map(|keys| PathStep { node: step.node, keys })
    };
    pattern.0.iter().enumerate().map(to_step).collect::<Option<Vec<_>>>().map(Path)
}

/// Encodes a path of the model as a gNMI path.
pub fn encode_path(schema: &Schema, path: &Path) -> wire::Path {
    let elem = path.0.iter().map(|step| {
        let keys = schema.keys(step.node).iter().zip(&step.keys);
        wire::PathElem {
            name: schema.qualified_name(step.node),
            key: keys.map(|(key, value)| (schema.node(*key).name.clone(), value.to_string())).collect(),
        }
    });
    wire::Path { elem: elem.collect(), ..wire::Path::default() }
}

/// Writes the children of a node as a JSON object. The names at the top of a value are always prefixed with their
/// module (RFC 7951, section 4), whichever node the value belongs to.
fn write_object(schema: &Schema, tree: &DataTree) -> Value {
    let mut object = Map::new();
    for (id, data) in tree {
        let name = format!("{}:{}", schema.module_of(*id).name, schema.node(*id).name);
        object.insert(name, json::write_data(schema, *id, data));
    }
    Value::Object(object)
}

/// The instances that the pattern identifies, with their paths and JSON values. Each entry of a list is an instance of
/// its own. Fails if there are more than [`MAX_INSTANCES`].
pub fn instances(
    schema: &Schema,
    tree: &DataTree,
    pattern: &Pattern,
) -> Result<Vec<(Path, Value)>, ManagementError> {
    if pattern.0.is_empty() {
        return Ok(vec![(Path::default(), write_object(schema, tree))]);
    }
    let instances = data::instances_matching(tree, pattern, MAX_INSTANCES);
    let instances = instances.ok_or_else(|| {
        ManagementError::new(ErrorTag::TooBig, format!("more than {MAX_INSTANCES} instances"))
    })?;
    let to_json = |path: &Path, instance: Instance| match (instance, path.node()) {
        (Instance::ListEntry(inner) | Instance::DataNode(DataNode::Container(inner)), _) => {
            write_object(schema, inner)
        }
        (Instance::DataNode(data), Some(node)) => json::write_data(schema, node, data),
        (Instance::DataNode(_), None) => Value::Null,
    };
    let with_value = |(path, instance)| {
        let value = to_json(&path, instance);
        (path, value)
    };
    Ok(instances.into_iter().map(with_value).collect())
}

/// Encodes a JSON value as a gNMI value, with the requested encoding.
pub fn encode_json(value: &Value, encoding: wire::Encoding) -> wire::TypedValue {
    let bytes = value.to_string().into_bytes();
    let value =
        if encoding == wire::Encoding::Json { Typed::JsonVal(bytes) } else { Typed::JsonIetfVal(bytes) };
    wire::TypedValue { value: Some(value) }
}

/// Writes the value of a leaf as JSON.
pub fn leaf_json(schema: &Schema, node: NodeId, value: &Scalar) -> Value {
    json::write_scalar(schema.type_of(node), value)
}

/// Decodes the value that a Set request gives for a path. A JSON value may be that of any node; every other kind of
/// value is only allowed for leaves and leaf-lists.
pub fn decode_value(
    schema: &Schema,
    path: &Path,
    typed: Option<&wire::TypedValue>,
) -> Result<DataNode, ManagementError> {
    let typed = typed.and_then(|typed| typed.value.as_ref());
    let typed = typed.ok_or_else(|| invalid("an update has no value").with_path(path))?;
    let invalid_json = |error: JsonError| invalid(error).with_path(path);
    let parsed = match typed {
        Typed::JsonVal(bytes) | Typed::JsonIetfVal(bytes) => {
            serde_json::from_slice::<Value>(bytes).map_err(|error| invalid(error).with_path(path))?
        }
        typed => return decode_typed_value(schema, path, typed),
    };
    let Some(last) = path.0.last() else {
        return json::read(schema, None, &parsed, NodeScope::ConfigOnly)
            .map(DataNode::Container)
            .map_err(invalid_json);
    };
    match &schema.node(last.node).kind {
        NodeKind::List { .. } if !last.keys.is_empty() => {
            let entry =
                json::read(schema, Some(last.node), &parsed, NodeScope::ConfigOnly).map_err(invalid_json)?;
            for (key, key_value) in schema.keys(last.node).iter().zip(&last.keys) {
                if entry.get(key).and_then(DataNode::scalar).is_some_and(|value| value != key_value) {
                    return Err(invalid("the keys of the value are others than the path's").with_path(path));
                }
            }
            Ok(DataNode::Container(entry))
        }
        _ => json::read_data(schema, last.node, &parsed, NodeScope::ConfigOnly).map_err(invalid_json),
    }
}

/// Decodes a value that is not JSON: a scalar, or a list of scalars for a leaf-list.
fn decode_typed_value(schema: &Schema, path: &Path, typed: &Typed) -> Result<DataNode, ManagementError> {
    let node = path.node().ok_or_else(|| invalid("the top holds no value"))?;
    let value_type = schema.type_of(node).ok_or_else(|| invalid("holds no value").with_path(path))?;
    let text = |typed: &Typed| {
        Ok(match typed {
            Typed::StringVal(text) | Typed::AsciiVal(text) => text.clone(),
            Typed::IntVal(number) => number.to_string(),
            Typed::UintVal(number) => number.to_string(),
            Typed::BoolVal(value) => value.to_string(),
            Typed::DoubleVal(number) => number.to_string(),
            _ => return Err(invalid("a value of a kind that is not served").with_path(path)),
        })
    };
    let decode_scalar =
        |typed: &Typed| value_type.parse(&text(typed)?).map_err(|error| invalid(error).with_path(path));
    match (&schema.node(node).kind, typed) {
        (NodeKind::LeafList { .. }, Typed::LeaflistVal(list)) => {
            let values = list.element.iter().filter_map(|element| element.value.as_ref()).map(decode_scalar);
            Ok(DataNode::LeafList(values.collect::<Result<BTreeSet<_>, _>>()?))
        }
        (NodeKind::LeafList { .. }, scalar) => {
            Ok(DataNode::LeafList(BTreeSet::from([decode_scalar(scalar)?])))
        }
        (_, scalar) => Ok(DataNode::Leaf(decode_scalar(scalar)?)),
    }
}

/// The prefix that repeats the target name of the request; `None` if the name is empty.
pub fn target_prefix(target: &str) -> Option<wire::Path> {
    (!target.is_empty()).then(|| wire::Path { target: target.to_string(), ..wire::Path::default() })
}
