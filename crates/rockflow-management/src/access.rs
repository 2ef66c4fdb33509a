//! Access rules (RFC 8341, section 3.4): which user may read, change or call what. The first matching rule decides;
//! where none matches, the defaults do. No rule restricts the owner, so that nobody can lock everybody out.

use crate::error::AccessRuleError;
use rockflow_yang::{data, DataNode, DataTree, Path, PathStep, Pattern, Scalar, Schema};
use std::collections::{BTreeMap, BTreeSet};

/// An operation that access rules permit or deny, on a node of the configuration or as a call.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Operation {
    /// Creates the node.
    Create,
    /// Reads the node.
    Read,
    /// Changes the node's value.
    Update,
    /// Deletes the node.
    Delete,
    /// Makes a call, such as `drain`.
    Exec,
}

impl Operation {
    fn from_name(name: &str) -> Option<Operation> {
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

/// What a rule applies to.
#[derive(Clone, Debug)]
enum Target {
    Anything,
    Nodes(Pattern),
    Call(String),
}

impl Target {
    fn includes_node(&self, path: &Path) -> bool {
        match self {
            Target::Anything => true,
            Target::Nodes(pattern) => pattern.matches(path),
            Target::Call(_) => false,
        }
    }

    fn includes_call(&self, call: &str) -> bool {
        match self {
            Target::Anything => true,
            Target::Nodes(_) => false,
            Target::Call(name) => name == "*" || name == call,
        }
    }
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Action {
    Permit,
    Deny,
}

impl Action {
    fn from_name(name: Option<&str>) -> Action {
        match name {
            Some("permit") => Action::Permit,
            _ => Action::Deny,
        }
    }
}

#[derive(Clone, Debug)]
struct Rule {
    groups: BTreeSet<String>,
    target: Target,
    /// The operations that the rule applies to; empty: all.
    operations: BTreeSet<Operation>,
    action: Action,
}

impl Rule {
    fn read(schema: &Schema, fields: &DataTree) -> Result<Rule, AccessRuleError> {
        let rule = leaf_text(schema, fields, "number").unwrap_or_default();
        let target = match (leaf_text(schema, fields, "path"), leaf_text(schema, fields, "rpc")) {
            (Some(path), None) => match Pattern::parse(schema, &path) {
                Ok(pattern) => Target::Nodes(pattern),
                Err(error) => return Err(AccessRuleError::Path { rule, source: Box::new(error) }),
            },
            (None, Some(call)) => Target::Call(call),
            (None, None) => Target::Anything,
            (Some(_), Some(_)) => return Err(AccessRuleError::PathAndCall { rule }),
        };
        let operations = leaf_list_texts(schema, fields, "operation");
        Ok(Rule {
            groups: leaf_list_texts(schema, fields, "group"),
            target,
            operations: operations.iter().filter_map(|name| Operation::from_name(name)).collect(),
            action: Action::from_name(leaf_text(schema, fields, "action").as_deref()),
        })
    }
}

/// The actions taken where no rule matches.
#[derive(Clone, Copy, Debug)]
struct Defaults {
    read: Action,
    write: Action,
    exec: Action,
}

/// The access rules of a configuration, compiled.
#[derive(Clone, Debug)]
pub struct Access {
    owner: Option<String>,
    groups: BTreeMap<String, BTreeSet<String>>,
    rules: Vec<Rule>,
    defaults: Defaults,
    /// The subtree of groups and rules, to which the defaults grant no access.
    protected: Option<Pattern>,
}

/// Calls permitted where no rule matches, whatever `exec-default` is: they need no permission of their own, as they
/// only read, concern the caller's own session or locks, or change nodes that are authorized one by one.
const DEFAULT_PERMITTED_CALLS: [&str; 21] = [
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
    /// Compiles the rules of a configuration. No rule restricts the owner; with `None`, every user is subject to them.
    ///
    /// # Errors
    /// The error of the first rule that can't be compiled.
    pub fn compile(
        schema: &Schema,
        configuration: &DataTree,
        owner: Option<String>,
    ) -> Result<Access, AccessRuleError> {
        let default = |name: &str, otherwise: Action| {
            let leaf = data::leaf_by_names(schema, configuration, &["router", "access", name]);
            let action = leaf.and_then(Scalar::as_text);
            action.map_or(otherwise, |action| Action::from_name(Some(action)))
        };
        let mut groups = BTreeMap::new();
        for fields in entries(schema, configuration, &["router", "access", "group"]) {
            let name = leaf_text(schema, fields, "name").unwrap_or_default();
            groups.insert(name, leaf_list_texts(schema, fields, "user"));
        }
        // Entries are in the order of their numbers.
        let rules = entries(schema, configuration, &["router", "access", "rule"]);
        let rules: Result<Vec<_>, _> = rules.into_iter().map(|fields| Rule::read(schema, fields)).collect();
        Ok(Access {
            owner,
            groups,
            rules: rules?,
            defaults: Defaults {
                read: default("read-default", Action::Permit),
                write: default("write-default", Action::Deny),
                exec: default("exec-default", Action::Deny),
            },
            protected: Pattern::parse(schema, "/rockflow-router:router/rockflow-access:access").ok(),
        })
    }

    /// Whether the user may perform the operation on the node at `path`.
    pub fn is_permitted(&self, user: &str, operation: Operation, path: &Path) -> bool {
        if self.is_owner(user) {
            return true;
        }
        let matches = |rule: &&Rule| rule.target.includes_node(path) && self.applies(rule, user, operation);
        if let Some(rule) = self.rules.iter().find(matches) {
            return rule.action == Action::Permit;
        }
        let is_protected = self.protected.as_ref().is_some_and(|protected| protected.matches(path));
        let default = match operation {
            Operation::Read => self.defaults.read,
            _ => self.defaults.write,
        };
        !is_protected && default == Action::Permit
    }

    /// Whether the user may make the call.
    pub fn is_call_permitted(&self, user: &str, call: &str) -> bool {
        if self.is_owner(user) {
            return true;
        }
        let matches =
            |rule: &&Rule| rule.target.includes_call(call) && self.applies(rule, user, Operation::Exec);
        match self.rules.iter().find(matches) {
            Some(rule) => rule.action == Action::Permit,
            None => self.defaults.exec == Action::Permit || DEFAULT_PERMITTED_CALLS.contains(&call),
        }
    }

    /// A copy of the tree with only the leaves that the user may read.
    pub fn readable(&self, schema: &Schema, user: &str, fields: &DataTree) -> DataTree {
        if self.is_owner(user) {
            return fields.clone();
        }
        let may_read = |path: &Path| self.is_permitted(user, Operation::Read, path);
        data::retain_leaves(schema, fields, &Path::default(), &may_read)
    }

    fn is_owner(&self, user: &str) -> bool {
        self.owner.as_deref() == Some(user)
    }

    /// Whether the rule covers the user and the operation; its target is checked separately.
    fn applies(&self, rule: &Rule, user: &str, operation: Operation) -> bool {
        let has_user = |group: &String| {
            group == "all" || self.groups.get(group).is_some_and(|users| users.contains(user))
        };
        let has_operation = rule.operations.is_empty() || rule.operations.contains(&operation);
        has_operation && rule.groups.iter().any(has_user)
    }
}

/// The entries of the list that the model has under these nested names; empty where the tree has no such list.
fn entries<'a>(schema: &Schema, fields: &'a DataTree, names: &[&str]) -> Vec<&'a DataTree> {
    let step = |length: usize| {
        let node = schema.find(&names[..length])?;
        Some(PathStep { node, keys: Vec::new() })
    };
    let path: Option<Vec<_>> = (1..=names.len()).map(step).collect();
    match data::find_instance(fields, &path.unwrap_or_default()) {
        Some(data::Instance::DataNode(DataNode::List(entries))) => entries.values().collect(),
        _ => Vec::new(),
    }
}

fn child<'a>(schema: &Schema, fields: &'a DataTree, name: &str) -> Option<&'a DataNode> {
    fields.iter().find(|(id, _)| schema.node(**id).name == name).map(|(_, data)| data)
}

fn leaf_text(schema: &Schema, fields: &DataTree, name: &str) -> Option<String> {
    child(schema, fields, name).and_then(DataNode::scalar).map(Scalar::to_string)
}

fn leaf_list_texts(schema: &Schema, fields: &DataTree, name: &str) -> BTreeSet<String> {
    match child(schema, fields, name) {
        Some(DataNode::LeafList(values)) => values.iter().map(Scalar::to_string).collect(),
        _ => BTreeSet::new(),
    }
}
