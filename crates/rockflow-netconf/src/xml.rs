//! XML messages: elements with their namespaces resolved.
//!
//! Reading is strict: depth and number of elements are limited, and document types and entities of one's own are errors.
//! Writing escapes all text.

use quick_xml::escape::escape;
use quick_xml::events::{BytesStart, Event};
use quick_xml::name::ResolveResult;
use quick_xml::reader::NsReader;
use std::collections::BTreeMap;
use std::sync::Arc;
use thiserror::Error;

/// Nesting depth of a message at the most.
pub const MAX_DEPTH: usize = 64;
/// Elements of a message at the most.
pub const MAX_ELEMENTS: usize = 200_000;
/// Attributes of an element at the most.
pub const MAX_ATTRIBUTES: usize = 32;

/// Namespace that attributes such as `xmlns:a` are of.
const XMLNS: &str = "http://www.w3.org/2000/xmlns/";

/// Namespaces by their prefix.
pub type Prefixes = Arc<BTreeMap<String, String>>;

/// A message that can't be read.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum XmlError {
    /// No UTF-8, or no well-formed XML.
    #[error("{0}")]
    Malformed(String),
    /// More than one element at the top.
    #[error("more than one element")]
    SecondRoot,
    /// Too deep, or too many elements.
    #[error("deeper than {MAX_DEPTH} or more than {MAX_ELEMENTS} elements")]
    TooManyElements,
    /// Too many attributes of one element.
    #[error("more than {MAX_ATTRIBUTES} attributes")]
    TooManyAttributes,
    /// An end tag without its start tag.
    #[error("an end without a start")]
    EndWithoutStart,
    /// Text outside of the top element.
    #[error("text outside of the element")]
    TextOutside,
    /// A reference to an entity other than the five that XML predefines.
    #[error("an entity that is not predefined")]
    UnknownEntity,
    /// A document type declaration.
    #[error("a document type is not taken")]
    DocumentType,
    /// A processing instruction.
    #[error("a processing instruction is not taken")]
    ProcessingInstruction,
    /// The message ends ahead of its last end tag.
    #[error("ends within an element")]
    Truncated,
    /// The message holds no element.
    #[error("no element")]
    Empty,
    /// A prefix without a namespace.
    #[error("the prefix {0} is not declared")]
    UnknownPrefix(String),
}

fn malformed(error: impl std::fmt::Display) -> XmlError {
    XmlError::Malformed(error.to_string())
}

/// An element with all that it holds.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Element {
    /// Its namespace; empty without one.
    pub ns: String,
    /// Its name, without a prefix.
    pub name: String,
    /// Its attributes, declarations of namespaces included.
    pub attributes: Vec<Attribute>,
    /// The elements within it.
    pub children: Vec<Element>,
    /// All text directly within it.
    pub text: String,
    /// The prefixes that are declared here.
    pub prefixes: Prefixes,
}

/// An attribute of an element.
#[derive(Clone, Debug, PartialEq)]
pub struct Attribute {
    /// Its namespace; empty for an attribute without a prefix.
    pub ns: String,
    /// Its name, without a prefix.
    pub name: String,
    /// Its name as it was written.
    pub qualified: String,
    /// Its value.
    pub value: String,
}

impl Element {
    /// The first child of that name.
    pub fn child(&self, name: &str) -> Option<&Element> {
        self.children.iter().find(|child| child.name == name)
    }

    /// The text directly within, without white space around it.
    pub fn text(&self) -> &str {
        self.text.trim()
    }

    /// The text of the first child of that name.
    pub fn text_of(&self, name: &str) -> Option<&str> {
        self.child(name).map(Element::text)
    }

    /// An attribute without a prefix, or of that namespace.
    pub fn attribute(&self, ns: &str, name: &str) -> Option<&str> {
        let fits =
            |one: &&Attribute| one.name == name && (one.ns == ns || (ns.is_empty() && one.ns.is_empty()));
        self.attributes.iter().find(fits).map(|one| one.value.as_str())
    }
}

/// Reads the one element that a message is.
pub fn read(message: &[u8]) -> Result<Element, XmlError> {
    let text = std::str::from_utf8(message).map_err(malformed)?;
    let mut reader = NsReader::from_str(text);
    let mut tree = TreeBuilder::default();
    loop {
        match reader.read_event().map_err(malformed)? {
            Event::Start(start) => {
                if tree.root.is_some() {
                    return Err(XmlError::SecondRoot);
                }
                tree.count_element()?;
                let element = read_element(&reader, &start, tree.open.last())?;
                tree.open.push(element);
            }
            Event::Empty(start) => {
                tree.count_element()?;
                let element = read_element(&reader, &start, tree.open.last())?;
                tree.close(element)?;
            }
            Event::End(_) => {
                let element = tree.open.pop().ok_or(XmlError::EndWithoutStart)?;
                tree.close(element)?;
            }
            Event::Text(text) => match tree.open.last_mut() {
                Some(element) => element.text.push_str(&text.xml10_content()),
                None if text.trim().is_empty() => {}
                None => return Err(XmlError::TextOutside),
            },
            Event::CData(text) => tree.innermost()?.text.push_str(&text.xml10_content()),
            Event::GeneralRef(reference) => {
                let element = tree.innermost()?;
                let character = reference.resolve_char_ref().map_err(malformed)?;
                let character = character.or_else(|| predefined_entity(&reference));
                element.text.push(character.ok_or(XmlError::UnknownEntity)?);
            }
            // Guards against bombs: an entity can't be defined, so it can't grow.
            Event::DocType(_) => return Err(XmlError::DocumentType),
            Event::PI(_) => return Err(XmlError::ProcessingInstruction),
            Event::Decl(_) | Event::Comment(_) => {}
            Event::Eof => return tree.finish(),
        }
    }
}

/// The elements read so far.
#[derive(Default)]
struct TreeBuilder {
    root: Option<Element>,
    /// Elements whose end is still to come, outermost first.
    open: Vec<Element>,
    elements: usize,
}

impl TreeBuilder {
    fn count_element(&mut self) -> Result<(), XmlError> {
        self.elements += 1;
        if self.open.len() >= MAX_DEPTH || self.elements > MAX_ELEMENTS {
            return Err(XmlError::TooManyElements);
        }
        Ok(())
    }

    fn innermost(&mut self) -> Result<&mut Element, XmlError> {
        self.open.last_mut().ok_or(XmlError::TextOutside)
    }

    fn close(&mut self, element: Element) -> Result<(), XmlError> {
        match self.open.last_mut() {
            Some(parent) => parent.children.push(element),
            None if self.root.is_none() => self.root = Some(element),
            None => return Err(XmlError::SecondRoot),
        }
        Ok(())
    }

    fn finish(self) -> Result<Element, XmlError> {
        if !self.open.is_empty() {
            return Err(XmlError::Truncated);
        }
        self.root.ok_or(XmlError::Empty)
    }
}

fn predefined_entity(name: &str) -> Option<char> {
    Some(match name {
        "lt" => '<',
        "gt" => '>',
        "amp" => '&',
        "apos" => '\'',
        "quot" => '"',
        _ => return None,
    })
}

fn namespace(found: ResolveResult) -> Result<String, XmlError> {
    match found {
        ResolveResult::Bound(ns) => Ok(ns.as_ref().to_string()),
        ResolveResult::Unbound => Ok(String::new()),
        ResolveResult::Unknown(prefix) => Err(XmlError::UnknownPrefix(prefix.to_string())),
    }
}

fn read_element(
    reader: &NsReader<&[u8]>,
    start: &BytesStart,
    parent: Option<&Element>,
) -> Result<Element, XmlError> {
    let (found, local) = reader.resolver().resolve_element(start.name());
    let mut element = Element {
        ns: namespace(found)?,
        name: local.as_ref().to_string(),
        prefixes: parent.map(|parent| parent.prefixes.clone()).unwrap_or_default(),
        ..Element::default()
    };
    for attribute in start.attributes() {
        let attribute = attribute.map_err(malformed)?;
        if element.attributes.len() >= MAX_ATTRIBUTES {
            return Err(XmlError::TooManyAttributes);
        }
        let value = attribute.normalized_value(quick_xml::XmlVersion::Implicit1_0);
        let value = value.map_err(malformed)?.into_owned();
        let qualified = attribute.key.as_ref().to_string();
        if let Some(prefix) = qualified.strip_prefix("xmlns:") {
            Arc::make_mut(&mut element.prefixes).insert(prefix.to_string(), value.clone());
        }
        let (found, local) = reader.resolver().resolve_attribute(attribute.key);
        let is_declaration = qualified == "xmlns" || qualified.starts_with("xmlns:");
        let ns = if is_declaration { XMLNS.to_string() } else { namespace(found)? };
        element.attributes.push(Attribute { ns, name: local.as_ref().to_string(), qualified, value });
    }
    Ok(element)
}

/// Writes a message.
#[derive(Debug, Default)]
pub struct Writer {
    out: String,
}

impl Writer {
    /// An empty message.
    pub fn new() -> Writer {
        Writer { out: String::new() }
    }

    /// Begins an element; attributes come as name and value.
    pub fn open(&mut self, name: &str, attributes: &[(&str, &str)]) {
        self.out.push('<');
        self.out.push_str(name);
        for (name, value) in attributes {
            self.out.push_str(&format!(" {name}=\"{}\"", escape(*value)));
        }
        self.out.push('>');
    }

    /// Ends the element that was begun last, by its name.
    pub fn close(&mut self, name: &str) {
        self.out.push_str("</");
        self.out.push_str(name);
        self.out.push('>');
    }

    /// Writes text, escaped.
    pub fn text(&mut self, text: &str) {
        self.out.push_str(&escape(text));
    }

    /// An element with text alone.
    pub fn leaf(&mut self, name: &str, attributes: &[(&str, &str)], text: &str) {
        self.open(name, attributes);
        self.text(text);
        self.close(name);
    }

    /// An element without content.
    pub fn empty(&mut self, name: &str, attributes: &[(&str, &str)]) {
        self.open(name, attributes);
        self.out.pop();
        self.out.push_str("/>");
    }

    /// Writes XML as it is.
    pub fn raw(&mut self, xml: &str) {
        self.out.push_str(xml);
    }

    /// The text of the message.
    pub fn finish(self) -> String {
        self.out
    }
}
