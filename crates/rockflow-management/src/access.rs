//! Who may read, change and call what (RFC 8341, section 3.4): the first rule that fits decides, then the
//! default. The owner passes by all of it, so that nobody can lock everybody out.

use rockflow_yang::{data, DataNode, DataTree, Path, Pattern, Scalar, Schema};
use std::collections::{BTreeMap, BTreeSet};

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Operation {
    Create,
    Read,
    Update,
    Delete,
    Exec,
}

impl Operation {
    fn read(name: &str) -> Option<Operation> {
        Some(match name {
            "create" => Operation::Create,
            "read" => Operation::Read,
            "update" => Operation::Update,
            "delete" => Operation::Delete,
            "exec" => Operation::Exec,
            _ => return None,
        })
    }
}

#[derive(Clone, Debug)]
enum About {
    Anything,
    Below(Pattern),
    Call(String),
}

#[derive(Clone, Debug)]
struct Rule {
    groups: BTreeSet<String>,
    about: About,
    /// Empty: all.
    operations: BTreeSet<Operation>,
    permit: bool,
}

#[derive(Clone, Debug)]
pub struct Access {
    owner: Option<String>,
    groups: BTreeMap<String, BTreeSet<String>>,
    rules: Vec<Rule>,
    read: bool,
    write: bool,
    exec: bool,
    /// Where groups and rules themselves stand: nothing there is permitted by default.
    kept: Option<Pattern>,
}

/// Calls that only read, or only concern the caller's own session or candidate.
const HARMLESS: [&str; 21] = [
    "get",
    "get-config",
    "get-data",
    "get-schema",
    "edit-config",
    "edit-data",
    "copy-config",
    "lock",
    "unlock",
    "partial-lock",
    "partial-unlock",
    "validate",
    "commit",
    "cancel-commit",
    "discard-changes",
    "close-session",
    "create-subscription",
    "establish-subscription",
    "modify-subscription",
    "delete-subscription",
    "set",
];

impl Access {
    /// Reads the rules of a configuration; one whose path can't be read is a fault that names it.
    pub fn of(schema: &Schema, running: &DataTree, owner: Option<String>) -> Result<Access, String> {
        let mut access = Access {
            owner,
            groups: BTreeMap::new(),
            rules: Vec::new(),
            read: true,
            write: false,
            exec: false,
            kept: Pattern::parse(schema, "/rockflow-router:router/rockflow-access:access").ok(),
        };
        let leaf = |names: &[&str]| data::leaf_by_names(schema, running, names).and_then(Scalar::as_text);
        let permit = |name: &str, otherwise| {
            leaf(&["router", "access", name]).map_or(otherwise, |word| word == "permit")
        };
        (access.read, access.write, access.exec) =
            (permit("read-default", true), permit("write-default", false), permit("exec-default", false));
        for fields in list(schema, running, &["router", "access", "group"]) {
            let name = one(schema, fields, "name").unwrap_or_default();
            access.groups.insert(name, many(schema, fields, "user"));
        }
        // Entries stand in the order of their numbers.
        for fields in list(schema, running, &["router", "access", "rule"]) {
            let number = one(schema, fields, "number").unwrap_or_default();
            let about = match (one(schema, fields, "path"), one(schema, fields, "rpc")) {
                (Some(path), None) => About::Below(
                    Pattern::parse(schema, &path).map_err(|what| format!("rule {number}: {what}"))?,
                ),
                (None, Some(call)) => About::Call(call),
                (None, None) => About::Anything,
                (Some(_), Some(_)) => {
                    return Err(format!("rule {number}: a path and a call exclude each other"));
                }
            };
            let operations = many(schema, fields, "operation");
            access.rules.push(Rule {
                groups: many(schema, fields, "group"),
                about,
                operations: operations.iter().filter_map(|name| Operation::read(name)).collect(),
                permit: one(schema, fields, "action").as_deref() == Some("permit"),
            });
        }
        Ok(access)
    }

    fn concerns(&self, rule: &Rule, user: &str, operation: Operation) -> bool {
        let belongs = |group: &String| {
            group == "all" || self.groups.get(group).is_some_and(|users| users.contains(user))
        };
        rule.groups.iter().any(belongs)
            && (rule.operations.is_empty() || rule.operations.contains(&operation))
    }

    fn owns(&self, user: &str) -> bool {
        self.owner.as_deref() == Some(user)
    }

    /// Whether the user may do that to the node, or read it.
    pub fn is_permitted(&self, user: &str, operation: Operation, path: &Path) -> bool {
        if self.owns(user) {
            return true;
        }
        let fits = |rule: &&Rule| {
            let here = match &rule.about {
                About::Anything => true,
                About::Below(pattern) => pattern.matches(path),
                About::Call(_) => false,
            };
            here && self.concerns(rule, user, operation)
        };
        if let Some(rule) = self.rules.iter().find(fits) {
            return rule.permit;
        }
        let kept = self.kept.as_ref().is_some_and(|kept| kept.matches(path));
        !kept && if operation == Operation::Read { self.read } else { self.write }
    }

    /// Whether the user may make the call.
    pub fn is_call_permitted(&self, user: &str, call: &str) -> bool {
        if self.owns(user) {
            return true;
        }
        let fits = |rule: &&Rule| {
            let this = match &rule.about {
                About::Anything => true,
                About::Below(_) => false,
                About::Call(name) => name == "*" || name == call,
            };
            this && self.concerns(rule, user, Operation::Exec)
        };
        let ruled = self.rules.iter().find(fits).map(|rule| rule.permit);
        ruled.unwrap_or(self.exec || HARMLESS.contains(&call))
    }

    /// What of a tree the user may see.
    pub fn readable(&self, schema: &Schema, user: &str, fields: &DataTree) -> DataTree {
        if self.owns(user) {
            return fields.clone();
        }
        data::retain_leaves(schema, fields, &Path::default(), &|path| {
            self.is_permitted(user, Operation::Read, path)
        })
    }
}

fn list<'a>(schema: &Schema, fields: &'a DataTree, names: &[&str]) -> Vec<&'a DataTree> {
    let ids: Option<Vec<_>> = (1..=names.len()).map(|n| schema.find(&names[..n])).collect();
    let path = ids.unwrap_or_default().into_iter();
    let path: Vec<_> = path.map(|node| rockflow_yang::PathStep { node, keys: Vec::new() }).collect();
    match data::find_instance(fields, &path) {
        Some(data::Instance::DataNode(DataNode::List(entries))) => entries.values().collect(),
        _ => Vec::new(),
    }
}

fn field<'a>(schema: &Schema, fields: &'a DataTree, name: &str) -> Option<&'a DataNode> {
    fields.iter().find(|(id, _)| schema.node(**id).name == name).map(|(_, data)| data)
}

fn one(schema: &Schema, fields: &DataTree, name: &str) -> Option<String> {
    field(schema, fields, name).and_then(DataNode::scalar).map(Scalar::to_string)
}

fn many(schema: &Schema, fields: &DataTree, name: &str) -> BTreeSet<String> {
    match field(schema, fields, name) {
        Some(DataNode::LeafList(values)) => values.iter().map(Scalar::to_string).collect(),
        _ => BTreeSet::new(),
    }
}
