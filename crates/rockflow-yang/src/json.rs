//! Data trees as JSON (RFC 7951), strictly both ways.

use crate::data::{DataNode, DataTree};
use crate::error::JsonError;
use crate::schema::{NodeId, NodeKind, NodeScope, Schema};
use crate::types::{KeyValues, LeafType, Scalar};
use serde_json::{Map, Value};
use std::collections::{BTreeMap, BTreeSet};

/// Writes the nodes of a tree as an object. A name bears its module where that differs from its parent's.
pub fn write(schema: &Schema, tree: &DataTree) -> Value {
    let mut object = Map::new();
    for (id, data) in tree {
        object.insert(schema.qualified_name(*id), write_data(schema, *id, data));
    }
    Value::Object(object)
}

/// Writes the value of one node.
pub fn write_data(schema: &Schema, id: NodeId, data: &DataNode) -> Value {
    let scalar = |value: &Scalar| write_scalar(schema.type_of(id), value);
    match data {
        DataNode::Leaf(value) => scalar(value),
        DataNode::LeafList(values) => Value::Array(values.iter().map(scalar).collect()),
        DataNode::Container(tree) => write(schema, tree),
        DataNode::List(entries) => Value::Array(entries.values().map(|entry| write(schema, entry)).collect()),
    }
}

/// Writes a leaf's value in the form that its type has in JSON.
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

/// Reads the nodes below `parent`, or the top ones without a parent.
///
/// Unknown names, state outside of `scope`, duplicate entries and values that their type does not allow are errors.
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

/// Reads the value of one node: a list's is an array of entries.
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
    let mut read = BTreeSet::new();
    for value in values {
        read.insert(read_scalar(value_type, value)?);
    }
    if read.len() < values.len() {
        return Err(JsonError::DuplicateValue);
    }
    Ok(DataNode::LeafList(read))
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
    let read = value_type.parse(&text)?;
    let has_form = match (&read, value) {
        (Scalar::Bool(_), value) => value.is_boolean(),
        (Scalar::Empty, value) => value.is_array(),
        (Scalar::Text(_), value) => value.is_string(),
        // Numbers of 64 bits come in quotes; plain ones are taken too, as many clients send them.
        _ => value.is_string() || value.is_number(),
    };
    if has_form {
        Ok(read)
    } else {
        Err(JsonError::WrongForm)
    }
}
