//! Names of values: a `Path` is one instance, a `Pattern` may leave keys open, or end in anything below.
//! The text is that of an instance identifier (RFC 7951, section 6.11): `/rockflow-router:router/marks/
//! mark[host='c1']/state`. Steps without a module are looked for by their plain name.

use crate::schema::{NodeId, NodeKind, Schema};
use crate::types::{KeyValues, Scalar};

/// More steps than any path of a model here can have.
pub const MAX_STEPS: usize = 32;
/// The longest text of a path that is read.
pub const MAX_TEXT: usize = 4096;

/// One node on the way; the keys are empty but at a list's entry.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct PathStep {
    pub node: NodeId,
    pub keys: KeyValues,
}

#[derive(Clone, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Path(pub Vec<PathStep>);

/// One node on the way, with each key told or left open.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PatternStep {
    pub node: NodeId,
    pub keys: Vec<Option<Scalar>>,
}

/// Where a pattern leads: along told nodes, each then with all that lies below it.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Pattern(pub Vec<PatternStep>);

impl Path {
    pub fn child(&self, node: NodeId, keys: KeyValues) -> Path {
        let mut steps = self.0.clone();
        steps.push(PathStep { node, keys });
        Path(steps)
    }

    pub fn node(&self) -> Option<NodeId> {
        self.0.last().map(|step| step.node)
    }

    /// Whether the other is this one or lies below it.
    pub fn contains(&self, other: &Path) -> bool {
        other.0.len() >= self.0.len() && self.0.iter().zip(&other.0).all(|(mine, its)| mine == its)
    }

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

    /// Reads one instance: every list on the way has all its keys. The last may be a whole list, or a value of
    /// a leaf-list.
    pub fn parse(schema: &Schema, text: &str) -> Result<Path, String> {
        let pattern = Pattern::parse(schema, text)?;
        let last = pattern.0.len().saturating_sub(1);
        let step = |(place, loose): (usize, PatternStep)| {
            let whole = place == last && loose.keys.iter().all(Option::is_none);
            let keys = if whole { Some(Vec::new()) } else { loose.keys.into_iter().collect() };
            keys.map(|keys| PathStep { node: loose.node, keys })
        };
        let steps: Option<Vec<_>> = pattern.0.into_iter().enumerate().map(step).collect();
        steps.map(Path).ok_or_else(|| format!("{text}: a list on the way has no key"))
    }
}

impl Pattern {
    /// One instance, or all that lies below it.
    pub fn from_path(path: &Path) -> Pattern {
        let loose = |step: &PathStep| PatternStep {
            node: step.node,
            keys: step.keys.iter().cloned().map(Some).collect(),
        };
        Pattern(path.0.iter().map(loose).collect())
    }

    /// Whether the path is named, or lies below what is.
    pub fn matches(&self, path: &Path) -> bool {
        path.0.len() >= self.0.len() && self.0.iter().zip(&path.0).all(|(loose, step)| loose.fits(step))
    }

    pub fn node(&self) -> Option<NodeId> {
        self.0.last().map(|loose| loose.node)
    }

    /// Reads a pattern: `*` as a key's value, or no keys, leaves them open.
    pub fn parse(schema: &Schema, text: &str) -> Result<Pattern, String> {
        if text.len() > MAX_TEXT {
            return Err("the path is too long".to_string());
        }
        let mut rest = text.trim();
        let mut steps: Vec<PatternStep> = Vec::new();
        if rest == "/" {
            return Ok(Pattern(steps));
        }
        while !rest.is_empty() {
            rest = rest.strip_prefix('/').ok_or_else(|| format!("{text}: a step begins with /"))?;
            if steps.len() >= MAX_STEPS {
                return Err("the path has too many steps".to_string());
            }
            let end = rest.find(['/', '[']).unwrap_or(rest.len());
            let (name, more) = rest.split_at(end);
            rest = more;
            let mut told = Vec::new();
            while let Some(inner) = rest.strip_prefix('[') {
                let (key, value, more) = predicate(inner).ok_or_else(|| format!("{text}: a key is odd"))?;
                told.push((key, value));
                rest = more;
            }
            let told = told.iter().map(|(key, value)| (key.as_str(), value.as_str()));
            steps.push(PatternStep::parse(schema, steps.last(), name, told)?);
        }
        Ok(Pattern(steps))
    }
}

impl PatternStep {
    fn fits(&self, step: &PathStep) -> bool {
        self.node == step.node && self.matches_keys(&step.keys)
    }

    /// Whether an entry with those keys is named.
    pub fn matches_keys(&self, keys: &[Scalar]) -> bool {
        let open = |(told, key): (&Option<Scalar>, &Scalar)| told.as_ref().is_none_or(|told| told == key);
        self.keys.iter().zip(keys).all(open)
    }

    /// A step by its name, with the keys that are told; `*`, `''` and untold ones are open.
    pub fn parse<'a>(
        schema: &Schema,
        above: Option<&PatternStep>,
        name: &str,
        told: impl Iterator<Item = (&'a str, &'a str)>,
    ) -> Result<PatternStep, String> {
        let (module, plain) = match name.split_once(':') {
            Some((module, plain)) => {
                let known = schema.module_by_name(module);
                (Some(known.ok_or_else(|| format!("{name}: no such module"))?), plain)
            }
            None => (None, name),
        };
        let node = schema.child(above.map(|step| step.node), module, plain);
        let node = node.ok_or_else(|| format!("{name}: no such node"))?;
        let names = schema.keys(node);
        let mut keys = vec![None; names.len()];
        for (key, value) in told {
            // A leaf-list's value is named by itself (RFC 7950, section 9.13).
            if let (".", NodeKind::LeafList { of, .. }) = (key, &schema.node(node).kind) {
                keys = vec![Some(of.parse(value).map_err(|what| format!("{name}: {what}"))?)];
                continue;
            }
            let plain = key.split_once(':').map_or(key, |(_, plain)| plain);
            let place = names.iter().position(|id| schema.node(*id).name == plain);
            let place = place.ok_or_else(|| format!("{name}: {key} is no key of it"))?;
            if value != "*" {
                let of = schema.type_of(names[place]).ok_or("a key has no type")?;
                keys[place] = Some(of.parse(value).map_err(|what| format!("{name}: {key} {what}"))?);
            }
        }
        Ok(PatternStep { node, keys })
    }
}

/// `key='value']...` as its parts and what follows.
fn predicate(text: &str) -> Option<(String, String, &str)> {
    let (key, rest) = text.split_once('=')?;
    let rest = rest.trim_start();
    let (value, rest) = match rest.chars().next()? {
        quote @ ('\'' | '"') => {
            let (value, rest) = rest[1..].split_once(quote)?;
            (value, rest.trim_start().strip_prefix(']')?)
        }
        _ => rest.split_once(']')?,
    };
    Some((key.trim().to_string(), value.trim().to_string(), rest))
}

fn quote(value: &str) -> String {
    if value.contains('\'') {
        format!("\"{value}\"")
    } else {
        format!("'{value}'")
    }
}
