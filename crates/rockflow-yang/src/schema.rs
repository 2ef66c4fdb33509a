//! The modules compiled: one tree of nodes with their types, in the order in which they were written.

use crate::statement::{self, Statement};
use crate::types::{decimal, LeafType, Scalar, Spans};
use regex_lite::Regex;
use std::collections::BTreeMap;

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct NodeId(pub u16);
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ModuleId(pub u8);

#[derive(Clone, Debug)]
pub struct Module {
    pub name: String,
    pub namespace: String,
    pub prefix: String,
    pub revision: String,
    /// Its text, as it is published.
    pub text: String,
}

#[derive(Clone, Debug)]
pub enum NodeKind {
    Container,
    List { keys: Vec<NodeId>, least: u64, most: u64 },
    Leaf { of: LeafType, default: Option<Scalar>, mandatory: bool },
    LeafList { of: LeafType, least: u64, most: u64 },
    Rpc,
    Input,
    Output,
    Notification,
}

#[derive(Clone, Debug)]
pub struct Node {
    pub id: NodeId,
    pub parent: Option<NodeId>,
    pub module: ModuleId,
    pub name: String,
    pub kind: NodeKind,
    /// False: state, which nobody writes.
    pub config: bool,
    pub units: Option<String>,
    pub description: String,
    pub children: Vec<NodeId>,
}

#[derive(Debug)]
pub struct Schema {
    modules: Vec<Module>,
    nodes: Vec<Node>,
    /// Nodes at the top: data, calls and notifications.
    roots: Vec<NodeId>,
}

/// What a node may hold, and what it says that is kept elsewhere or not needed to serve it.
const DATA: [&str; 4] = ["container", "list", "leaf", "leaf-list"];
const SIDE: [&str; 16] = [
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

struct Source {
    statement: Statement,
    /// Modules by the prefix under which this one names them, itself included.
    prefixes: BTreeMap<String, usize>,
}

struct Compiler {
    sources: Vec<Source>,
    schema: Schema,
}

impl Schema {
    /// The published modules. They are part of the program, so that one that can't be read is a fault of the
    /// build, which the tests find.
    pub fn published() -> Schema {
        Schema::compile(&crate::PUBLISHED_MODULES).unwrap_or_else(|what| panic!("published modules: {what}"))
    }

    /// Compiles modules, given by name and text; one that others augment or import from stands ahead of them.
    /// What a model may say and this does not know is a fault, not passed over.
    pub fn compile(texts: &[(&str, &str)]) -> Result<Schema, String> {
        let schema = Schema { modules: Vec::new(), nodes: Vec::new(), roots: Vec::new() };
        let mut compiler = Compiler { sources: Vec::new(), schema };
        for (name, text) in texts {
            compiler.add(text).map_err(|what| format!("{name}: {what}"))?;
        }
        Ok(compiler.schema)
    }

    pub fn modules(&self) -> &[Module] {
        &self.modules
    }

    pub fn nodes(&self) -> &[Node] {
        &self.nodes
    }

    pub fn roots(&self) -> &[NodeId] {
        &self.roots
    }

    pub fn node(&self, id: NodeId) -> &Node {
        &self.nodes[usize::from(id.0)]
    }

    pub fn module(&self, id: ModuleId) -> &Module {
        &self.modules[usize::from(id.0)]
    }

    pub fn module_of(&self, id: NodeId) -> &Module {
        self.module(self.node(id).module)
    }

    pub fn module_by_name(&self, name: &str) -> Option<ModuleId> {
        self.modules.iter().position(|module| module.name == name).map(|place| ModuleId(place as u8))
    }

    /// The child of that name; at the top without a parent. `module` none: of any module.
    pub fn child(&self, parent: Option<NodeId>, module: Option<ModuleId>, name: &str) -> Option<NodeId> {
        let children = parent.map_or(&self.roots, |parent| &self.node(parent).children);
        let fits = |id: &&NodeId| {
            let node = self.node(**id);
            node.name == name && module.is_none_or(|module| module == node.module)
        };
        children.iter().find(fits).copied()
    }

    /// A node by the names on its way from the top, of any module.
    pub fn find(&self, names: &[&str]) -> Option<NodeId> {
        names.iter().try_fold(None, |at, name| Some(Some(self.child(at, None, name)?))).flatten()
    }

    /// The node's names from the top, each with its module where that changes (RFC 7951, section 6.11).
    pub fn schema_path(&self, id: NodeId) -> String {
        let node = self.node(id);
        let above = node.parent.map(|parent| self.schema_path(parent)).unwrap_or_default();
        format!("{above}/{}", self.qualified_name(id))
    }

    /// The node's name, with its module's unless its parent is of the same.
    pub fn qualified_name(&self, id: NodeId) -> String {
        let node = self.node(id);
        match node.parent.filter(|parent| self.node(*parent).module == node.module) {
            Some(_) => node.name.clone(),
            None => format!("{}:{}", self.module(node.module).name, node.name),
        }
    }

    pub fn is_key(&self, id: NodeId) -> bool {
        let parent = self.node(id).parent.map(|parent| &self.node(parent).kind);
        matches!(parent, Some(NodeKind::List { keys, .. }) if keys.contains(&id))
    }

    pub fn keys(&self, id: NodeId) -> &[NodeId] {
        match &self.node(id).kind {
            NodeKind::List { keys, .. } => keys,
            _ => &[],
        }
    }

    /// The type of a leaf or leaf-list.
    pub fn type_of(&self, id: NodeId) -> Option<&LeafType> {
        match &self.node(id).kind {
            NodeKind::Leaf { of, .. } | NodeKind::LeafList { of, .. } => Some(of),
            _ => None,
        }
    }

    pub fn default_of(&self, id: NodeId) -> Option<&Scalar> {
        match &self.node(id).kind {
            NodeKind::Leaf { default, .. } => default.as_ref(),
            _ => None,
        }
    }
}

impl Compiler {
    fn add(&mut self, text: &str) -> Result<(), String> {
        let statement = statement::read(text)?;
        let word = |name: &str| statement.word(name).ok_or_else(|| statement.fault(&format!("no {name}")));
        let revisions = statement.all("revision").map(|revision| revision.argument.clone());
        let module = Module {
            name: statement.argument.clone(),
            namespace: word("namespace")?.to_string(),
            prefix: word("prefix")?.to_string(),
            revision: revisions.max().ok_or_else(|| statement.fault("no revision"))?,
            text: text.to_string(),
        };
        let place = self.sources.len();
        let id = ModuleId(u8::try_from(place).map_err(|_| "too many modules")?);
        let mut prefixes = BTreeMap::from([(module.prefix.clone(), place)]);
        for import in statement.all("import") {
            let known = self.schema.modules.iter().position(|module| module.name == import.argument);
            let known = known.ok_or_else(|| import.fault("not known by then"))?;
            let prefix = import.word("prefix").ok_or_else(|| import.fault("no prefix"))?;
            prefixes.insert(prefix.to_string(), known);
        }
        self.schema.modules.push(module);
        self.sources.push(Source { statement: statement.clone(), prefixes });
        for inner in &statement.within {
            match inner.keyword.as_str() {
                keyword if DATA.contains(&keyword) => self.node(inner, None, id, true)?,
                "rpc" | "notification" => self.node(inner, None, id, false)?,
                "augment" => {
                    let target = self.target(inner, place)?;
                    let config = self.schema.node(target).config;
                    for more in &inner.within {
                        if DATA.contains(&more.keyword.as_str()) {
                            self.node(more, Some(target), id, config)?;
                        } else if !SIDE.contains(&more.keyword.as_str()) {
                            return Err(more.fault("not known within an augment"));
                        }
                    }
                }
                "typedef" | "import" | "revision" => {}
                keyword if SIDE.contains(&keyword) => {}
                _ => return Err(inner.fault("not known at the top")),
            }
        }
        Ok(())
    }

    fn target(&self, augment: &Statement, place: usize) -> Result<NodeId, String> {
        let mut at = None;
        for step in augment.argument.split('/').skip(1) {
            let (prefix, name) = step.split_once(':').ok_or_else(|| augment.fault("a step has no prefix"))?;
            let module = self.sources[place].prefixes.get(prefix);
            let module = module.ok_or_else(|| augment.fault("a prefix is not known"))?;
            let found = self.schema.child(at, Some(ModuleId(*module as u8)), name);
            at = Some(found.ok_or_else(|| augment.fault("names nothing"))?);
        }
        at.ok_or_else(|| augment.fault("names nothing"))
    }

    fn node(
        &mut self,
        statement: &Statement,
        parent: Option<NodeId>,
        module: ModuleId,
        config: bool,
    ) -> Result<(), String> {
        let place = usize::from(module.0);
        let number = |name: &str, otherwise: u64| match statement.word(name) {
            None | Some("unbounded") => Ok(otherwise),
            Some(word) => word.parse::<u64>().map_err(|_| statement.fault(&format!("{name} is no number"))),
        };
        let config = config && statement.word("config") != Some("false");
        let (least, most) = (number("min-elements", 0)?, number("max-elements", u64::MAX)?);
        let kind = match statement.keyword.as_str() {
            "container" => NodeKind::Container,
            "list" => NodeKind::List { keys: Vec::new(), least, most },
            "leaf-list" => NodeKind::LeafList { of: self.type_in(statement, place)?.0, least, most },
            "leaf" => {
                let (of, default) = self.type_in(statement, place)?;
                let default = statement.word("default").map(str::to_string).or(default);
                let default = default.map(|text| of.parse(&text)).transpose();
                let default = default.map_err(|what| statement.fault(&format!("default {what}")))?;
                NodeKind::Leaf { of, default, mandatory: statement.word("mandatory") == Some("true") }
            }
            "rpc" => NodeKind::Rpc,
            "input" => NodeKind::Input,
            "output" => NodeKind::Output,
            "notification" => NodeKind::Notification,
            _ => return Err(statement.fault("not known here")),
        };
        let name = match kind {
            NodeKind::Input | NodeKind::Output => statement.keyword.clone(),
            _ => statement.argument.clone(),
        };
        if self.schema.child(parent, Some(module), &name).is_some() {
            return Err(statement.fault("stands there already"));
        }
        let id = NodeId(u16::try_from(self.schema.nodes.len()).map_err(|_| "too many nodes")?);
        self.schema.nodes.push(Node {
            id,
            parent,
            module,
            name,
            kind,
            config,
            units: statement.word("units").map(str::to_string),
            description: statement.word("description").unwrap_or_default().to_string(),
            children: Vec::new(),
        });
        match parent {
            Some(parent) => self.schema.nodes[usize::from(parent.0)].children.push(id),
            None => self.schema.roots.push(id),
        }
        for inner in &statement.within {
            match inner.keyword.as_str() {
                keyword if DATA.contains(&keyword) => self.node(inner, Some(id), module, config)?,
                "input" | "output" => self.node(inner, Some(id), module, false)?,
                keyword if SIDE.contains(&keyword) => {}
                _ => return Err(inner.fault("not known here")),
            }
        }
        if statement.keyword == "list" {
            let words = statement.word("key").ok_or_else(|| statement.fault("no key"))?;
            let named = words.split_whitespace().map(|word| self.schema.child(Some(id), Some(module), word));
            let named: Vec<_> = named.collect::<Option<_>>().ok_or_else(|| statement.fault("no such key"))?;
            if let NodeKind::List { keys, .. } = &mut self.schema.nodes[usize::from(id.0)].kind {
                *keys = named;
            }
        }
        Ok(())
    }

    /// The type that a statement names, and the default that comes with it.
    fn type_in(&self, statement: &Statement, place: usize) -> Result<(LeafType, Option<String>), String> {
        let named = statement.one("type").ok_or_else(|| statement.fault("no type"))?;
        self.resolve(named, place)
    }

    fn resolve(&self, named: &Statement, place: usize) -> Result<(LeafType, Option<String>), String> {
        let base = match named.argument.as_str() {
            "string" => LeafType::Text { lengths: Vec::new(), patterns: Vec::new() },
            "boolean" => LeafType::Bool,
            "empty" => LeafType::Empty,
            "uint8" => LeafType::Unsigned { bits: 8, spans: Vec::new() },
            "uint16" => LeafType::Unsigned { bits: 16, spans: Vec::new() },
            "uint32" => LeafType::Unsigned { bits: 32, spans: Vec::new() },
            "uint64" => LeafType::Unsigned { bits: 64, spans: Vec::new() },
            "int8" => LeafType::Signed { bits: 8, spans: Vec::new() },
            "int16" => LeafType::Signed { bits: 16, spans: Vec::new() },
            "int32" => LeafType::Signed { bits: 32, spans: Vec::new() },
            "int64" => LeafType::Signed { bits: 64, spans: Vec::new() },
            "enumeration" => LeafType::Enumeration(Vec::new()),
            "decimal64" => {
                let digits = named.word("fraction-digits").and_then(|word| word.parse().ok());
                let digits = digits.filter(|digits| (1..=18).contains(digits));
                LeafType::Decimal {
                    digits: digits.ok_or_else(|| named.fault("no fraction-digits"))?,
                    spans: Vec::new(),
                }
            }
            "union" => {
                let members = named.all("type").map(|member| Ok(self.resolve(member, place)?.0));
                LeafType::Union(members.collect::<Result<_, String>>()?)
            }
            other => {
                let (prefix, name) = other.split_once(':').unwrap_or(("", other));
                let module = if prefix.is_empty() {
                    Some(place)
                } else {
                    self.sources[place].prefixes.get(prefix).copied()
                };
                let module = module.ok_or_else(|| named.fault("a prefix is not known"))?;
                let source = &self.sources[module].statement;
                let typedef = source.all("typedef").find(|typedef| typedef.argument == name);
                let typedef = typedef.ok_or_else(|| named.fault("no such type"))?;
                let (base, default) = self.type_in(typedef, module)?;
                let default = typedef.word("default").map(str::to_string).or(default);
                return Ok((restrict(base, named)?, default));
            }
        };
        Ok((restrict(base, named)?, None))
    }
}

fn restrict(base: LeafType, named: &Statement) -> Result<LeafType, String> {
    let fault = |what: &str| named.fault(what);
    Ok(match base {
        LeafType::Text { lengths, mut patterns } => {
            let own = named.word("length").map(|text| spans(text, |word| word.parse().ok(), 0, u64::MAX));
            let lengths = own.unwrap_or(Some(lengths)).ok_or_else(|| fault("a length can't be read"))?;
            for pattern in named.all("pattern") {
                // XML's expressions match the whole text, and know neither anchors nor named groups.
                let regex = Regex::new(&format!("^(?:{})$", pattern.argument));
                patterns.push((pattern.argument.clone(), regex.map_err(|what| fault(&what.to_string()))?));
            }
            LeafType::Text { lengths, patterns }
        }
        LeafType::Unsigned { bits, spans: old } => {
            let most = u64::MAX >> (64 - u32::from(bits));
            let own = named.word("range").map(|text| spans(text, |word| word.parse().ok(), 0, most));
            let spans = own.unwrap_or(Some(old)).ok_or_else(|| fault("a range can't be read"))?;
            LeafType::Unsigned { bits, spans }
        }
        LeafType::Signed { bits, spans: old } => {
            let most = i64::MAX >> (64 - u32::from(bits));
            let own = named.word("range").map(|text| spans(text, |word| word.parse().ok(), -most - 1, most));
            let spans = own.unwrap_or(Some(old)).ok_or_else(|| fault("a range can't be read"))?;
            LeafType::Signed { bits, spans }
        }
        LeafType::Decimal { digits, spans: old } => {
            let read = |word: &str| decimal(word, digits);
            let own = named.word("range").map(|text| spans(text, read, i64::MIN, i64::MAX));
            let spans = own.unwrap_or(Some(old)).ok_or_else(|| fault("a range can't be read"))?;
            LeafType::Decimal { digits, spans }
        }
        LeafType::Enumeration(old) => {
            let own: Vec<String> = named.all("enum").map(|one| one.argument.clone()).collect();
            if let Some(odd) = own.iter().find(|name| !old.is_empty() && !old.contains(name)) {
                return Err(fault(&format!("{odd} is not of the type that this narrows")));
            }
            if own.is_empty() && old.is_empty() {
                return Err(fault("no enum"));
            }
            LeafType::Enumeration(if own.is_empty() { old } else { own })
        }
        other => other,
    })
}

/// `1..4 | 9 | 20..max` as spans.
fn spans<T: Copy>(text: &str, read: impl Fn(&str) -> Option<T>, least: T, most: T) -> Option<Spans<T>> {
    let bound = |word: &str| match word.trim() {
        "min" => Some(least),
        "max" => Some(most),
        word => read(word),
    };
    let span = |part: &str| {
        let (from, to) = part.split_once("..").unwrap_or((part, part));
        Some((bound(from)?, bound(to)?))
    };
    text.split('|').map(span).collect()
}
