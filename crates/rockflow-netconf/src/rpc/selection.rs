//! The filters with which operations select a part of a datastore.

use super::parameters::invalid;
use crate::filter;
use crate::ns;
use crate::xml::Element;
use rockflow_management::{ErrorTag, ManagementError};
use rockflow_yang::{DataTree, NodeId, Pattern, PatternStep, Schema};

/// Returns whether the child container of `<netconf-state>` with the given name is selected.
pub(super) type PartFilter<'a> = Box<dyn Fn(&str) -> bool + 'a>;

/// The part of a datastore that a filter selects.
pub(super) enum Selection {
    /// The whole datastore, if the operation has no filter.
    All,
    /// The nodes that the elements of a subtree filter match.
    Subtree(Vec<Element>),
    /// The nodes that the paths of an XPath filter match.
    Paths(Vec<Pattern>),
}

impl Selection {
    /// Parses the `<filter>` parameter of `get` and `get-config`.
    pub(super) fn from_filter(schema: &Schema, operation: &Element) -> Result<Selection, ManagementError> {
        let Some(filter) = operation.child("filter") else { return Ok(Selection::All) };
        let attribute = |name| filter.attribute(ns::BASE, name).or_else(|| filter.attribute("", name));
        match attribute("type") {
            None | Some("subtree") => Ok(Selection::Subtree(filter.children.clone())),
            Some("xpath") => {
                let select = attribute("select").ok_or_else(|| {
                    ManagementError::new(ErrorTag::MissingAttribute, "select is missing")
                        .with_element("filter")
                })?;
                Ok(Selection::Paths(filter::patterns(schema, select, &filter.prefixes)?))
            }
            Some(other) => {
                let message = format!("{other}: no type of filter");
                Err(ManagementError::new(ErrorTag::BadAttribute, message).with_element("filter"))
            }
        }
    }

    /// Parses the filter of `get-data` and of subscriptions, where `subtree` and `xpath` are the names of the
    /// elements for the two kinds of filter.
    pub(super) fn from_elements(
        schema: &Schema,
        operation: &Element,
        subtree: &str,
        xpath: &str,
    ) -> Result<Selection, ManagementError> {
        if let Some(filter) = operation.child(subtree) {
            return Ok(Selection::Subtree(filter.children.clone()));
        }
        match operation.child(xpath) {
            Some(filter) => Ok(Selection::Paths(filter::patterns(schema, filter.text(), &filter.prefixes)?)),
            None => Ok(Selection::All),
        }
    }

    /// Returns the selected part of a tree.
    pub(super) fn select(&self, schema: &Schema, tree: DataTree) -> DataTree {
        match self {
            Selection::All => tree,
            Selection::Subtree(filter) => filter::subtree(schema, &tree, None, filter),
            Selection::Paths(patterns) => filter::by_paths(&tree, patterns),
        }
    }

    /// Returns the path patterns that match the selected nodes; subscriptions need them.
    pub(super) fn to_patterns(&self, schema: &Schema) -> Result<Vec<Pattern>, ManagementError> {
        match self {
            Selection::All => Ok(vec![Pattern::default()]),
            Selection::Paths(patterns) => Ok(patterns.clone()),
            Selection::Subtree(filter) => {
                let mut patterns = Vec::new();
                collect_patterns(schema, None, filter, &Pattern::default(), &mut patterns)?;
                Ok(patterns)
            }
        }
    }

    /// Returns the filter for the parts of `<netconf-state>`, or `None` if no part is selected. XPath filters
    /// select none.
    pub(super) fn netconf_state_parts(&self) -> Option<PartFilter<'_>> {
        match self {
            Selection::All => Some(Box::new(|_| true)),
            Selection::Paths(_) => None,
            Selection::Subtree(filter) => {
                let is_netconf_state = |element: &&Element| {
                    element.name == "netconf-state" && (element.ns.is_empty() || element.ns == ns::MONITORING)
                };
                let element = filter.iter().find(is_netconf_state)?;
                let selects_all = element.children.is_empty();
                Some(Box::new(move |part| {
                    selects_all || element.children.iter().any(|child| child.name == part)
                }))
            }
        }
    }
}

/// Adds a pattern for each path that a subtree filter selects. Elements with text are taken as the keys of
/// the enclosing list entry. `above` is the pattern of `parent`.
fn collect_patterns(
    schema: &Schema,
    parent: Option<NodeId>,
    filter: &[Element],
    above: &Pattern,
    patterns: &mut Vec<Pattern>,
) -> Result<(), ManagementError> {
    for element in filter {
        let module = schema.modules().iter().find(|module| module.namespace == element.ns);
        let name = match module {
            Some(module) => format!("{}:{}", module.name, element.name),
            None => element.name.clone(),
        };
        let parent_step = parent.and_then(|_| above.0.last());
        let keys = element.children.iter().filter(|child| !child.text().is_empty());
        let keys = keys.map(|child| (child.name.as_str(), child.text()));
        let step = PatternStep::parse(schema, parent_step, &name, keys).map_err(invalid)?;
        let node = step.node;
        let mut pattern = above.clone();
        pattern.0.push(step);
        let selection_children = element.children.iter().filter(|child| child.text().is_empty());
        let selection_children: Vec<Element> = selection_children.cloned().collect();
        if selection_children.is_empty() {
            patterns.push(pattern);
        } else {
            collect_patterns(schema, Some(node), &selection_children, &pattern, patterns)?;
        }
        if patterns.len() > filter::MAX_PATHS {
            return Err(invalid(format!("more than {} paths", filter::MAX_PATHS)));
        }
    }
    Ok(())
}
