//! Identifiers of data nodes: a [`Path`] identifies one instance. A [`Pattern`] may leave list keys open and also
//! matches every descendant of the nodes that it identifies.
//!
//! The text is that of an instance identifier (RFC 7951, section 6.11), as in
//! `/rockflow-router:router/marks/mark[host='c1']/state`. A step without a module prefix matches a node of that name in
//! any module.

use crate::error::PathError;
use crate::schema::{NodeId, NodeKind, Schema};
use crate::types::{KeyValues, Scalar};

/// Maximum number of steps in a path.
pub const MAX_STEPS: usize = 32;
/// Maximum length of a path's text in bytes.
pub const MAX_TEXT: usize = 4096;

/// One step of a path.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct PathStep {
    /// The schema node of this step.
    pub node: NodeId,
    /// The key values of a list entry, or the single value of a leaf-list. Empty for every other node, and where the
    /// step stands for a whole list or leaf-list.
    pub keys: KeyValues,
}

/// An instance identifier: the steps from the root of the tree to one data node. Without steps it identifies the whole
/// tree.
#[derive(Clone, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Path(pub Vec<PathStep>);

impl Path {
    /// Parses the path of one instance. Every list on the path needs all of its keys, except that the last step may be
    /// a whole list. The last step may also be a single value of a leaf-list.
    pub fn parse(schema: &Schema, text: &str) -> Result<Path, PathError> {
        let pattern = Pattern::parse(schema, text)?;
        let last = pattern.0.len().saturating_sub(1);
        let mut steps = Vec::new();
        for (position, PatternStep { node, keys }) in pattern.0.into_iter().enumerate() {
            let is_whole_list = position == last && keys.iter().all(Option::is_none);
            let keys = if is_whole_list { Some(Vec::new()) } else { keys.into_iter().collect() };
            let keys = keys.ok_or_else(|| PathError::OpenKey { path: text.to_string() })?;
            steps.push(PathStep { node, keys });
        }
        Ok(Path(steps))
    }

    /// This path, extended by one step.
    pub fn child(&self, node: NodeId, keys: KeyValues) -> Path {
        let mut steps = self.0.clone();
        steps.push(PathStep { node, keys });
        Path(steps)
    }

    /// The schema node of the last step; `None` for the whole tree.
    pub fn node(&self) -> Option<NodeId> {
        self.0.last().map(|step| step.node)
    }

    /// Whether `other` equals this path or is below it.
    pub fn contains(&self, other: &Path) -> bool {
        other.0.len() >= self.0.len() && self.0.iter().zip(&other.0).all(|(own, theirs)| own == theirs)
    }

    /// The instance identifier in text form; `/` for the whole tree.
    pub fn to_text(&self, schema: &Schema) -> String {
        let mut text = String::new();
        for step in &self.0 {
            text += &format!("/{}", schema.qualified_name(step.node));
            for (key, value) in schema.keys(step.node).iter().zip(&step.keys) {
                text += &format!("[{}={}]", schema.node(*key).name, quote(&value.to_string()));
            }
            if let (NodeKind::LeafList { .. }, Some(value)) =
                (&schema.node(step.node).kind, step.keys.first())
            {
                text += &format!("[.={}]", quote(&value.to_string()));
            }
        }
        if text.is_empty() {
            text.push('/');
        }
        text
    }
}

/// One step of a pattern.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PatternStep {
    /// The schema node of this step.
    pub node: NodeId,
    /// The required key values of a list entry, in the order of the list's keys. `None` matches any value.
    pub keys: Vec<Option<Scalar>>,
}

/// A path that may have open keys. It matches every instance that its steps identify, and all of their descendants.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Pattern(pub Vec<PatternStep>);

impl Pattern {
    /// Parses a pattern. A key whose value is `*`, or that is not given, is open.
    pub fn parse(schema: &Schema, text: &str) -> Result<Pattern, PathError> {
        if text.len() > MAX_TEXT {
            return Err(PathError::TooLong);
        }
        let mut rest = text.trim();
        let mut steps: Vec<PatternStep> = Vec::new();
        if rest == "/" {
            return Ok(Pattern(steps));
        }
        while !rest.is_empty() {
            rest = rest.strip_prefix('/').ok_or_else(|| PathError::NoSlash { path: text.to_string() })?;
            if steps.len() >= MAX_STEPS {
                return Err(PathError::TooManySteps);
            }
            let end = rest.find(['/', '[']).unwrap_or(rest.len());
            let (name, after_name) = rest.split_at(end);
            rest = after_name;
            let mut predicates = Vec::new();
            while let Some(inner) = rest.strip_prefix('[') {
                let predicate = Predicate::parse(inner);
                let predicate =
                    predicate.ok_or_else(|| PathError::BadPredicate { path: text.to_string() })?;
                rest = predicate.rest;
                predicates.push((predicate.key, predicate.value));
            }
            steps.push(PatternStep::parse(schema, steps.last(), name, predicates.into_iter())?);
        }
        Ok(Pattern(steps))
    }

    /// The pattern that matches one instance and its descendants.
    pub fn from_path(path: &Path) -> Pattern {
        let with_keys = |step: &PathStep| PatternStep {
            node: step.node,
            keys: step.keys.iter().cloned().map(Some).collect(),
        };
        Pattern(path.0.iter().map(with_keys).collect())
    }

    /// Whether the pattern matches the path or one of its ancestors.
    pub fn matches(&self, path: &Path) -> bool {
        path.0.len() >= self.0.len()
            && self.0.iter().zip(&path.0).all(|(pattern_step, path_step)| pattern_step.matches(path_step))
    }

    /// The schema node of the last step; `None` for a pattern without steps.
    pub fn node(&self) -> Option<NodeId> {
        self.0.last().map(|step| step.node)
    }
}

impl PatternStep {
    /// Builds a step from a node's name and the given key values. A key whose value is `*`, or that is not given, is
    /// open. `parent` is the previous step; `None` for a node at the top level.
    pub fn parse<'a>(
        schema: &Schema,
        parent: Option<&PatternStep>,
        name: &str,
        key_values: impl Iterator<Item = (&'a str, &'a str)>,
    ) -> Result<PatternStep, PathError> {
        let step = || name.to_string();
        let (module, plain) = match name.split_once(':') {
            Some((module, plain)) => {
                let module = schema.module_by_name(module);
                (Some(module.ok_or_else(|| PathError::NoSuchModule { step: step() })?), plain)
            }
            None => (None, name),
        };
        let node = schema.child(parent.map(|parent| parent.node), module, plain);
        let node = node.ok_or_else(|| PathError::NoSuchNode { step: step() })?;
        let key_nodes = schema.keys(node);
        let mut keys = vec![None; key_nodes.len()];
        for (key, text) in key_values {
            // A leaf-list entry is identified by its own value (RFC 7950, section 9.13).
            if let (".", NodeKind::LeafList { value_type, .. }) = (key, &schema.node(node).kind) {
                let value = value_type.parse(text);
                let value = value.map_err(|source| PathError::LeafListValue { step: step(), source })?;
                keys = vec![Some(value)];
                continue;
            }
            let plain = key.split_once(':').map_or(key, |(_, plain)| plain);
            let position = key_nodes.iter().position(|id| schema.node(*id).name == plain);
            let no_such_key = || PathError::NoSuchKey { step: step(), key: key.to_string() };
            let position = position.ok_or_else(no_such_key)?;
            if text != "*" {
                let key_type = schema.type_of(key_nodes[position]).ok_or(PathError::KeyWithoutType)?;
                let invalid_value =
                    |source| PathError::KeyValue { step: step(), key: key.to_string(), source };
                keys[position] = Some(key_type.parse(text).map_err(invalid_value)?);
            }
        }
        Ok(PatternStep { node, keys })
    }

    /// Whether the step matches a list entry with these key values.
    pub fn matches_keys(&self, keys: &[Scalar]) -> bool {
        let is_match =
            |(wanted, key): (&Option<Scalar>, &Scalar)| wanted.as_ref().is_none_or(|wanted| wanted == key);
        self.keys.iter().zip(keys).all(is_match)
    }

    fn matches(&self, step: &PathStep) -> bool {
        self.node == step.node && self.matches_keys(&step.keys)
    }
}

/// A key predicate of a step, and the text that follows its closing bracket.
struct Predicate<'a> {
    key: &'a str,
    value: &'a str,
    rest: &'a str,
}

impl Predicate<'_> {
    /// Parses the text after an opening bracket, as in `key='value']...`. `None` for a malformed predicate.
    fn parse(text: &str) -> Option<Predicate<'_>> {
        let (key, rest) = text.split_once('=')?;
        let rest = rest.trim_start();
        let (value, rest) = match rest.chars().next()? {
            quote @ ('\'' | '"') => {
                let (value, rest) = rest[1..].split_once(quote)?;
                (value, rest.trim_start().strip_prefix(']')?)
            }
            _ => rest.split_once(']')?,
        };
        Some(Predicate { key: key.trim(), value: value.trim(), rest })
    }
}

fn quote(value: &str) -> String {
    if value.contains('\'') {
        format!("\"{value}\"")
    } else {
        format!("'{value}'")
    }
}
