//! Tests of the published modules, and of paths, edits, differences and JSON on them.

use rockflow_yang::{
    data, json, DataNode, DataTree, Edit, EditErrorKind, EditOperation, NodeKind, NodeScope, Path, Pattern,
    Schema,
};
use serde_json::json;
use std::collections::BTreeSet;
use test_case::test_case;
use yang_rs::config::Config;
use yang_rs::parser::Parser;

#[test]
fn published_modules_parse_with_yang_rs() {
    for (name, text) in rockflow_yang::PUBLISHED_MODULES {
        let parsed = Parser::parse_yang_from_string(text.to_string(), Config::new());
        assert!(parsed.is_ok(), "{name}: {:?}", parsed.err());
    }
}

#[test]
fn every_node_has_a_description() {
    let schema = Schema::published();
    for node in schema.nodes() {
        let needs_description = !matches!(node.kind, NodeKind::Input | NodeKind::Output);
        assert!(!needs_description || node.description.len() > 3, "{}", schema.schema_path(node.id));
    }
    let state = schema.find(&["router", "state", "hosts", "host", "legs-out"]).unwrap();
    assert!(!schema.node(state).config);
    let mark = schema.find(&["router", "marks", "mark"]).unwrap();
    assert!(schema.node(mark).config);
    assert_eq!(schema.schema_path(mark), "/rockflow-router:router/marks/mark");
    let access = schema.find(&["router", "access"]).unwrap();
    assert_eq!(schema.schema_path(access), "/rockflow-router:router/rockflow-access:access");
}

/// A module whose body replaces `BODY`.
const MODULE_TEMPLATE: &str = "module m { namespace \"urn:m\"; prefix m; revision 2026-01-01; BODY }";

#[test_case("leaf a { type string; }", true)]
#[test_case("leaf a { type wrong; }", false; "unknown type")]
#[test_case("leaf a { type uint8 { range \"1..x\"; } }", false; "a range can't be read")]
#[test_case("leaf a { type uint8; default 300; }", false; "default outside of its type")]
#[test_case("list l { key k; leaf a { type string; } }", false; "no such key")]
#[test_case("leaf a { type string; must \"1\"; }", false; "must condition is not supported")]
#[test_case("choice c { leaf a { type string; } }", false; "choice is not supported")]
#[test_case("leaf a { type enumeration { enum x; } } leaf a { type string; }", false; "duplicate leaf")]
#[test_case("augment \"/n:x\" { leaf a { type string; } }", false; "augment with an a prefix is not known")]
#[test_case("leaf a { type string; ", false; "unterminated block")]
fn compile_rejects_unsupported_statements(body: &str, accepted: bool) {
    let text = MODULE_TEMPLATE.replace("BODY", body);
    let compiled = Schema::compile(&[("m", &text)]);
    assert_eq!(compiled.is_ok(), accepted, "{:?}", compiled.err());
}

fn tree(schema: &Schema, value: serde_json::Value) -> DataTree {
    json::read(schema, None, &value, NodeScope::ConfigAndState).unwrap()
}

/// A document with two marks, an access rule and some state.
fn sample_document() -> serde_json::Value {
    json!({"rockflow-router:router": {
        "marks": {"mark": [{"host": "c1", "state": "draining", "reason": "disk"}, {"host": "c2"}]},
        "rockflow-access:access": {"rule": [{"number": 4, "group": ["all"], "action": "permit"}]},
        "state": {"up": "12", "hosts": {"host": [{"name": "c1", "health": "0.25", "cell": 3}]}}
    }})
}

#[test]
fn json_survives_a_round_trip() {
    let schema = Schema::published();
    let fields = tree(&schema, sample_document());
    assert_eq!(json::write(&schema, &fields), sample_document());
}

/// A document with a value for every data leaf of the model, formatted as [`json::write`] and serde_json write it.
const EVERY_LEAF: &str = include_str!("every_leaf.json");

#[test]
fn every_leaf_keeps_its_path_and_json_form() {
    let schema = Schema::published();
    let fields = tree(&schema, serde_json::from_str(EVERY_LEAF).unwrap());
    assert_eq!(serde_json::to_string_pretty(&json::write(&schema, &fields)).unwrap() + "\n", EVERY_LEAF);
    let present: BTreeSet<_> = data::leaves(&fields).keys().map(|path| path.node().unwrap()).collect();
    let is_data = |path: &str| path.starts_with("/rockflow-router:router/");
    for node in schema.nodes() {
        let path = schema.schema_path(node.id);
        if matches!(node.kind, NodeKind::Leaf { .. } | NodeKind::LeafList { .. }) && is_data(&path) {
            assert!(present.contains(&node.id), "{path}");
        }
    }
}

#[test_case(json!({"rockflow-router:router": {"nothing": 1}}); "unknown name")]
#[test_case(json!({"other:router": {}}); "unknown module")]
#[test_case(json!({"rockflow-router:router": {"marks": {"mark": [{"state": "gone"}]}}}); "missing key")]
#[test_case(json!({"rockflow-router:router": {"marks": {"mark": [{"host": "c"}, {"host": "c"}]}}}); "duplicate entry")]
#[test_case(json!({"rockflow-router:router": {"marks": {"mark": {"host": "c"}}}}); "not an array")]
#[test_case(json!({"rockflow-router:router": {"marks": {"mark": [{"host": "c", "state": "ready"}]}}}); "value outside of the restricted enumeration")]
#[test_case(json!({"rockflow-router:router": {"marks": {"mark": [{"host": "a b"}]}}}); "space in a name")]
#[test_case(json!({"rockflow-router:router": {"management": {"most-sessions": 0}}}); "out of range")]
#[test_case(json!({"rockflow-router:router": {"management": {"most-sessions": true}}}); "wrong JSON type")]
#[test_case(json!({"rockflow-router:router": {"state": {"up": "1"}}}); "state")]
#[test_case(json!([]); "not an object")]
fn json_read_rejects(value: serde_json::Value) {
    assert!(json::read(&Schema::published(), None, &value, NodeScope::ConfigOnly).is_err());
}

#[test_case("/rockflow-router:router/marks/mark[host='c1']/state", true)]
#[test_case("/router/marks/mark[host=\"c1\"]", true; "plain names")]
#[test_case("/router/marks/mark", true; "a whole list")]
#[test_case("/", true; "root")]
#[test_case("/router/marks/mark/state", false; "list without a key before the last step")]
#[test_case("/router/marks/mark[nohost='1']", false)]
#[test_case("/router/marks/mark[host='c1'", false)]
#[test_case("router", false)]
#[test_case("/router//marks", false)]
fn path_parses_only_if_it_names_one_instance(text: &str, is_instance: bool) {
    let schema = Schema::published();
    let path = Path::parse(&schema, text);
    assert_eq!(path.is_ok(), is_instance, "{path:?}");
    if let Ok(path) = path {
        assert_eq!(Path::parse(&schema, &path.to_text(&schema)).unwrap(), path);
    }
}

fn edit(schema: &Schema, path: &str, op: EditOperation, value: Option<serde_json::Value>) -> Edit {
    let path = Path::parse(schema, path).unwrap();
    let node = path.node().unwrap();
    let is_list_entry = path.0.last().is_some_and(|step| !step.keys.is_empty());
    let value = value.map(|value| match is_list_entry {
        true => DataNode::Container(json::read(schema, Some(node), &value, NodeScope::ConfigOnly).unwrap()),
        false => json::read_data(schema, node, &value, NodeScope::ConfigAndState).unwrap(),
    });
    Edit { path, op, value }
}

#[test_case("/router/marks/mark[host='c9']", EditOperation::Create, Some(json!({"reason": "x"})), None; "create")]
#[test_case("/router/marks/mark[host='c1']", EditOperation::Create, Some(json!({})), Some(EditErrorKind::Exists); "create an existing node")]
#[test_case("/router/marks/mark[host='c9']", EditOperation::Delete, None, Some(EditErrorKind::Missing); "delete a missing node")]
#[test_case("/router/marks/mark[host='c9']", EditOperation::Remove, None, None; "remove a missing node")]
#[test_case("/router/marks/mark[host='c9']", EditOperation::AssertExists, None, Some(EditErrorKind::Missing); "assert that a missing node exists")]
#[test_case("/router/marks/mark[host='c1']/host", EditOperation::Merge, Some(json!("c2")), Some(EditErrorKind::NotWritable); "change a key")]
#[test_case("/router/marks/mark[host='c1']/host", EditOperation::Remove, None, Some(EditErrorKind::NotWritable); "remove a key")]
#[test_case("/router/marks/mark[host='c1']/author", EditOperation::Merge, Some(json!("me")), Some(EditErrorKind::NotWritable); "write state")]
#[test_case("/router/marks", EditOperation::Delete, None, None; "delete a container")]
fn failed_edit_reports_its_error_and_leaves_the_tree_unchanged(
    path: &str,
    op: EditOperation,
    value: Option<serde_json::Value>,
    error: Option<EditErrorKind>,
) {
    let schema = Schema::published();
    let before = tree(&schema, sample_document());
    let mut after = before.clone();
    let result = data::apply_edit(&schema, &mut after, &edit(&schema, path, op, value));
    assert_eq!(result.as_ref().err().map(|error| error.kind), error);
    if result.is_err() {
        assert_eq!(before, after);
    }
}

#[test]
fn replace_drops_leaves_that_merge_keeps() {
    let schema = Schema::published();
    let mut fields = tree(&schema, sample_document());
    let value = Some(json!({"expires": "2026-12-01T00:00:00Z"}));
    let path = "/router/marks/mark[host='c1']";
    let reason = Path::parse(&schema, "/router/marks/mark[host='c1']/reason").unwrap();
    data::apply_edit(&schema, &mut fields, &edit(&schema, path, EditOperation::Merge, value.clone()))
        .unwrap();
    assert!(data::find_instance(&fields, &reason.0).is_some());
    data::apply_edit(&schema, &mut fields, &edit(&schema, path, EditOperation::Replace, value)).unwrap();
    assert!(data::find_instance(&fields, &reason.0).is_none());
    assert!(data::find_instance(&fields, &Path::parse(&schema, path).unwrap().0).is_some());
}

#[test]
fn applying_a_diff_gives_the_other_tree() {
    let schema = Schema::published();
    let one = tree(&schema, sample_document());
    let other = tree(
        &schema,
        json!({"rockflow-router:router": {
            "marks": {"mark": [{"host": "c1", "reason": "fan"}, {"host": "c3"}]},
            "rockflow-access:access": {"rule": [{"number": 4, "group": ["all", "night"], "action": "deny"}]}
        }}),
    );
    for (from, to) in [(&one, &other), (&other, &one), (&DataTree::new(), &one), (&one, &DataTree::new())] {
        let mut changed = from.clone();
        data::apply_changes(&schema, &mut changed, &data::diff(from, to));
        assert_eq!(json::write(&schema, &changed), json::write(&schema, to));
    }
}

#[test]
fn pattern_with_open_keys_selects_entries() {
    let schema = Schema::published();
    let fields = tree(&schema, sample_document());
    let pattern = Pattern::parse(&schema, "/router/marks/mark[host=*]/state").unwrap();
    let selected = data::select_matching(&fields, &pattern);
    assert_eq!(
        json::write(&schema, &selected),
        json!({"rockflow-router:router": {"marks": {"mark": [{"state": "draining"}]}}})
    );
    let state = Path::parse(&schema, "/router/marks/mark[host='c1']/state").unwrap();
    assert!(pattern.matches(&state));
    assert!(!pattern.matches(&Path::parse(&schema, "/router/marks/mark[host='c1']/reason").unwrap()));
}

#[test]
fn defaults_are_filled_in_and_trimmed() {
    let schema = Schema::published();
    let fields = tree(&schema, sample_document());
    let full = data::with_defaults(&schema, &fields, NodeScope::ConfigOnly);
    let level = data::leaf_by_names(&schema, &full, &["router", "logging", "level"]);
    assert_eq!(level.map(ToString::to_string).as_deref(), Some("info"));
    let trimmed = data::without_defaults(&schema, &full);
    assert!(data::leaf_by_names(&schema, &trimmed, &["router", "logging", "level"]).is_none());
}

#[test_case(json!([{"number": 1, "group": ["all"]}]), false; "no action")]
#[test_case(json!([{"number": 1, "action": "deny"}]), false; "no group")]
#[test_case(json!([{"number": 1, "group": ["all"], "action": "deny"}]), true)]
fn constraints_are_checked_on_whole_trees(rules: serde_json::Value, is_valid: bool) {
    let schema = Schema::published();
    let fields =
        tree(&schema, json!({"rockflow-router:router": {"rockflow-access:access": {"rule": rules}}}));
    assert_eq!(data::check_constraints(&schema, &fields, &Path::default()).is_ok(), is_valid);
}
