//! Trees of values, what changes them, and how two of them differ.

use crate::path::{Path, Pattern, Step};
use crate::schema::{Kind, NodeId, Schema};
use crate::types::{Keys, Scalar};
use std::collections::{BTreeMap, BTreeSet};
use std::fmt;

/// The values below one node, by child.
pub type Fields = BTreeMap<NodeId, Data>;

#[derive(Clone, Debug, PartialEq)]
pub enum Data {
    Leaf(Scalar),
    LeafList(BTreeSet<Scalar>),
    Container(Fields),
    /// Entries by key; the keys stand among an entry's fields too.
    List(BTreeMap<Keys, Fields>),
}

/// What is done to one node (RFC 6241, section 7.2).
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Op {
    Merge,
    Replace,
    Create,
    Delete,
    Remove,
    /// Nothing is done, but it must be there: default-operation none.
    Expect,
}

#[derive(Clone, Debug, PartialEq)]
pub struct Edit {
    pub path: Path,
    pub op: Op,
    /// What is merged, put or created; none for the other operations.
    pub value: Option<Data>,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EditError {
    /// Created, and there already; deleted or expected, and not there.
    Exists,
    Missing,
    /// State, or a key, can't be written; the value can't stand there.
    NotWritable,
    BadValue,
}

#[derive(Clone, Debug, PartialEq)]
pub struct EditFault {
    pub error: EditError,
    pub path: Path,
    pub what: String,
}

impl fmt::Display for EditFault {
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
    pub fn text(&self, schema: &Schema) -> String {
        let value = |value: &Option<Scalar>| value.as_ref().map_or("-".to_string(), Scalar::to_string);
        let line = format!("{}: {} -> {}", self.path.text(schema), value(&self.before), value(&self.after));
        line.replace(['\n', '\r'], " ")
    }
}

impl Data {
    pub fn fields(&self) -> Option<&Fields> {
        match self {
            Data::Container(fields) => Some(fields),
            _ => None,
        }
    }

    pub fn scalar(&self) -> Option<&Scalar> {
        match self {
            Data::Leaf(value) => Some(value),
            _ => None,
        }
    }

    /// Values and entries, as a bound on what a tree takes.
    pub fn count(&self) -> usize {
        match self {
            Data::Leaf(_) => 1,
            Data::LeafList(values) => values.len(),
            Data::Container(fields) => count(fields),
            Data::List(entries) => entries.values().map(|fields| 1 + count(fields)).sum(),
        }
    }
}

pub fn count(fields: &Fields) -> usize {
    fields.values().map(Data::count).sum()
}

/// What the path names; the whole list where its last step has no keys.
pub fn get<'a>(fields: &'a Fields, path: &[Step]) -> Option<Found<'a>> {
    let (step, rest) = path.split_first()?;
    let data = fields.get(&step.node)?;
    match data {
        Data::List(entries) if !step.keys.is_empty() => {
            let entry = entries.get(&step.keys)?;
            if rest.is_empty() {
                Some(Found::Entry(entry))
            } else {
                get(entry, rest)
            }
        }
        Data::Container(inner) if !rest.is_empty() => get(inner, rest),
        _ if rest.is_empty() => Some(Found::Data(data)),
        _ => None,
    }
}

#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Found<'a> {
    Data(&'a Data),
    Entry(&'a Fields),
}

/// The value of a leaf by the names on its way; keys are given for each list in turn.
pub fn leaf<'a>(schema: &Schema, fields: &'a Fields, names: &[&str]) -> Option<&'a Scalar> {
    let mut at = None;
    let mut steps = Vec::new();
    for name in names {
        let id = schema.child(at, None, name)?;
        steps.push(Step { node: id, keys: Vec::new() });
        at = Some(id);
    }
    match get(fields, &steps)? {
        Found::Data(data) => data.scalar(),
        Found::Entry(_) => None,
    }
}

/// Carries one edit out. On a fault the tree is as it was.
pub fn apply(schema: &Schema, fields: &mut Fields, edit: &Edit) -> Result<(), EditFault> {
    let fault =
        |error: EditError, what: &str| Err(EditFault { error, path: edit.path.clone(), what: what.into() });
    let Some(last) = edit.path.0.last() else {
        return match edit.op {
            Op::Replace | Op::Merge => {
                let Some(Data::Container(new)) = &edit.value else {
                    return fault(EditError::BadValue, "the top holds containers");
                };
                if edit.op == Op::Replace {
                    *fields = new.clone();
                } else {
                    merge(fields, new);
                }
                Ok(())
            }
            Op::Delete | Op::Remove => {
                fields.clear();
                Ok(())
            }
            Op::Create => fault(EditError::Exists, "the top exists"),
            Op::Expect => Ok(()),
        };
    };
    let node = schema.node(last.node);
    if !node.config {
        return fault(EditError::NotWritable, "is state, which can't be written");
    }
    if schema.is_key(last.node) && edit.op != Op::Expect {
        let told = edit.value.as_ref().and_then(Data::scalar);
        let above = &edit.path.0[..edit.path.0.len() - 1];
        let place = schema.keys(above.last().map_or(last.node, |step| step.node));
        let place = place.iter().position(|id| *id == last.node);
        let known = above.last().and_then(|step| step.keys.get(place?));
        if matches!(edit.op, Op::Delete | Op::Remove) || told != known {
            return fault(EditError::NotWritable, "is a key, which can't be changed");
        }
    }
    if matches!(node.kind, Kind::LeafList { .. }) && !last.keys.is_empty() {
        return apply_value(schema, fields, edit, last);
    }
    let there = get(fields, &edit.path.0).is_some();
    match edit.op {
        Op::Create if there => return fault(EditError::Exists, "exists already"),
        Op::Delete | Op::Expect if !there => return fault(EditError::Missing, "does not exist"),
        Op::Remove if !there => return Ok(()),
        Op::Expect => return Ok(()),
        Op::Delete | Op::Remove => {
            remove(fields, &edit.path.0);
            return Ok(());
        }
        _ => {}
    }
    let value = match (&edit.value, &node.kind) {
        (Some(value), _) => value.clone(),
        (None, Kind::Container) => Data::Container(Fields::new()),
        (None, Kind::List { .. }) => Data::List(BTreeMap::new()),
        (None, _) => return fault(EditError::BadValue, "has no value"),
    };
    let fits = match (&node.kind, &value) {
        (Kind::Container, Data::Container(_)) | (Kind::Leaf { .. }, Data::Leaf(_)) => true,
        (Kind::LeafList { .. }, Data::LeafList(_)) => true,
        (Kind::List { .. }, Data::List(_)) => true,
        (Kind::List { .. }, Data::Container(_)) => !last.keys.is_empty(),
        _ => false,
    };
    if !fits {
        return fault(EditError::BadValue, "can't hold such a value");
    }
    if edit.op == Op::Replace && there {
        remove(fields, &edit.path.0);
    }
    let at = place(schema, fields, &edit.path.0);
    match (at, value) {
        (Place::Entry(entry), Data::Container(new)) => merge(entry, &new),
        (Place::Entry(_), _) => return fault(EditError::BadValue, "can't hold such a value"),
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
fn apply_value(schema: &Schema, fields: &mut Fields, edit: &Edit, last: &Step) -> Result<(), EditFault> {
    let fault = |error: EditError, what: &str| {
        Err(EditFault { error, path: edit.path.clone(), what: what.to_string() })
    };
    let mut whole = edit.path.0.clone();
    whole.iter_mut().next_back().into_iter().for_each(|step| step.keys.clear());
    let mut values = match get(fields, &whole) {
        Some(Found::Data(Data::LeafList(values))) => values.clone(),
        _ => BTreeSet::new(),
    };
    let Some(value) = last.keys.first() else {
        return fault(EditError::BadValue, "names no value");
    };
    let there = values.contains(value);
    match edit.op {
        Op::Create if there => return fault(EditError::Exists, "exists already"),
        Op::Delete | Op::Expect if !there => return fault(EditError::Missing, "does not exist"),
        Op::Expect => return Ok(()),
        Op::Delete | Op::Remove => values.remove(value),
        Op::Merge | Op::Replace | Op::Create => values.insert(value.clone()),
    };
    if values.is_empty() {
        remove(fields, &whole);
    } else {
        put(schema, fields, &whole, Data::LeafList(values));
    }
    Ok(())
}

enum Place<'a> {
    Entry(&'a mut Fields),
    Slot(&'a mut Fields, NodeId),
}

/// Where the path leads, with entries and containers on the way made.
fn place<'a>(schema: &Schema, fields: &'a mut Fields, path: &[Step]) -> Place<'a> {
    let Some((step, rest)) = path.split_first() else {
        return Place::Entry(fields);
    };
    // A tree of another shape than the path's is put right where the value is put.
    if !step.keys.is_empty() {
        if !matches!(fields.get(&step.node), Some(Data::List(_))) {
            fields.insert(step.node, Data::List(BTreeMap::new()));
        }
        if let Some(Data::List(entries)) = fields.get_mut(&step.node) {
            let keys = schema.keys(step.node);
            let fresh = || keys.iter().copied().zip(step.keys.iter().cloned().map(Data::Leaf)).collect();
            return place(schema, entries.entry(step.keys.clone()).or_insert_with(fresh), rest);
        }
        unreachable!("put there above");
    }
    if rest.is_empty() {
        return Place::Slot(fields, step.node);
    }
    if !matches!(fields.get(&step.node), Some(Data::Container(_))) {
        fields.insert(step.node, Data::Container(Fields::new()));
    }
    match fields.get_mut(&step.node) {
        Some(Data::Container(inner)) => place(schema, inner, rest),
        _ => unreachable!("put there above"),
    }
}

/// Takes away what the path names, and containers and lists that are empty for it.
fn remove(fields: &mut Fields, path: &[Step]) {
    let Some((step, rest)) = path.split_first() else { return };
    let Some(data) = fields.get_mut(&step.node) else { return };
    let empty = match data {
        Data::List(entries) if !step.keys.is_empty() => {
            if rest.is_empty() {
                entries.remove(&step.keys);
            } else if let Some(entry) = entries.get_mut(&step.keys) {
                remove(entry, rest);
            }
            entries.is_empty()
        }
        Data::Container(inner) if !rest.is_empty() => {
            remove(inner, rest);
            inner.is_empty()
        }
        _ => true,
    };
    if empty {
        fields.remove(&step.node);
    }
}

pub fn merge(into: &mut Fields, from: &Fields) {
    for (node, data) in from {
        match into.get_mut(node) {
            Some(old) => merge_data(old, data),
            None => {
                into.insert(*node, data.clone());
            }
        }
    }
}

fn merge_data(into: &mut Data, from: &Data) {
    match (into, from) {
        (Data::Container(old), Data::Container(new)) => merge(old, new),
        (Data::LeafList(old), Data::LeafList(new)) => old.extend(new.iter().cloned()),
        (Data::List(old), Data::List(new)) => {
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
pub fn leaves(fields: &Fields) -> BTreeMap<Path, Scalar> {
    let mut found = BTreeMap::new();
    walk(fields, &Path::default(), &mut |path, value| {
        found.insert(path, value.clone());
    });
    found
}

fn walk(fields: &Fields, at: &Path, each: &mut impl FnMut(Path, &Scalar)) {
    for (node, data) in fields {
        match data {
            Data::Leaf(value) => each(at.then(*node, Vec::new()), value),
            // A leaf-list's value is named by itself (RFC 7950, section 9.13).
            Data::LeafList(values) => {
                values.iter().for_each(|value| each(at.then(*node, vec![value.clone()]), value))
            }
            Data::Container(inner) => walk(inner, &at.then(*node, Vec::new()), each),
            Data::List(entries) => {
                entries.iter().for_each(|(keys, inner)| walk(inner, &at.then(*node, keys.clone()), each))
            }
        }
    }
}

/// What differs, in the order of the paths.
pub fn differences(before: &Fields, after: &Fields) -> Vec<Change> {
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
pub fn replay(schema: &Schema, fields: &mut Fields, changes: &[Change]) {
    for change in changes {
        let Some(last) = change.path.0.last() else { continue };
        let list = matches!(schema.node(last.node).kind, Kind::LeafList { .. });
        let steps = &change.path.0;
        if list {
            let above = &steps[..steps.len() - 1];
            let whole: Vec<Step> =
                above.iter().cloned().chain([Step { node: last.node, keys: Vec::new() }]).collect();
            let mut values = match get(fields, &whole) {
                Some(Found::Data(Data::LeafList(values))) => values.clone(),
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
                put(schema, fields, &whole, Data::LeafList(values));
            }
            continue;
        }
        match &change.after {
            Some(value) => put(schema, fields, steps, Data::Leaf(value.clone())),
            // With its key the entry goes.
            None if schema.is_key(last.node) => remove(fields, &steps[..steps.len() - 1]),
            None => remove(fields, steps),
        }
    }
}

fn put(schema: &Schema, fields: &mut Fields, path: &[Step], value: Data) {
    if let Place::Slot(holder, node) = place(schema, fields, path) {
        holder.insert(node, value);
    }
}

/// Puts data at a path, state or not, with what leads to it.
pub fn place_at(schema: &Schema, fields: &mut Fields, path: &Path, data: Data) {
    match (place(schema, fields, &path.0), data) {
        (Place::Entry(entry), Data::Container(inner)) => merge(entry, &inner),
        (Place::Slot(holder, node), data) => {
            holder.insert(node, data);
        }
        (Place::Entry(_), _) => {}
    }
}

/// The part that the pattern names, with what leads to it.
pub fn select(fields: &Fields, pattern: &Pattern) -> Fields {
    select_below(fields, &pattern.0)
}

fn select_below(fields: &Fields, steps: &[crate::path::Loose]) -> Fields {
    let Some((step, rest)) = steps.split_first() else {
        return fields.clone();
    };
    let Some(data) = fields.get(&step.node) else {
        return Fields::new();
    };
    let found = match data {
        Data::List(entries) => {
            let mut kept = BTreeMap::new();
            for (keys, inner) in entries.iter().filter(|(keys, _)| step.fits_keys(keys)) {
                let below = select_below(inner, rest);
                if rest.is_empty() || !below.is_empty() {
                    kept.insert(keys.clone(), below);
                }
            }
            (!kept.is_empty()).then_some(Data::List(kept))
        }
        Data::Container(inner) if !rest.is_empty() => {
            let below = select_below(inner, rest);
            (!below.is_empty()).then_some(Data::Container(below))
        }
        _ => rest.is_empty().then(|| data.clone()),
    };
    found.map(|data| Fields::from([(step.node, data)])).unwrap_or_default()
}

/// Each instance that the pattern names, one path each; entries of a list come one by one. None: more than `most`.
pub fn instances<'a>(fields: &'a Fields, pattern: &Pattern, most: usize) -> Option<Vec<(Path, Found<'a>)>> {
    let mut found = Vec::new();
    instances_below(fields, &pattern.0, &Path::default(), most, &mut found)?;
    Some(found)
}

fn instances_below<'a>(
    fields: &'a Fields,
    steps: &[crate::path::Loose],
    at: &Path,
    most: usize,
    found: &mut Vec<(Path, Found<'a>)>,
) -> Option<()> {
    let Some((step, rest)) = steps.split_first() else { return Some(()) };
    match fields.get(&step.node) {
        Some(Data::List(entries)) => {
            for (keys, inner) in entries.iter().filter(|(keys, _)| step.fits_keys(keys)) {
                let here = at.then(step.node, keys.clone());
                if rest.is_empty() {
                    found.push((here, Found::Entry(inner)));
                } else {
                    instances_below(inner, rest, &here, most, found)?;
                }
            }
        }
        Some(Data::Container(inner)) if !rest.is_empty() => {
            instances_below(inner, rest, &at.then(step.node, Vec::new()), most, found)?;
        }
        Some(data) if rest.is_empty() => found.push((at.then(step.node, Vec::new()), Found::Data(data))),
        _ => {}
    }
    (found.len() <= most).then_some(())
}

/// Keeps what `wanted` says of each leaf; entries and containers that hold nothing by then go. A key stays
/// where anything of its entry does.
pub fn prune(schema: &Schema, fields: &Fields, at: &Path, wanted: &impl Fn(&Path) -> bool) -> Fields {
    let mut kept = Fields::new();
    for (node, data) in fields {
        let here = at.then(*node, Vec::new());
        match data {
            Data::Leaf(_) | Data::LeafList(_) => {
                if wanted(&here) {
                    kept.insert(*node, data.clone());
                }
            }
            Data::Container(inner) => {
                let inner = prune(schema, inner, &here, wanted);
                if !inner.is_empty() {
                    kept.insert(*node, Data::Container(inner));
                }
            }
            Data::List(entries) => {
                let mut left = BTreeMap::new();
                for (keys, inner) in entries {
                    let mut inside = prune(schema, inner, &at.then(*node, keys.clone()), wanted);
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
                    kept.insert(*node, Data::List(left));
                }
            }
        }
    }
    kept
}

/// With every default that is not overridden, in containers and in entries that stand (RFC 6243, report-all).
/// `config`: only what can be written.
pub fn with_defaults(schema: &Schema, fields: &Fields, config: bool) -> Fields {
    fill(schema, fields, schema.roots(), config)
}

fn fill(schema: &Schema, fields: &Fields, children: &[NodeId], config: bool) -> Fields {
    let mut full = fields.clone();
    for id in children {
        let node = schema.node(*id);
        if config && !node.config {
            continue;
        }
        match (&node.kind, full.get(id)) {
            (Kind::Leaf { default: Some(default), .. }, None) if node.config => {
                full.insert(*id, Data::Leaf(default.clone()));
            }
            (Kind::Container, there) if node.config || there.is_some() => {
                let empty = Fields::new();
                let inner = there.and_then(Data::fields).unwrap_or(&empty);
                let inner = fill(schema, inner, &node.children, config);
                if !inner.is_empty() {
                    full.insert(*id, Data::Container(inner));
                }
            }
            (Kind::List { .. }, Some(Data::List(entries))) => {
                let filled = entries
                    .iter()
                    .map(|(keys, inner)| (keys.clone(), fill(schema, inner, &node.children, config)));
                let filled = Data::List(filled.collect());
                full.insert(*id, filled);
            }
            _ => {}
        }
    }
    full
}

/// Without values that equal their default (RFC 6243, trim).
pub fn without_defaults(schema: &Schema, fields: &Fields) -> Fields {
    let mut left = Fields::new();
    for (id, data) in fields {
        match data {
            Data::Leaf(value) if schema.default_of(*id) == Some(value) => {}
            Data::Container(inner) => {
                let inner = without_defaults(schema, inner);
                if !inner.is_empty() {
                    left.insert(*id, Data::Container(inner));
                }
            }
            Data::List(entries) => {
                let entries =
                    entries.iter().map(|(keys, inner)| (keys.clone(), without_defaults(schema, inner)));
                left.insert(*id, Data::List(entries.collect()));
            }
            _ => {
                left.insert(*id, data.clone());
            }
        }
    }
    left
}

/// What the model demands of a whole tree: mandatory leaves, and how many entries may stand.
pub fn check(schema: &Schema, fields: &Fields, at: &Path) -> Result<(), EditFault> {
    let fault = |path: &Path, error: EditError, what: String| {
        let what = format!("{}: {what}", path.text(schema));
        Err(EditFault { error, path: path.clone(), what })
    };
    for (id, data) in fields {
        let here = at.then(*id, Vec::new());
        let (least, most, have) = match (&schema.node(*id).kind, data) {
            (Kind::List { least, most, .. }, Data::List(entries)) => (*least, *most, entries.len() as u64),
            (Kind::LeafList { least, most, .. }, Data::LeafList(values)) => {
                (*least, *most, values.len() as u64)
            }
            _ => (0, u64::MAX, 0),
        };
        if have < least || have > most {
            return fault(
                &here,
                EditError::BadValue,
                format!("{have} entries, from {least} to {most} may be"),
            );
        }
        match data {
            Data::Container(inner) => check(schema, inner, &here)?,
            Data::List(entries) => {
                for (keys, inner) in entries {
                    let entry = at.then(*id, keys.clone());
                    for child in &schema.node(*id).children {
                        let wanted = match &schema.node(*child).kind {
                            Kind::Leaf { mandatory, .. } => *mandatory,
                            Kind::LeafList { least, .. } => *least > 0,
                            _ => false,
                        };
                        if wanted && !inner.contains_key(child) {
                            let what = format!("{} is missing", schema.node(*child).name);
                            return fault(&entry, EditError::Missing, what);
                        }
                    }
                    check(schema, inner, &entry)?;
                }
            }
            _ => {}
        }
    }
    Ok(())
}
