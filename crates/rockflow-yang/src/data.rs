//! Trees of values, what changes them, and how two of them differ.

use crate::path::{Path, PathStep, Pattern};
use crate::schema::{NodeId, NodeKind, Schema};
use crate::types::{KeyValues, Scalar};
use std::collections::{BTreeMap, BTreeSet};
use std::fmt;

/// The values below one node, by child.
pub type DataTree = BTreeMap<NodeId, DataNode>;

#[derive(Clone, Debug, PartialEq)]
pub enum DataNode {
    Leaf(Scalar),
    LeafList(BTreeSet<Scalar>),
    Container(DataTree),
    /// Entries by key; the keys stand among an entry's fields too.
    List(BTreeMap<KeyValues, DataTree>),
}

/// What is done to one node (RFC 6241, section 7.2).
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EditOperation {
    Merge,
    Replace,
    Create,
    Delete,
    Remove,
    /// Nothing is done, but it must be there: default-operation none.
    AssertExists,
}

#[derive(Clone, Debug, PartialEq)]
pub struct Edit {
    pub path: Path,
    pub op: EditOperation,
    /// What is merged, put or created; none for the other operations.
    pub value: Option<DataNode>,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EditErrorKind {
    /// Created, and there already; deleted or expected, and not there.
    Exists,
    Missing,
    /// State, or a key, can't be written; the value can't stand there.
    NotWritable,
    BadValue,
}

#[derive(Clone, Debug, PartialEq)]
pub struct EditError {
    pub error: EditErrorKind,
    pub path: Path,
    pub what: String,
}

impl fmt::Display for EditError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.what)
    }
}

/// A leaf, a leaf-list's value or an entry without other leaves, that differs between two trees.
#[derive(Clone, Debug, PartialEq)]
pub struct Change {
    pub path: Path,
    pub before: Option<Scalar>,
    pub after: Option<Scalar>,
}

impl Change {
    /// `path: before -> after`, on one line.
    pub fn to_text(&self, schema: &Schema) -> String {
        let value = |value: &Option<Scalar>| value.as_ref().map_or("-".to_string(), Scalar::to_string);
        let line =
            format!("{}: {} -> {}", self.path.to_text(schema), value(&self.before), value(&self.after));
        line.replace(['\n', '\r'], " ")
    }
}

impl DataNode {
    pub fn fields(&self) -> Option<&DataTree> {
        match self {
            DataNode::Container(fields) => Some(fields),
            _ => None,
        }
    }

    pub fn scalar(&self) -> Option<&Scalar> {
        match self {
            DataNode::Leaf(value) => Some(value),
            _ => None,
        }
    }

    /// Values and entries, as a bound on what a tree takes.
    pub fn count_values(&self) -> usize {
        match self {
            DataNode::Leaf(_) => 1,
            DataNode::LeafList(values) => values.len(),
            DataNode::Container(fields) => count_values(fields),
            DataNode::List(entries) => entries.values().map(|fields| 1 + count_values(fields)).sum(),
        }
    }
}

pub fn count_values(fields: &DataTree) -> usize {
    fields.values().map(DataNode::count_values).sum()
}

/// What the path names; the whole list where its last step has no keys.
pub fn find_instance<'a>(fields: &'a DataTree, path: &[PathStep]) -> Option<Instance<'a>> {
    let (step, rest) = path.split_first()?;
    let data = fields.get(&step.node)?;
    match data {
        DataNode::List(entries) if !step.keys.is_empty() => {
            let entry = entries.get(&step.keys)?;
            if rest.is_empty() {
                Some(Instance::ListEntry(entry))
            } else {
                find_instance(entry, rest)
            }
        }
        DataNode::Container(inner) if !rest.is_empty() => find_instance(inner, rest),
        _ if rest.is_empty() => Some(Instance::DataNode(data)),
        _ => None,
    }
}

#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Instance<'a> {
    DataNode(&'a DataNode),
    ListEntry(&'a DataTree),
}

/// The value of a leaf by the names on its way; keys are given for each list in turn.
pub fn leaf_by_names<'a>(schema: &Schema, fields: &'a DataTree, names: &[&str]) -> Option<&'a Scalar> {
    let mut at = None;
    let mut steps = Vec::new();
    for name in names {
        let id = schema.child(at, None, name)?;
        steps.push(PathStep { node: id, keys: Vec::new() });
        at = Some(id);
    }
    match find_instance(fields, &steps)? {
        Instance::DataNode(data) => data.scalar(),
        Instance::ListEntry(_) => None,
    }
}

/// Carries one edit out. On a fault the tree is as it was.
pub fn apply_edit(schema: &Schema, fields: &mut DataTree, edit: &Edit) -> Result<(), EditError> {
    let fault = |error: EditErrorKind, what: &str| {
        Err(EditError { error, path: edit.path.clone(), what: what.into() })
    };
    let Some(last) = edit.path.0.last() else {
        return match edit.op {
            EditOperation::Replace | EditOperation::Merge => {
                let Some(DataNode::Container(new)) = &edit.value else {
                    return fault(EditErrorKind::BadValue, "the top holds containers");
                };
                if edit.op == EditOperation::Replace {
                    *fields = new.clone();
                } else {
                    merge(fields, new);
                }
                Ok(())
            }
            EditOperation::Delete | EditOperation::Remove => {
                fields.clear();
                Ok(())
            }
            EditOperation::Create => fault(EditErrorKind::Exists, "the top exists"),
            EditOperation::AssertExists => Ok(()),
        };
    };
    let node = schema.node(last.node);
    if !node.config {
        return fault(EditErrorKind::NotWritable, "is state, which can't be written");
    }
    if schema.is_key(last.node) && edit.op != EditOperation::AssertExists {
        let told = edit.value.as_ref().and_then(DataNode::scalar);
        let above = &edit.path.0[..edit.path.0.len() - 1];
        let place = schema.keys(above.last().map_or(last.node, |step| step.node));
        let place = place.iter().position(|id| *id == last.node);
        let known = above.last().and_then(|step| step.keys.get(place?));
        if matches!(edit.op, EditOperation::Delete | EditOperation::Remove) || told != known {
            return fault(EditErrorKind::NotWritable, "is a key, which can't be changed");
        }
    }
    if matches!(node.kind, NodeKind::LeafList { .. }) && !last.keys.is_empty() {
        return apply_value(schema, fields, edit, last);
    }
    let there = find_instance(fields, &edit.path.0).is_some();
    match edit.op {
        EditOperation::Create if there => return fault(EditErrorKind::Exists, "exists already"),
        EditOperation::Delete | EditOperation::AssertExists if !there => {
            return fault(EditErrorKind::Missing, "does not exist")
        }
        EditOperation::Remove if !there => return Ok(()),
        EditOperation::AssertExists => return Ok(()),
        EditOperation::Delete | EditOperation::Remove => {
            remove(fields, &edit.path.0);
            return Ok(());
        }
        _ => {}
    }
    let value = match (&edit.value, &node.kind) {
        (Some(value), _) => value.clone(),
        (None, NodeKind::Container) => DataNode::Container(DataTree::new()),
        (None, NodeKind::List { .. }) => DataNode::List(BTreeMap::new()),
        (None, _) => return fault(EditErrorKind::BadValue, "has no value"),
    };
    let fits = match (&node.kind, &value) {
        (NodeKind::Container, DataNode::Container(_)) | (NodeKind::Leaf { .. }, DataNode::Leaf(_)) => true,
        (NodeKind::LeafList { .. }, DataNode::LeafList(_)) => true,
        (NodeKind::List { .. }, DataNode::List(_)) => true,
        (NodeKind::List { .. }, DataNode::Container(_)) => !last.keys.is_empty(),
        _ => false,
    };
    if !fits {
        return fault(EditErrorKind::BadValue, "can't hold such a value");
    }
    if edit.op == EditOperation::Replace && there {
        remove(fields, &edit.path.0);
    }
    let at = place(schema, fields, &edit.path.0);
    match (at, value) {
        (Place::ListEntry(entry), DataNode::Container(new)) => merge(entry, &new),
        (Place::ListEntry(_), _) => return fault(EditErrorKind::BadValue, "can't hold such a value"),
        (Place::Slot(holder, node), value) => match holder.get_mut(&node) {
            Some(old) => merge_data(old, &value),
            None => {
                holder.insert(node, value);
            }
        },
    }
    Ok(())
}

/// One value of a leaf-list, which its path names.
fn apply_value(
    schema: &Schema,
    fields: &mut DataTree,
    edit: &Edit,
    last: &PathStep,
) -> Result<(), EditError> {
    let fault = |error: EditErrorKind, what: &str| {
        Err(EditError { error, path: edit.path.clone(), what: what.to_string() })
    };
    let mut whole = edit.path.0.clone();
    whole.iter_mut().next_back().into_iter().for_each(|step| step.keys.clear());
    let mut values = match find_instance(fields, &whole) {
        Some(Instance::DataNode(DataNode::LeafList(values))) => values.clone(),
        _ => BTreeSet::new(),
    };
    let Some(value) = last.keys.first() else {
        return fault(EditErrorKind::BadValue, "names no value");
    };
    let there = values.contains(value);
    match edit.op {
        EditOperation::Create if there => return fault(EditErrorKind::Exists, "exists already"),
        EditOperation::Delete | EditOperation::AssertExists if !there => {
            return fault(EditErrorKind::Missing, "does not exist")
        }
        EditOperation::AssertExists => return Ok(()),
        EditOperation::Delete | EditOperation::Remove => values.remove(value),
        EditOperation::Merge | EditOperation::Replace | EditOperation::Create => values.insert(value.clone()),
    };
    if values.is_empty() {
        remove(fields, &whole);
    } else {
        put(schema, fields, &whole, DataNode::LeafList(values));
    }
    Ok(())
}

enum Place<'a> {
    ListEntry(&'a mut DataTree),
    Slot(&'a mut DataTree, NodeId),
}

/// Where the path leads, with entries and containers on the way made.
fn place<'a>(schema: &Schema, fields: &'a mut DataTree, path: &[PathStep]) -> Place<'a> {
    let Some((step, rest)) = path.split_first() else {
        return Place::ListEntry(fields);
    };
    // A tree of another shape than the path's is put right where the value is put.
    if !step.keys.is_empty() {
        if !matches!(fields.get(&step.node), Some(DataNode::List(_))) {
            fields.insert(step.node, DataNode::List(BTreeMap::new()));
        }
        if let Some(DataNode::List(entries)) = fields.get_mut(&step.node) {
            let keys = schema.keys(step.node);
            let fresh = || keys.iter().copied().zip(step.keys.iter().cloned().map(DataNode::Leaf)).collect();
            return place(schema, entries.entry(step.keys.clone()).or_insert_with(fresh), rest);
        }
        unreachable!("put there above");
    }
    if rest.is_empty() {
        return Place::Slot(fields, step.node);
    }
    if !matches!(fields.get(&step.node), Some(DataNode::Container(_))) {
        fields.insert(step.node, DataNode::Container(DataTree::new()));
    }
    match fields.get_mut(&step.node) {
        Some(DataNode::Container(inner)) => place(schema, inner, rest),
        _ => unreachable!("put there above"),
    }
}

/// Takes away what the path names, and containers and lists that are empty for it.
fn remove(fields: &mut DataTree, path: &[PathStep]) {
    let Some((step, rest)) = path.split_first() else { return };
    let Some(data) = fields.get_mut(&step.node) else { return };
    let empty = match data {
        DataNode::List(entries) if !step.keys.is_empty() => {
            if rest.is_empty() {
                entries.remove(&step.keys);
            } else if let Some(entry) = entries.get_mut(&step.keys) {
                remove(entry, rest);
            }
            entries.is_empty()
        }
        DataNode::Container(inner) if !rest.is_empty() => {
            remove(inner, rest);
            inner.is_empty()
        }
        _ => true,
    };
    if empty {
        fields.remove(&step.node);
    }
}

pub fn merge(into: &mut DataTree, from: &DataTree) {
    for (node, data) in from {
        match into.get_mut(node) {
            Some(old) => merge_data(old, data),
            None => {
                into.insert(*node, data.clone());
            }
        }
    }
}

fn merge_data(into: &mut DataNode, from: &DataNode) {
    match (into, from) {
        (DataNode::Container(old), DataNode::Container(new)) => merge(old, new),
        (DataNode::LeafList(old), DataNode::LeafList(new)) => old.extend(new.iter().cloned()),
        (DataNode::List(old), DataNode::List(new)) => {
            for (keys, fields) in new {
                match old.get_mut(keys) {
                    Some(entry) => merge(entry, fields),
                    None => {
                        old.insert(keys.clone(), fields.clone());
                    }
                }
            }
        }
        (into, from) => *into = from.clone(),
    }
}

/// Every leaf with its path. Containers that hold nothing are nothing.
pub fn leaves(fields: &DataTree) -> BTreeMap<Path, Scalar> {
    let mut found = BTreeMap::new();
    walk(fields, &Path::default(), &mut |path, value| {
        found.insert(path, value.clone());
    });
    found
}

fn walk(fields: &DataTree, at: &Path, each: &mut impl FnMut(Path, &Scalar)) {
    for (node, data) in fields {
        match data {
            DataNode::Leaf(value) => each(at.child(*node, Vec::new()), value),
            // A leaf-list's value is named by itself (RFC 7950, section 9.13).
            DataNode::LeafList(values) => {
                values.iter().for_each(|value| each(at.child(*node, vec![value.clone()]), value))
            }
            DataNode::Container(inner) => walk(inner, &at.child(*node, Vec::new()), each),
            DataNode::List(entries) => {
                entries.iter().for_each(|(keys, inner)| walk(inner, &at.child(*node, keys.clone()), each))
            }
        }
    }
}

/// What differs, in the order of the paths.
pub fn diff(before: &DataTree, after: &DataTree) -> Vec<Change> {
    let (old, new) = (leaves(before), leaves(after));
    let paths: BTreeSet<&Path> = old.keys().chain(new.keys()).collect();
    let changes = paths.into_iter().map(|path| Change {
        path: path.clone(),
        before: old.get(path).cloned(),
        after: new.get(path).cloned(),
    });
    changes.filter(|change| change.before != change.after).collect()
}

/// Carries changes out that were found between two other trees.
pub fn apply_changes(schema: &Schema, fields: &mut DataTree, changes: &[Change]) {
    for change in changes {
        let Some(last) = change.path.0.last() else { continue };
        let list = matches!(schema.node(last.node).kind, NodeKind::LeafList { .. });
        let steps = &change.path.0;
        if list {
            let above = &steps[..steps.len() - 1];
            let whole: Vec<PathStep> =
                above.iter().cloned().chain([PathStep { node: last.node, keys: Vec::new() }]).collect();
            let mut values = match find_instance(fields, &whole) {
                Some(Instance::DataNode(DataNode::LeafList(values))) => values.clone(),
                _ => BTreeSet::new(),
            };
            match (&change.before, &change.after) {
                (_, Some(value)) => values.insert(value.clone()),
                (Some(value), None) => values.remove(value),
                (None, None) => false,
            };
            if values.is_empty() {
                remove(fields, &whole);
            } else {
                put(schema, fields, &whole, DataNode::LeafList(values));
            }
            continue;
        }
        match &change.after {
            Some(value) => put(schema, fields, steps, DataNode::Leaf(value.clone())),
            // With its key the entry goes.
            None if schema.is_key(last.node) => remove(fields, &steps[..steps.len() - 1]),
            None => remove(fields, steps),
        }
    }
}

fn put(schema: &Schema, fields: &mut DataTree, path: &[PathStep], value: DataNode) {
    if let Place::Slot(holder, node) = place(schema, fields, path) {
        holder.insert(node, value);
    }
}

/// Puts data at a path, state or not, with what leads to it.
pub fn insert_at(schema: &Schema, fields: &mut DataTree, path: &Path, data: DataNode) {
    match (place(schema, fields, &path.0), data) {
        (Place::ListEntry(entry), DataNode::Container(inner)) => merge(entry, &inner),
        (Place::Slot(holder, node), data) => {
            holder.insert(node, data);
        }
        (Place::ListEntry(_), _) => {}
    }
}

/// The part that the pattern names, with what leads to it.
pub fn select_matching(fields: &DataTree, pattern: &Pattern) -> DataTree {
    select_below(fields, &pattern.0)
}

fn select_below(fields: &DataTree, steps: &[crate::path::PatternStep]) -> DataTree {
    let Some((step, rest)) = steps.split_first() else {
        return fields.clone();
    };
    let Some(data) = fields.get(&step.node) else {
        return DataTree::new();
    };
    let found = match data {
        DataNode::List(entries) => {
            let mut kept = BTreeMap::new();
            for (keys, inner) in entries.iter().filter(|(keys, _)| step.matches_keys(keys)) {
                let below = select_below(inner, rest);
                if rest.is_empty() || !below.is_empty() {
                    kept.insert(keys.clone(), below);
                }
            }
            (!kept.is_empty()).then_some(DataNode::List(kept))
        }
        DataNode::Container(inner) if !rest.is_empty() => {
            let below = select_below(inner, rest);
            (!below.is_empty()).then_some(DataNode::Container(below))
        }
        _ => rest.is_empty().then(|| data.clone()),
    };
    found.map(|data| DataTree::from([(step.node, data)])).unwrap_or_default()
}

/// Each instance that the pattern names, one path each; entries of a list come one by one. None: more than `most`.
pub fn instances_matching<'a>(
    fields: &'a DataTree,
    pattern: &Pattern,
    most: usize,
) -> Option<Vec<(Path, Instance<'a>)>> {
    let mut found = Vec::new();
    instances_below(fields, &pattern.0, &Path::default(), most, &mut found)?;
    Some(found)
}

fn instances_below<'a>(
    fields: &'a DataTree,
    steps: &[crate::path::PatternStep],
    at: &Path,
    most: usize,
    found: &mut Vec<(Path, Instance<'a>)>,
) -> Option<()> {
    let Some((step, rest)) = steps.split_first() else { return Some(()) };
    match fields.get(&step.node) {
        Some(DataNode::List(entries)) => {
            for (keys, inner) in entries.iter().filter(|(keys, _)| step.matches_keys(keys)) {
                let here = at.child(step.node, keys.clone());
                if rest.is_empty() {
                    found.push((here, Instance::ListEntry(inner)));
                } else {
                    instances_below(inner, rest, &here, most, found)?;
                }
            }
        }
        Some(DataNode::Container(inner)) if !rest.is_empty() => {
            instances_below(inner, rest, &at.child(step.node, Vec::new()), most, found)?;
        }
        Some(data) if rest.is_empty() => {
            found.push((at.child(step.node, Vec::new()), Instance::DataNode(data)))
        }
        _ => {}
    }
    (found.len() <= most).then_some(())
}

/// Keeps what `wanted` says of each leaf; entries and containers that hold nothing by then go. A key stays
/// where anything of its entry does.
pub fn retain_leaves(
    schema: &Schema,
    fields: &DataTree,
    at: &Path,
    wanted: &impl Fn(&Path) -> bool,
) -> DataTree {
    let mut kept = DataTree::new();
    for (node, data) in fields {
        let here = at.child(*node, Vec::new());
        match data {
            DataNode::Leaf(_) | DataNode::LeafList(_) => {
                if wanted(&here) {
                    kept.insert(*node, data.clone());
                }
            }
            DataNode::Container(inner) => {
                let inner = retain_leaves(schema, inner, &here, wanted);
                if !inner.is_empty() {
                    kept.insert(*node, DataNode::Container(inner));
                }
            }
            DataNode::List(entries) => {
                let mut left = BTreeMap::new();
                for (keys, inner) in entries {
                    let mut inside = retain_leaves(schema, inner, &at.child(*node, keys.clone()), wanted);
                    if !inside.is_empty() {
                        for key in schema.keys(*node) {
                            if let Some(value) = inner.get(key) {
                                inside.insert(*key, value.clone());
                            }
                        }
                        left.insert(keys.clone(), inside);
                    }
                }
                if !left.is_empty() {
                    kept.insert(*node, DataNode::List(left));
                }
            }
        }
    }
    kept
}

/// With every default that is not overridden, in containers and in entries that stand (RFC 6243, report-all).
/// `config`: only what can be written.
pub fn with_defaults(schema: &Schema, fields: &DataTree, config: bool) -> DataTree {
    fill(schema, fields, schema.roots(), config)
}

fn fill(schema: &Schema, fields: &DataTree, children: &[NodeId], config: bool) -> DataTree {
    let mut full = fields.clone();
    for id in children {
        let node = schema.node(*id);
        if config && !node.config {
            continue;
        }
        match (&node.kind, full.get(id)) {
            (NodeKind::Leaf { default: Some(default), .. }, None) if node.config => {
                full.insert(*id, DataNode::Leaf(default.clone()));
            }
            (NodeKind::Container, there) if node.config || there.is_some() => {
                let empty = DataTree::new();
                let inner = there.and_then(DataNode::fields).unwrap_or(&empty);
                let inner = fill(schema, inner, &node.children, config);
                if !inner.is_empty() {
                    full.insert(*id, DataNode::Container(inner));
                }
            }
            (NodeKind::List { .. }, Some(DataNode::List(entries))) => {
                let filled = entries
                    .iter()
                    .map(|(keys, inner)| (keys.clone(), fill(schema, inner, &node.children, config)));
                let filled = DataNode::List(filled.collect());
                full.insert(*id, filled);
            }
            _ => {}
        }
    }
    full
}

/// Without values that equal their default (RFC 6243, trim).
pub fn without_defaults(schema: &Schema, fields: &DataTree) -> DataTree {
    let mut left = DataTree::new();
    for (id, data) in fields {
        match data {
            DataNode::Leaf(value) if schema.default_of(*id) == Some(value) => {}
            DataNode::Container(inner) => {
                let inner = without_defaults(schema, inner);
                if !inner.is_empty() {
                    left.insert(*id, DataNode::Container(inner));
                }
            }
            DataNode::List(entries) => {
                let entries =
                    entries.iter().map(|(keys, inner)| (keys.clone(), without_defaults(schema, inner)));
                left.insert(*id, DataNode::List(entries.collect()));
            }
            _ => {
                left.insert(*id, data.clone());
            }
        }
    }
    left
}

/// What the model demands of a whole tree: mandatory leaves, and how many entries may stand.
pub fn check_constraints(schema: &Schema, fields: &DataTree, at: &Path) -> Result<(), EditError> {
    let fault = |path: &Path, error: EditErrorKind, what: String| {
        let what = format!("{}: {what}", path.to_text(schema));
        Err(EditError { error, path: path.clone(), what })
    };
    for (id, data) in fields {
        let here = at.child(*id, Vec::new());
        let (least, most, have) = match (&schema.node(*id).kind, data) {
            (NodeKind::List { least, most, .. }, DataNode::List(entries)) => {
                (*least, *most, entries.len() as u64)
            }
            (NodeKind::LeafList { least, most, .. }, DataNode::LeafList(values)) => {
                (*least, *most, values.len() as u64)
            }
            _ => (0, u64::MAX, 0),
        };
        if have < least || have > most {
            return fault(
                &here,
                EditErrorKind::BadValue,
                format!("{have} entries, from {least} to {most} may be"),
            );
        }
        match data {
            DataNode::Container(inner) => check_constraints(schema, inner, &here)?,
            DataNode::List(entries) => {
                for (keys, inner) in entries {
                    let entry = at.child(*id, keys.clone());
                    for child in &schema.node(*id).children {
                        let wanted = match &schema.node(*child).kind {
                            NodeKind::Leaf { mandatory, .. } => *mandatory,
                            NodeKind::LeafList { least, .. } => *least > 0,
                            _ => false,
                        };
                        if wanted && !inner.contains_key(child) {
                            let what = format!("{} is missing", schema.node(*child).name);
                            return fault(&entry, EditErrorKind::Missing, what);
                        }
                    }
                    check_constraints(schema, inner, &entry)?;
                }
            }
            _ => {}
        }
    }
    Ok(())
}
