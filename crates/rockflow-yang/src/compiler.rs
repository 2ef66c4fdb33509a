//! Compiles YANG modules into a [`Schema`].

use crate::error::{ModelError, StatementProblem};
use crate::schema::{Module, ModuleId, Node, NodeId, NodeKind, Schema};
use crate::statement::{self, Statement};
use crate::types::{parse_decimal_units, LeafType, Ranges};
use regex_lite::Regex;
use std::collections::BTreeMap;

/// Keywords of data nodes.
const DATA_KEYWORDS: [&str; 4] = ["container", "list", "leaf", "leaf-list"];
/// Keywords of substatements that add no node: they are either evaluated with the statement that contains them, or not
/// needed to serve the model.
const PROPERTY_KEYWORDS: [&str; 16] = [
    "description",
    "reference",
    "config",
    "key",
    "type",
    "default",
    "mandatory",
    "units",
    "min-elements",
    "max-elements",
    "status",
    "yang-version",
    "namespace",
    "prefix",
    "organization",
    "contact",
];

/// Compiles modules, given as pairs of name and text; see [`Schema::compile`].
pub(crate) fn compile(modules: &[(&str, &str)]) -> Result<Schema, ModelError> {
    let mut compiler = Compiler { sources: Vec::new(), schema: Schema::default() };
    for (name, text) in modules {
        let added = compiler.add_module(text);
        added.map_err(|source| ModelError::Module { module: name.to_string(), source: Box::new(source) })?;
    }
    Ok(compiler.schema)
}

struct Compiler {
    /// The statements of each module, indexed by [`ModuleId`].
    sources: Vec<Source>,
    /// The modules and nodes compiled so far.
    schema: Schema,
}

/// The statements of one module, and the prefixes that they use.
struct Source {
    statement: Statement,
    /// The imported modules and the module itself, by the prefix that this module uses for them.
    prefixes: BTreeMap<String, ModuleId>,
}

/// A type, and the default value that its typedefs define.
struct ResolvedType {
    leaf_type: LeafType,
    default: Option<String>,
}

impl Compiler {
    fn add_module(&mut self, text: &str) -> Result<(), ModelError> {
        let statement = statement::read(text)?;
        let module = describe_module(&statement, text)?;
        let id = u8::try_from(self.sources.len()).map_err(|_| ModelError::TooManyModules)?;
        let id = ModuleId(id);
        let mut prefixes = BTreeMap::from([(module.prefix.clone(), id)]);
        for import in statement.all("import") {
            let imported = self.schema.module_by_name(&import.argument);
            let imported = imported.ok_or_else(|| import.error(StatementProblem::UnknownImport))?;
            prefixes.insert(required(import, "prefix")?.to_string(), imported);
        }
        self.schema.modules.push(module);
        self.sources.push(Source { statement: statement.clone(), prefixes });
        for inner in &statement.substatements {
            match inner.keyword.as_str() {
                keyword if DATA_KEYWORDS.contains(&keyword) => self.add_node(inner, None, id, true)?,
                "rpc" | "notification" => self.add_node(inner, None, id, false)?,
                "augment" => self.add_augment(inner, id)?,
                "typedef" | "import" | "revision" => {}
                keyword if PROPERTY_KEYWORDS.contains(&keyword) => {}
                _ => return Err(inner.error(StatementProblem::UnknownAtTop)),
            }
        }
        Ok(())
    }

    fn add_augment(&mut self, augment: &Statement, module: ModuleId) -> Result<(), ModelError> {
        let target = self.augment_target(augment, module)?;
        let config = self.schema.node(target).config;
        for inner in &augment.substatements {
            if DATA_KEYWORDS.contains(&inner.keyword.as_str()) {
                self.add_node(inner, Some(target), module, config)?;
            } else if !PROPERTY_KEYWORDS.contains(&inner.keyword.as_str()) {
                return Err(inner.error(StatementProblem::UnknownInAugment));
            }
        }
        Ok(())
    }

    fn augment_target(&self, augment: &Statement, module: ModuleId) -> Result<NodeId, ModelError> {
        let mut target = None;
        for step in augment.argument.split('/').skip(1) {
            let (prefix, name) =
                step.split_once(':').ok_or_else(|| augment.error(StatementProblem::StepWithoutPrefix))?;
            let module = self.source(module).prefixes.get(prefix);
            let module = module.ok_or_else(|| augment.error(StatementProblem::UnknownPrefix))?;
            let found = self.schema.child(target, Some(*module), name);
            target = Some(found.ok_or_else(|| augment.error(StatementProblem::NoSuchTarget))?);
        }
        target.ok_or_else(|| augment.error(StatementProblem::NoSuchTarget))
    }

    /// Adds a node and its descendants. `config` tells whether the parent is configuration.
    fn add_node(
        &mut self,
        statement: &Statement,
        parent: Option<NodeId>,
        module: ModuleId,
        config: bool,
    ) -> Result<(), ModelError> {
        let config = config && statement.argument_of("config") != Some("false");
        let kind = self.node_kind(statement, module)?;
        let name = match kind {
            NodeKind::Input | NodeKind::Output => statement.keyword.clone(),
            _ => statement.argument.clone(),
        };
        if self.schema.child(parent, Some(module), &name).is_some() {
            return Err(statement.error(StatementProblem::Duplicate));
        }
        let id = u16::try_from(self.schema.nodes.len()).map_err(|_| ModelError::TooManyNodes)?;
        let id = NodeId(id);
        self.schema.nodes.push(Node {
            id,
            parent,
            module,
            name,
            kind,
            config,
            units: statement.argument_of("units").map(str::to_string),
            description: statement.argument_of("description").unwrap_or_default().to_string(),
            children: Vec::new(),
        });
        match parent {
            Some(parent) => self.schema.nodes[usize::from(parent.0)].children.push(id),
            None => self.schema.roots.push(id),
        }
        for inner in &statement.substatements {
            match inner.keyword.as_str() {
                keyword if DATA_KEYWORDS.contains(&keyword) => {
                    self.add_node(inner, Some(id), module, config)?
                }
                "input" | "output" => self.add_node(inner, Some(id), module, false)?,
                keyword if PROPERTY_KEYWORDS.contains(&keyword) => {}
                _ => return Err(inner.error(StatementProblem::UnknownHere)),
            }
        }
        if statement.keyword == "list" {
            self.set_keys(statement, id, module)?;
        }
        Ok(())
    }

    fn node_kind(&self, statement: &Statement, module: ModuleId) -> Result<NodeKind, ModelError> {
        let min_elements = number(statement, "min-elements", 0)?;
        let max_elements = number(statement, "max-elements", u64::MAX)?;
        Ok(match statement.keyword.as_str() {
            "container" => NodeKind::Container,
            "list" => NodeKind::List { keys: Vec::new(), min_elements, max_elements },
            "leaf-list" => {
                let value_type = self.type_within(statement, module)?.leaf_type;
                NodeKind::LeafList { value_type, min_elements, max_elements }
            }
            "leaf" => {
                let ResolvedType { leaf_type: value_type, default } = self.type_within(statement, module)?;
                let default = statement.argument_of("default").map(str::to_string).or(default);
                let default = default.map(|text| value_type.parse(&text)).transpose();
                let default =
                    default.map_err(|error| statement.error(StatementProblem::BadDefault(error)))?;
                let mandatory = statement.argument_of("mandatory") == Some("true");
                NodeKind::Leaf { value_type, default, mandatory }
            }
            "rpc" => NodeKind::Rpc,
            "input" => NodeKind::Input,
            "output" => NodeKind::Output,
            "notification" => NodeKind::Notification,
            _ => return Err(statement.error(StatementProblem::UnknownHere)),
        })
    }

    fn set_keys(&mut self, statement: &Statement, list: NodeId, module: ModuleId) -> Result<(), ModelError> {
        let mut key_nodes = Vec::new();
        for name in required(statement, "key")?.split_whitespace() {
            let key = self.schema.child(Some(list), Some(module), name);
            key_nodes.push(key.ok_or_else(|| statement.error(StatementProblem::NoSuchKey))?);
        }
        if let NodeKind::List { keys, .. } = &mut self.schema.nodes[usize::from(list.0)].kind {
            *keys = key_nodes;
        }
        Ok(())
    }

    /// Resolves the `type` substatement of a leaf, a leaf-list or a typedef.
    fn type_within(&self, statement: &Statement, module: ModuleId) -> Result<ResolvedType, ModelError> {
        let type_statement = statement.first("type");
        let type_statement =
            type_statement.ok_or_else(|| statement.error(StatementProblem::Missing("type")))?;
        self.resolve_type(type_statement, module)
    }

    /// Resolves a `type` statement: a built-in type or a typedef, with the restrictions of the statement.
    fn resolve_type(&self, statement: &Statement, module: ModuleId) -> Result<ResolvedType, ModelError> {
        let unsigned = |bits| LeafType::Unsigned { bits, ranges: Vec::new() };
        let signed = |bits| LeafType::Signed { bits, ranges: Vec::new() };
        let base = match statement.argument.as_str() {
            "string" => LeafType::Text { lengths: Vec::new(), patterns: Vec::new() },
            "boolean" => LeafType::Bool,
            "empty" => LeafType::Empty,
            "uint8" => unsigned(8),
            "uint16" => unsigned(16),
            "uint32" => unsigned(32),
            "uint64" => unsigned(64),
            "int8" => signed(8),
            "int16" => signed(16),
            "int32" => signed(32),
            "int64" => signed(64),
            "enumeration" => LeafType::Enumeration(Vec::new()),
            "decimal64" => LeafType::Decimal { digits: fraction_digits(statement)?, ranges: Vec::new() },
            "union" => {
                let mut members = Vec::new();
                for member in statement.all("type") {
                    members.push(self.resolve_type(member, module)?.leaf_type);
                }
                LeafType::Union(members)
            }
            _ => return self.resolve_typedef(statement, module),
        };
        Ok(ResolvedType { leaf_type: restrict(base, statement)?, default: None })
    }

    fn resolve_typedef(&self, statement: &Statement, module: ModuleId) -> Result<ResolvedType, ModelError> {
        let argument = statement.argument.as_str();
        let (prefix, name) = argument.split_once(':').unwrap_or(("", argument));
        let module = match prefix {
            "" => Some(module),
            prefix => self.source(module).prefixes.get(prefix).copied(),
        };
        let module = module.ok_or_else(|| statement.error(StatementProblem::UnknownPrefix))?;
        let mut typedefs = self.source(module).statement.all("typedef");
        let typedef = typedefs.find(|typedef| typedef.argument == name);
        let typedef = typedef.ok_or_else(|| statement.error(StatementProblem::NoSuchType))?;
        let base = self.type_within(typedef, module)?;
        let default = typedef.argument_of("default").map(str::to_string).or(base.default);
        Ok(ResolvedType { leaf_type: restrict(base.leaf_type, statement)?, default })
    }

    fn source(&self, module: ModuleId) -> &Source {
        &self.sources[usize::from(module.0)]
    }
}

fn describe_module(statement: &Statement, text: &str) -> Result<Module, ModelError> {
    let revisions = statement.all("revision").map(|revision| revision.argument.clone());
    Ok(Module {
        name: statement.argument.clone(),
        namespace: required(statement, "namespace")?.to_string(),
        prefix: required(statement, "prefix")?.to_string(),
        revision: revisions.max().ok_or_else(|| statement.error(StatementProblem::Missing("revision")))?,
        text: text.to_string(),
    })
}

fn required<'a>(statement: &'a Statement, keyword: &'static str) -> Result<&'a str, ModelError> {
    let argument = statement.argument_of(keyword);
    argument.ok_or_else(|| statement.error(StatementProblem::Missing(keyword)))
}

fn number(statement: &Statement, keyword: &'static str, default: u64) -> Result<u64, ModelError> {
    match statement.argument_of(keyword) {
        None | Some("unbounded") => Ok(default),
        Some(word) => word.parse().map_err(|_| statement.error(StatementProblem::NotANumber(keyword))),
    }
}

fn fraction_digits(statement: &Statement) -> Result<u8, ModelError> {
    let digits = statement.argument_of("fraction-digits").and_then(|word| word.parse().ok());
    let digits = digits.filter(|digits| (1..=18).contains(digits));
    digits.ok_or_else(|| statement.error(StatementProblem::Missing("fraction-digits")))
}

/// The base type, narrowed by the restrictions of the `type` statement.
fn restrict(base: LeafType, statement: &Statement) -> Result<LeafType, ModelError> {
    match base {
        LeafType::Text { lengths, patterns } => restrict_text(lengths, patterns, statement),
        LeafType::Unsigned { bits, ranges } => {
            let max = u64::MAX >> (64 - u32::from(bits));
            let ranges = restrict_ranges(ranges, statement, |word| word.parse().ok(), (0, max))?;
            Ok(LeafType::Unsigned { bits, ranges })
        }
        LeafType::Signed { bits, ranges } => {
            let max = i64::MAX >> (64 - u32::from(bits));
            let ranges = restrict_ranges(ranges, statement, |word| word.parse().ok(), (-max - 1, max))?;
            Ok(LeafType::Signed { bits, ranges })
        }
        LeafType::Decimal { digits, ranges } => {
            let parse = |word: &str| parse_decimal_units(word, digits);
            let ranges = restrict_ranges(ranges, statement, parse, (i64::MIN, i64::MAX))?;
            Ok(LeafType::Decimal { digits, ranges })
        }
        LeafType::Enumeration(names) => restrict_enumeration(names, statement),
        other => Ok(other),
    }
}

fn restrict_text(
    base_lengths: Ranges<u64>,
    mut patterns: Vec<(String, Regex)>,
    statement: &Statement,
) -> Result<LeafType, ModelError> {
    let lengths = match statement.argument_of("length") {
        None => base_lengths,
        Some(text) => {
            let lengths = parse_ranges(text, |word| word.parse().ok(), (0, u64::MAX));
            lengths.ok_or_else(|| statement.error(StatementProblem::BadLength))?
        }
    };
    for pattern in statement.all("pattern") {
        // YANG patterns are XML Schema regular expressions: they match the whole text, and have neither anchors nor
        // named groups.
        let regex = Regex::new(&format!("^(?:{})$", pattern.argument));
        let regex =
            regex.map_err(|error| statement.error(StatementProblem::BadPattern(error.to_string())))?;
        patterns.push((pattern.argument.clone(), regex));
    }
    Ok(LeafType::Text { lengths, patterns })
}

fn restrict_ranges<T: Copy>(
    base: Ranges<T>,
    statement: &Statement,
    parse: impl Fn(&str) -> Option<T>,
    bounds: (T, T),
) -> Result<Ranges<T>, ModelError> {
    match statement.argument_of("range") {
        None => Ok(base),
        Some(text) => {
            let ranges = parse_ranges(text, parse, bounds);
            ranges.ok_or_else(|| statement.error(StatementProblem::BadRange))
        }
    }
}

fn restrict_enumeration(base: Vec<String>, statement: &Statement) -> Result<LeafType, ModelError> {
    let names: Vec<String> = statement.all("enum").map(|name| name.argument.clone()).collect();
    if let Some(unknown) = names.iter().find(|name| !base.is_empty() && !base.contains(name)) {
        return Err(statement.error(StatementProblem::NotInBaseType(unknown.clone())));
    }
    if names.is_empty() && base.is_empty() {
        return Err(statement.error(StatementProblem::Missing("enum")));
    }
    Ok(LeafType::Enumeration(if names.is_empty() { base } else { names }))
}

/// Parses ranges such as `1..4 | 9 | 20..max`; `bounds` are the values of `min` and `max`. `None` for a malformed text.
fn parse_ranges<T: Copy>(text: &str, parse: impl Fn(&str) -> Option<T>, bounds: (T, T)) -> Option<Ranges<T>> {
    let bound = |word: &str| match word.trim() {
        "min" => Some(bounds.0),
        "max" => Some(bounds.1),
        word => parse(word),
    };
    let range = |part: &str| {
        let (from, to) = part.split_once("..").unwrap_or((part, part));
        Some((bound(from)?, bound(to)?))
    };
    text.split('|').map(range).collect()
}
