//! Reads and writes data trees as JSON (RFC 7951). Input that does not conform to the schema is rejected.

use crate::data::{DataNode, DataTree};
use crate::error::JsonError;
use crate::schema::{NodeId, NodeKind, NodeScope, Schema};
use crate::types::{KeyValues, LeafType, Scalar};
use serde_json::{Map, Value};
use std::collections::{BTreeMap, BTreeSet};

/// Writes a data tree as an object. A member's name is prefixed with its module where that differs from the module of
/// its parent.
pub fn write(schema: &Schema, tree: &DataTree) -> Value {
    let mut object = Map::new();
    for (id, data) in tree {
        object.insert(schema.qualified_name(*id), write_data(schema, *id, data));
    }
    Value::Object(object)
}

/// Writes the value of one data node.
pub fn write_data(schema: &Schema, id: NodeId, data: &DataNode) -> Value {
    let scalar = |value: &Scalar| write_scalar(schema.type_of(id), value);
    match data {
        DataNode::Leaf(value) => scalar(value),
        DataNode::LeafList(values) => Value::Array(values.iter().map(scalar).collect()),
        DataNode::Container(tree) => write(schema, tree),
        DataNode::List(entries) => Value::Array(entries.values().map(|entry| write(schema, entry)).collect()),
    }
}

/// Writes the value of a leaf in the JSON form of its type. `leaf_type` is `None` for a node without a type.
pub fn write_scalar(leaf_type: Option<&LeafType>, value: &Scalar) -> Value {
    let is_quoted = || leaf_type.is_some_and(|leaf_type| leaf_type.is_quoted_in_json(value));
    match value {
        Scalar::Empty => Value::Array(vec![Value::Null]),
        Scalar::Bool(value) => Value::Bool(*value),
        Scalar::Unsigned(number) if !is_quoted() => Value::from(*number),
        Scalar::Signed(number) if !is_quoted() => Value::from(*number),
        value => Value::String(value.to_string()),
    }
}

/// Reads the children of `parent`, or the top-level nodes if `parent` is `None`.
///
/// Unknown names, nodes outside of `scope`, duplicate entries and values that their type does not allow are errors.
pub fn read(
    schema: &Schema,
    parent: Option<NodeId>,
    value: &Value,
    scope: NodeScope,
) -> Result<DataTree, JsonError> {
    let object = value.as_object().ok_or(JsonError::NotAnObject)?;
    let mut tree = DataTree::new();
    for (name, value) in object {
        let member = |source| JsonError::Member { name: name.clone(), source: Box::new(source) };
        let (module, plain) = match name.split_once(':') {
            Some((module, plain)) => {
                let module = schema.module_by_name(module);
                (Some(module.ok_or_else(|| member(JsonError::NoSuchModule))?), plain)
            }
            None => (None, name.as_str()),
        };
        let id = schema.child(parent, module, plain).ok_or_else(|| member(JsonError::NoSuchNode))?;
        if !scope.includes(schema.node(id)) {
            return Err(member(JsonError::IsState));
        }
        if tree.contains_key(&id) {
            return Err(member(JsonError::DuplicateMember));
        }
        let data = read_data(schema, id, value, scope).map_err(member)?;
        tree.insert(id, data);
    }
    Ok(tree)
}

/// Reads the value of one data node. The value of a list is an array of its entries.
pub fn read_data(
    schema: &Schema,
    id: NodeId,
    value: &Value,
    scope: NodeScope,
) -> Result<DataNode, JsonError> {
    match &schema.node(id).kind {
        NodeKind::Leaf { value_type, .. } => Ok(DataNode::Leaf(read_scalar(value_type, value)?)),
        NodeKind::LeafList { value_type, .. } => read_leaf_list(value_type, value),
        NodeKind::List { .. } => read_list(schema, id, value, scope),
        NodeKind::Container | NodeKind::Input | NodeKind::Output | NodeKind::Rpc | NodeKind::Notification => {
            Ok(DataNode::Container(read(schema, Some(id), value, scope)?))
        }
    }
}

fn read_leaf_list(value_type: &LeafType, value: &Value) -> Result<DataNode, JsonError> {
    let values = value.as_array().ok_or(JsonError::NotAnArray)?;
    let mut distinct = BTreeSet::new();
    for value in values {
        distinct.insert(read_scalar(value_type, value)?);
    }
    if distinct.len() < values.len() {
        return Err(JsonError::DuplicateValue);
    }
    Ok(DataNode::LeafList(distinct))
}

fn read_list(schema: &Schema, list: NodeId, value: &Value, scope: NodeScope) -> Result<DataNode, JsonError> {
    let values = value.as_array().ok_or(JsonError::NotAnArray)?;
    let mut entries = BTreeMap::new();
    for value in values {
        let entry = read(schema, Some(list), value, scope)?;
        let keys = entry_keys(schema, list, &entry)?;
        if entries.insert(keys, entry).is_some() {
            return Err(JsonError::DuplicateEntry);
        }
    }
    Ok(DataNode::List(entries))
}

fn entry_keys(schema: &Schema, list: NodeId, entry: &DataTree) -> Result<KeyValues, JsonError> {
    let key_value = |key: &NodeId| {
        let value = entry.get(key).and_then(DataNode::scalar).cloned();
        value.ok_or_else(|| JsonError::MissingKey(schema.node(*key).name.clone()))
    };
    schema.keys(list).iter().map(key_value).collect()
}

fn read_scalar(value_type: &LeafType, value: &Value) -> Result<Scalar, JsonError> {
    let text = match value {
        Value::String(text) => text.clone(),
        Value::Bool(value) => value.to_string(),
        Value::Number(number) => number.to_string(),
        Value::Array(inner) if matches!(inner.as_slice(), [Value::Null]) => String::new(),
        _ => return Err(JsonError::NotAValue),
    };
    let scalar = value_type.parse(&text)?;
    let is_json_form = match (&scalar, value) {
        (Scalar::Bool(_), value) => value.is_boolean(),
        (Scalar::Empty, value) => value.is_array(),
        (Scalar::Text(_), value) => value.is_string(),
        // RFC 7951 encodes 64-bit numbers as strings. Plain numbers are accepted too, because many clients send them.
        _ => value.is_string() || value.is_number(),
    };
    if is_json_form {
        Ok(scalar)
    } else {
        Err(JsonError::WrongForm)
    }
}
