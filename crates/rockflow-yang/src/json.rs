//! Trees of values as JSON (RFC 7951), strictly both ways.

use crate::data::{DataNode, DataTree};
use crate::schema::{NodeId, NodeKind, Schema};
use crate::types::{KeyValues, LeafType, Scalar};
use serde_json::{Map, Value};
use std::collections::{BTreeMap, BTreeSet};

/// The values below `parent`; at the top without one. A name bears its module where that changes.
pub fn write(schema: &Schema, fields: &DataTree) -> Value {
    let mut object = Map::new();
    for (id, data) in fields {
        object.insert(schema.qualified_name(*id), write_data(schema, *id, data));
    }
    Value::Object(object)
}

pub fn write_data(schema: &Schema, id: NodeId, data: &DataNode) -> Value {
    match data {
        DataNode::Leaf(value) => write_scalar(schema.type_of(id), value),
        DataNode::LeafList(values) => {
            Value::Array(values.iter().map(|value| write_scalar(schema.type_of(id), value)).collect())
        }
        DataNode::Container(fields) => write(schema, fields),
        DataNode::List(entries) => {
            Value::Array(entries.values().map(|fields| write(schema, fields)).collect())
        }
    }
}

pub fn write_scalar(of: Option<&LeafType>, value: &Scalar) -> Value {
    match value {
        Scalar::Empty => Value::Array(vec![Value::Null]),
        Scalar::Bool(value) => Value::Bool(*value),
        Scalar::Unsigned(number) if !of.is_some_and(|of| of.is_quoted_in_json(value)) => Value::from(*number),
        Scalar::Signed(number) if !of.is_some_and(|of| of.is_quoted_in_json(value)) => Value::from(*number),
        value => Value::String(value.to_string()),
    }
}

/// Reads the values below `parent`; unknown names, state, doubled entries and odd values are faults. `state`:
/// nodes that can't be written are read too.
pub fn read(schema: &Schema, parent: Option<NodeId>, value: &Value, state: bool) -> Result<DataTree, String> {
    let object = value.as_object().ok_or("an object is wanted")?;
    let mut fields = DataTree::new();
    for (name, value) in object {
        let (module, plain) = match name.split_once(':') {
            Some((module, plain)) => {
                let known = schema.module_by_name(module);
                (Some(known.ok_or_else(|| format!("{name}: no such module"))?), plain)
            }
            None => (None, name.as_str()),
        };
        let id = schema.child(parent, module, plain).ok_or_else(|| format!("{name}: no such node"))?;
        if !state && !schema.node(id).config {
            return Err(format!("{name}: is state, which can't be written"));
        }
        if fields.contains_key(&id) {
            return Err(format!("{name}: stands twice"));
        }
        let data = read_data(schema, id, value, state).map_err(|what| format!("{name}: {what}"))?;
        fields.insert(id, data);
    }
    Ok(fields)
}

/// Reads the value of one node: a list's is an array of entries.
pub fn read_data(schema: &Schema, id: NodeId, value: &Value, state: bool) -> Result<DataNode, String> {
    match &schema.node(id).kind {
        NodeKind::Leaf { of, .. } => Ok(DataNode::Leaf(read_scalar(of, value)?)),
        NodeKind::LeafList { of, .. } => {
            let values = value.as_array().ok_or("an array is wanted")?;
            let read: BTreeSet<_> =
                values.iter().map(|value| read_scalar(of, value)).collect::<Result<_, _>>()?;
            if read.len() < values.len() {
                return Err("a value stands twice".to_string());
            }
            Ok(DataNode::LeafList(read))
        }
        NodeKind::List { .. } => {
            let values = value.as_array().ok_or("an array is wanted")?;
            let mut entries = BTreeMap::new();
            for value in values {
                let (keys, fields) = read_entry(schema, id, value, state)?;
                if entries.insert(keys, fields).is_some() {
                    return Err("an entry stands twice".to_string());
                }
            }
            Ok(DataNode::List(entries))
        }
        NodeKind::Container | NodeKind::Input | NodeKind::Output | NodeKind::Rpc | NodeKind::Notification => {
            Ok(DataNode::Container(read(schema, Some(id), value, state)?))
        }
    }
}

/// Reads one entry of a list, which tells its keys.
pub fn read_entry(
    schema: &Schema,
    list: NodeId,
    value: &Value,
    state: bool,
) -> Result<(KeyValues, DataTree), String> {
    let fields = read(schema, Some(list), value, state)?;
    let key = |key: &NodeId| {
        let value = fields.get(key).and_then(DataNode::scalar).cloned();
        value.ok_or_else(|| format!("the key {} is missing", schema.node(*key).name))
    };
    let keys = schema.keys(list).iter().map(key).collect::<Result<_, _>>()?;
    Ok((keys, fields))
}

fn read_scalar(of: &LeafType, value: &Value) -> Result<Scalar, String> {
    let text = match value {
        Value::String(text) => text.clone(),
        Value::Bool(value) => value.to_string(),
        Value::Number(number) => number.to_string(),
        Value::Array(inner) if matches!(inner.as_slice(), [Value::Null]) => String::new(),
        _ => return Err("a value is wanted".to_string()),
    };
    let read = of.parse(&text)?;
    let fits = match (&read, value) {
        (Scalar::Bool(_), value) => value.is_boolean(),
        (Scalar::Empty, value) => value.is_array(),
        (Scalar::Text(_), value) => value.is_string(),
        // Numbers of 64 bits come in quotes; plain ones are taken too, as many clients send them.
        _ => value.is_string() || value.is_number(),
    };
    if fits {
        Ok(read)
    } else {
        Err("is not of the type's JSON form".to_string())
    }
}
