//! Elements of a message, with namespaces resolved; read strictly, within caps on depth and number, and with
//! neither document types nor entities of one's own. Writing escapes all that is text.

use quick_xml::escape::escape;
use quick_xml::events::{BytesStart, Event};
use quick_xml::name::ResolveResult;
use quick_xml::reader::NsReader;
use std::collections::BTreeMap;
use std::sync::Arc;

/// Caps on what a message may hold.
pub const MAX_DEEP: usize = 64;
pub const MAX_ELEMENTS: usize = 200_000;
pub const MAX_ATTRIBUTES: usize = 32;

pub type Prefixes = Arc<BTreeMap<String, String>>;

#[derive(Clone, Debug, Default, PartialEq)]
pub struct Element {
    pub ns: String,
    pub name: String,
    pub attributes: Vec<Attribute>,
    pub children: Vec<Element>,
    /// All text directly within.
    pub text: String,
    /// The prefixes that hold here.
    pub prefixes: Prefixes,
}

#[derive(Clone, Debug, PartialEq)]
pub struct Attribute {
    /// Empty: none, as for any attribute without a prefix.
    pub ns: String,
    pub name: String,
    /// As it was written.
    pub qualified: String,
    pub value: String,
}

impl Element {
    pub fn child(&self, name: &str) -> Option<&Element> {
        self.children.iter().find(|child| child.name == name)
    }

    pub fn text(&self) -> &str {
        self.text.trim()
    }

    /// The text of the one child of that name.
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
pub fn read(message: &[u8]) -> Result<Element, String> {
    let text = std::str::from_utf8(message).map_err(|what| what.to_string())?;
    let mut reader = NsReader::from_str(text);
    let mut open: Vec<Element> = Vec::new();
    let (mut root, mut elements) = (None, 0usize);
    loop {
        let event = reader.read_event().map_err(|what| what.to_string())?;
        match event {
            Event::Start(start) => {
                if root.is_some() {
                    return Err("more than one element".to_string());
                }
                elements += 1;
                if open.len() >= MAX_DEEP || elements > MAX_ELEMENTS {
                    return Err(format!("deeper than {MAX_DEEP} or more than {MAX_ELEMENTS} elements"));
                }
                let element = element(&reader, &start, open.last())?;
                open.push(element);
            }
            Event::Empty(start) => {
                elements += 1;
                if open.len() >= MAX_DEEP || elements > MAX_ELEMENTS {
                    return Err(format!("deeper than {MAX_DEEP} or more than {MAX_ELEMENTS} elements"));
                }
                let element = element(&reader, &start, open.last())?;
                close(element, &mut open, &mut root)?;
            }
            Event::End(_) => {
                let element = open.pop().ok_or("an end without a start")?;
                close(element, &mut open, &mut root)?;
            }
            Event::Text(text) => match open.last_mut() {
                Some(element) => element.text.push_str(&text.xml10_content()),
                None if text.trim().is_empty() => {}
                None => return Err("text outside of the element".to_string()),
            },
            Event::CData(text) => match open.last_mut() {
                Some(element) => element.text.push_str(&text.xml10_content()),
                None => return Err("text outside of the element".to_string()),
            },
            Event::GeneralRef(reference) => {
                let element = open.last_mut().ok_or("text outside of the element")?;
                let character = match reference.resolve_char_ref().map_err(|what| what.to_string())? {
                    Some(character) => Some(character),
                    None => predefined(&reference),
                };
                element.text.push(character.ok_or("an entity that is not predefined")?);
            }
            // Guards against bombs: an entity can't be defined, so it can't grow.
            Event::DocType(_) => return Err("a document type is not taken".to_string()),
            Event::PI(_) => return Err("a processing instruction is not taken".to_string()),
            Event::Decl(_) | Event::Comment(_) => {}
            Event::Eof => break,
        }
    }
    if !open.is_empty() {
        return Err("ends within an element".to_string());
    }
    root.ok_or_else(|| "no element".to_string())
}

fn predefined(name: &str) -> Option<char> {
    Some(match name {
        "lt" => '<',
        "gt" => '>',
        "amp" => '&',
        "apos" => '\'',
        "quot" => '"',
        _ => return None,
    })
}

fn close(element: Element, open: &mut [Element], root: &mut Option<Element>) -> Result<(), String> {
    match open.last_mut() {
        Some(parent) => parent.children.push(element),
        None if root.is_none() => *root = Some(element),
        None => return Err("more than one element".to_string()),
    }
    Ok(())
}

fn namespace(found: ResolveResult) -> Result<String, String> {
    match found {
        ResolveResult::Bound(ns) => Ok(ns.as_ref().to_string()),
        ResolveResult::Unbound => Ok(String::new()),
        ResolveResult::Unknown(prefix) => Err(format!("the prefix {prefix} is not declared")),
    }
}

fn element(
    reader: &NsReader<&[u8]>,
    start: &BytesStart,
    parent: Option<&Element>,
) -> Result<Element, String> {
    let (found, local) = reader.resolver().resolve_element(start.name());
    let mut element = Element {
        ns: namespace(found)?,
        name: local.as_ref().to_string(),
        prefixes: parent.map(|parent| parent.prefixes.clone()).unwrap_or_default(),
        ..Element::default()
    };
    for attribute in start.attributes() {
        let attribute = attribute.map_err(|what| what.to_string())?;
        if element.attributes.len() >= MAX_ATTRIBUTES {
            return Err(format!("more than {MAX_ATTRIBUTES} attributes"));
        }
        let value = attribute.normalized_value(quick_xml::XmlVersion::Implicit1_0);
        let value = value.map_err(|what| what.to_string())?.into_owned();
        let qualified = attribute.key.as_ref().to_string();
        if let Some(prefix) = qualified.strip_prefix("xmlns:") {
            Arc::make_mut(&mut element.prefixes).insert(prefix.to_string(), value.clone());
        }
        let (found, local) = reader.resolver().resolve_attribute(attribute.key);
        let plain = qualified == "xmlns" || qualified.starts_with("xmlns:");
        let ns = if plain { "http://www.w3.org/2000/xmlns/".to_string() } else { namespace(found)? };
        element.attributes.push(Attribute { ns, name: local.as_ref().to_string(), qualified, value });
    }
    Ok(element)
}

/// A message in the making.
#[derive(Debug, Default)]
pub struct Writer {
    out: String,
}

impl Writer {
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

    pub fn close(&mut self, name: &str) {
        self.out.push_str("</");
        self.out.push_str(name);
        self.out.push('>');
    }

    pub fn text(&mut self, text: &str) {
        self.out.push_str(&escape(text));
    }

    /// An element with text alone.
    pub fn leaf(&mut self, name: &str, attributes: &[(&str, &str)], text: &str) {
        self.open(name, attributes);
        self.text(text);
        self.close(name);
    }

    pub fn empty(&mut self, name: &str, attributes: &[(&str, &str)]) {
        self.open(name, attributes);
        self.out.pop();
        self.out.push_str("/>");
    }

    pub fn raw(&mut self, xml: &str) {
        self.out.push_str(xml);
    }

    pub fn finish(self) -> String {
        self.out
    }
}
