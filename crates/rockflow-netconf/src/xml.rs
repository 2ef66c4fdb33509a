//! Parsing and writing of XML messages, with element and attribute namespaces resolved.
//!
//! Parsing limits the nesting depth and the number of elements and attributes, and rejects document type
//! declarations and entities that are not predefined. The writer escapes text and attribute values.

use quick_xml::escape::escape;
use quick_xml::events::{BytesStart, Event};
use quick_xml::name::ResolveResult;
use quick_xml::reader::NsReader;
use std::collections::BTreeMap;
use std::sync::Arc;
use thiserror::Error;

/// Maximum nesting depth of the elements in a message.
pub const MAX_DEPTH: usize = 64;
/// Maximum number of elements in a message.
pub const MAX_ELEMENTS: usize = 200_000;
/// Maximum number of attributes of one element, namespace declarations included.
pub const MAX_ATTRIBUTES: usize = 32;

/// The namespace of declarations such as `xmlns:a`.
const XMLNS: &str = "http://www.w3.org/2000/xmlns/";

/// Maps each declared prefix to its namespace.
pub type Prefixes = Arc<BTreeMap<String, String>>;

/// The reason why a message could not be parsed.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum XmlError {
    /// The message is not UTF-8 or not well-formed XML.
    #[error("{0}")]
    Malformed(String),
    /// The message has more than one top-level element.
    #[error("more than one element")]
    SecondRoot,
    /// The message exceeds [`MAX_DEPTH`] or [`MAX_ELEMENTS`].
    #[error("deeper than {MAX_DEPTH} or more than {MAX_ELEMENTS} elements")]
    TooManyElements,
    /// An element has more than [`MAX_ATTRIBUTES`] attributes.
    #[error("more than {MAX_ATTRIBUTES} attributes")]
    TooManyAttributes,
    /// An end tag has no matching start tag.
    #[error("an end without a start")]
    EndWithoutStart,
    /// There is text outside the top-level element.
    #[error("text outside of the element")]
    TextOutside,
    /// The message refers to an entity other than the five that XML predefines.
    #[error("an entity that is not predefined")]
    UnknownEntity,
    /// The message has a document type declaration, which is not accepted.
    #[error("a document type is not taken")]
    DocumentType,
    /// The message has a processing instruction, which is not accepted.
    #[error("a processing instruction is not taken")]
    ProcessingInstruction,
    /// The message ends before all elements are closed.
    #[error("ends within an element")]
    Truncated,
    /// The message holds no element.
    #[error("no element")]
    Empty,
    /// A name has a prefix for which no namespace is declared.
    #[error("the prefix {0} is not declared")]
    UnknownPrefix(String),
}

fn malformed(error: impl std::fmt::Display) -> XmlError {
    XmlError::Malformed(error.to_string())
}

/// An element with its attributes, text and descendants.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Element {
    /// The namespace, or an empty string if the element has none.
    pub ns: String,
    /// The local name, without a prefix.
    pub name: String,
    /// The attributes, including namespace declarations.
    pub attributes: Vec<Attribute>,
    /// The child elements in document order.
    pub children: Vec<Element>,
    /// The concatenated text directly inside this element, without that of its children.
    pub text: String,
    /// The namespace prefixes in scope, declared by this element or an ancestor.
    pub prefixes: Prefixes,
}

/// An attribute of an element.
#[derive(Clone, Debug, PartialEq)]
pub struct Attribute {
    /// The namespace, or an empty string for an attribute without a prefix.
    pub ns: String,
    /// The local name, without a prefix.
    pub name: String,
    /// The name as it was written, with its prefix if it has one.
    pub qualified: String,
    /// The value, with character references and predefined entities resolved.
    pub value: String,
}

impl Element {
    /// Returns the first child element with this local name, in any namespace.
    pub fn child(&self, name: &str) -> Option<&Element> {
        self.children.iter().find(|child| child.name == name)
    }

    /// Returns the text of this element without leading and trailing white space.
    pub fn text(&self) -> &str {
        self.text.trim()
    }

    /// Returns the trimmed text of the first child element with this local name.
    pub fn text_of(&self, name: &str) -> Option<&str> {
        self.child(name).map(Element::text)
    }

    /// Returns the value of an attribute in the given namespace, or without a prefix if `ns` is empty.
    pub fn attribute(&self, ns: &str, name: &str) -> Option<&str> {
        let matches = |attribute: &&Attribute| {
            attribute.name == name && (attribute.ns == ns || (ns.is_empty() && attribute.ns.is_empty()))
        };
        self.attributes.iter().find(matches).map(|attribute| attribute.value.as_str())
    }
}

/// Parses a message, which must consist of exactly one top-level element.
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
            // Prevents entity expansion attacks: without a document type, no entity can be defined.
            Event::DocType(_) => return Err(XmlError::DocumentType),
            Event::PI(_) => return Err(XmlError::ProcessingInstruction),
            Event::Decl(_) | Event::Comment(_) => {}
            Event::Eof => return tree.finish(),
        }
    }
}

/// Builds the element tree while the message is parsed.
#[derive(Default)]
struct TreeBuilder {
    root: Option<Element>,
    /// Elements whose end tag has not been read yet, outermost first.
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

fn namespace(resolved: ResolveResult) -> Result<String, XmlError> {
    match resolved {
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
    let (resolved, local) = reader.resolver().resolve_element(start.name());
    let mut element = Element {
        ns: namespace(resolved)?,
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
        let (resolved, local) = reader.resolver().resolve_attribute(attribute.key);
        let is_declaration = qualified == "xmlns" || qualified.starts_with("xmlns:");
        let ns = if is_declaration { XMLNS.to_string() } else { namespace(resolved)? };
        element.attributes.push(Attribute { ns, name: local.as_ref().to_string(), qualified, value });
    }
    Ok(element)
}

/// Builds the text of an XML message. It does not check that elements are nested correctly.
#[derive(Debug, Default)]
pub struct Writer {
    out: String,
}

impl Writer {
    /// Creates a writer for an empty message.
    pub fn new() -> Writer {
        Writer { out: String::new() }
    }

    /// Writes a start tag. `attributes` are pairs of name and unescaped value.
    pub fn open(&mut self, name: &str, attributes: &[(&str, &str)]) {
        self.out.push('<');
        self.out.push_str(name);
        for (name, value) in attributes {
            self.out.push_str(&format!(" {name}=\"{}\"", escape(*value)));
        }
        self.out.push('>');
    }

    /// Writes the end tag of the innermost open element, whose name the caller passes.
    pub fn close(&mut self, name: &str) {
        self.out.push_str("</");
        self.out.push_str(name);
        self.out.push('>');
    }

    /// Writes text and escapes it.
    pub fn text(&mut self, text: &str) {
        self.out.push_str(&escape(text));
    }

    /// Writes an element that contains only text, which is escaped.
    pub fn leaf(&mut self, name: &str, attributes: &[(&str, &str)], text: &str) {
        self.open(name, attributes);
        self.text(text);
        self.close(name);
    }

    /// Writes an element without content as an empty-element tag.
    pub fn empty(&mut self, name: &str, attributes: &[(&str, &str)]) {
        self.open(name, attributes);
        self.out.pop();
        self.out.push_str("/>");
    }

    /// Writes XML without escaping it.
    pub fn raw(&mut self, xml: &str) {
        self.out.push_str(xml);
    }

    /// Returns the text of the message.
    pub fn finish(self) -> String {
        self.out
    }
}
