//! Paths and values of gNMI, to and from those of the model. Names that the model does not have are errors.

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

/// Paths in one request at the most.
pub const MAX_PATHS: usize = 64;
/// Instances that one path with open keys may lead to.
pub const MAX_INSTANCES: usize = 20_000;

fn invalid(what: impl std::fmt::Display) -> ManagementError {
    ManagementError::new(ErrorTag::InvalidValue, what.to_string())
}

/// The pattern of a path behind its prefix; keys that are not given, or `*`, are open.
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
                let what = format!("{}: open steps are not served, open keys are", elem.name);
                return Err(ManagementError::new(ErrorTag::OperationNotSupported, what));
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

/// Whether every key is given.
pub fn has_all_keys(pattern: &Pattern) -> bool {
    pattern.0.iter().all(|step| step.keys.iter().all(Option::is_some))
}

/// The path of one instance; the last step may be a whole list. None: a key before that is open.
pub fn to_path(pattern: &Pattern) -> Option<Path> {
    let last = pattern.0.len().saturating_sub(1);
    let step = |(place, step): (usize, &PatternStep)| {
        let open = place == last && step.keys.iter().all(Option::is_none);
        let keys = if open { Some(Vec::new()) } else { step.keys.iter().cloned().collect() };
        keys.map(|keys| PathStep { node: step.node, keys })
    };
    pattern.0.iter().enumerate().map(step).collect::<Option<Vec<_>>>().map(Path)
}

/// A path of the model in the form of the wire.
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

/// Names at the top of a value bear their module, wherever it stands (RFC 7951, section 4).
fn write_object(schema: &Schema, fields: &DataTree) -> Value {
    let mut all = Map::new();
    for (id, data) in fields {
        let name = format!("{}:{}", schema.module_of(*id).name, schema.node(*id).name);
        all.insert(name, json::write_data(schema, *id, data));
    }
    Value::Object(all)
}

/// Each instance that the pattern names, with its value; entries of a list come one by one.
pub fn instances(
    schema: &Schema,
    fields: &DataTree,
    pattern: &Pattern,
) -> Result<Vec<(Path, Value)>, ManagementError> {
    if pattern.0.is_empty() {
        return Ok(vec![(Path::default(), write_object(schema, fields))]);
    }
    let found = data::instances_matching(fields, pattern, MAX_INSTANCES);
    let found = found.ok_or_else(|| {
        ManagementError::new(ErrorTag::TooBig, format!("more than {MAX_INSTANCES} instances"))
    })?;
    let value = |path: &Path, found: Instance| match (found, path.node()) {
        (Instance::ListEntry(inner) | Instance::DataNode(DataNode::Container(inner)), _) => {
            write_object(schema, inner)
        }
        (Instance::DataNode(data), Some(node)) => json::write_data(schema, node, data),
        (Instance::DataNode(_), None) => Value::Null,
    };
    Ok(found.into_iter().map(|(path, found)| (path.clone(), value(&path, found))).collect())
}

/// JSON as a value of the wire.
pub fn encode_json(value: &Value, encoding: wire::Encoding) -> wire::TypedValue {
    let bytes = value.to_string().into_bytes();
    let value =
        if encoding == wire::Encoding::Json { Typed::JsonVal(bytes) } else { Typed::JsonIetfVal(bytes) };
    wire::TypedValue { value: Some(value) }
}

/// A leaf's value as JSON.
pub fn leaf_json(schema: &Schema, node: NodeId, value: &Scalar) -> Value {
    json::write_scalar(schema.type_of(node), value)
}

/// The value that is set at a path, as the model has it.
pub fn decode_value(
    schema: &Schema,
    path: &Path,
    typed: Option<&wire::TypedValue>,
) -> Result<DataNode, ManagementError> {
    let typed = typed.and_then(|typed| typed.value.as_ref());
    let typed = typed.ok_or_else(|| invalid("an update has no value").with_path(path))?;
    let wrong_json = |error: JsonError| invalid(error).with_path(path);
    let parsed = match typed {
        Typed::JsonVal(bytes) | Typed::JsonIetfVal(bytes) => {
            serde_json::from_slice::<Value>(bytes).map_err(|error| invalid(error).with_path(path))?
        }
        scalar => return decode_typed_value(schema, path, scalar),
    };
    let Some(last) = path.0.last() else {
        return json::read(schema, None, &parsed, NodeScope::ConfigOnly)
            .map(DataNode::Container)
            .map_err(wrong_json);
    };
    match &schema.node(last.node).kind {
        NodeKind::List { .. } if !last.keys.is_empty() => {
            let fields =
                json::read(schema, Some(last.node), &parsed, NodeScope::ConfigOnly).map_err(wrong_json)?;
            for (key, key_value) in schema.keys(last.node).iter().zip(&last.keys) {
                if fields.get(key).and_then(DataNode::scalar).is_some_and(|value| value != key_value) {
                    return Err(invalid("the keys of the value are others than the path's").with_path(path));
                }
            }
            Ok(DataNode::Container(fields))
        }
        _ => json::read_data(schema, last.node, &parsed, NodeScope::ConfigOnly).map_err(wrong_json),
    }
}

fn decode_typed_value(schema: &Schema, path: &Path, typed: &Typed) -> Result<DataNode, ManagementError> {
    let node = path.node().ok_or_else(|| invalid("the top holds no value"))?;
    let of = schema.type_of(node).ok_or_else(|| invalid("holds no value").with_path(path))?;
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
    let read = |typed: &Typed| of.parse(&text(typed)?).map_err(|what| invalid(what).with_path(path));
    match (&schema.node(node).kind, typed) {
        (NodeKind::LeafList { .. }, Typed::LeaflistVal(all)) => {
            let values = all.element.iter().filter_map(|one| one.value.as_ref()).map(read);
            Ok(DataNode::LeafList(values.collect::<Result<BTreeSet<_>, _>>()?))
        }
        (NodeKind::LeafList { .. }, one) => Ok(DataNode::LeafList(BTreeSet::from([read(one)?]))),
        (_, one) => Ok(DataNode::Leaf(read(one)?)),
    }
}

/// The prefix of messages about a target; none without a name.
pub fn target_prefix(target: &str) -> Option<wire::Path> {
    (!target.is_empty()).then(|| wire::Path { target: target.to_string(), ..wire::Path::default() })
}
