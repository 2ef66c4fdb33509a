//! The published modules and what is read from them.

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
fn published_modules_parse_with_another_parser() {
    for (name, text) in rockflow_yang::PUBLISHED_MODULES {
        let read = Parser::parse_yang_from_string(text.to_string(), Config::new());
        assert!(read.is_ok(), "{name}: {:?}", read.err());
    }
}

#[test]
fn every_node_has_a_description() {
    let schema = Schema::published();
    for node in schema.nodes() {
        let own = !matches!(node.kind, NodeKind::Input | NodeKind::Output);
        assert!(!own || node.description.len() > 3, "{}", schema.schema_path(node.id));
    }
    let state = schema.find(&["router", "state", "hosts", "host", "legs-out"]).unwrap();
    assert!(!schema.node(state).config);
    let mark = schema.find(&["router", "marks", "mark"]).unwrap();
    assert!(schema.node(mark).config);
    assert_eq!(schema.schema_path(mark), "/rockflow-router:router/marks/mark");
    let access = schema.find(&["router", "access"]).unwrap();
    assert_eq!(schema.schema_path(access), "/rockflow-router:router/rockflow-access:access");
}

const BROKEN: &str = "module m { namespace \"urn:m\"; prefix m; revision 2026-01-01; BODY }";

#[test_case("leaf a { type string; }", true)]
#[test_case("leaf a { type wrong; }", false; "unknown type")]
#[test_case("leaf a { type uint8 { range \"1..x\"; } }", false; "odd range")]
#[test_case("leaf a { type uint8; default 300; }", false; "default past its type")]
#[test_case("list l { key k; leaf a { type string; } }", false; "no such key")]
#[test_case("leaf a { type string; must \"1\"; }", false; "a condition that nobody would check")]
#[test_case("choice c { leaf a { type string; } }", false; "what is not served")]
#[test_case("leaf a { type enumeration { enum x; } } leaf a { type string; }", false; "twice")]
#[test_case("augment \"/n:x\" { leaf a { type string; } }", false; "nothing to augment")]
#[test_case("leaf a { type string; ", false; "without end")]
fn compile_rejects_unsupported_statements(body: &str, taken: bool) {
    let text = BROKEN.replace("BODY", body);
    let read = Schema::compile(&[("m", &text)]);
    assert_eq!(read.is_ok(), taken, "{:?}", read.err());
}

fn tree(schema: &Schema, value: serde_json::Value) -> DataTree {
    json::read(schema, None, &value, NodeScope::ConfigAndState).unwrap()
}

fn marked() -> serde_json::Value {
    json!({"rockflow-router:router": {
        "marks": {"mark": [{"host": "c1", "state": "draining", "reason": "disk"}, {"host": "c2"}]},
        "rockflow-access:access": {"rule": [{"number": 4, "group": ["all"], "action": "permit"}]},
        "state": {"up": "12", "hosts": {"host": [{"name": "c1", "health": "0.25", "cell": 3}]}}
    }})
}

#[test]
fn json_survives_a_round_trip() {
    let schema = Schema::published();
    let fields = tree(&schema, marked());
    assert_eq!(json::write(&schema, &fields), marked());
}

/// A value of every leaf of the model, as JSON writes it.
const EVERY_LEAF: &str = include_str!("every_leaf.json");

#[test]
fn every_leaf_keeps_its_path_and_json_form() {
    let schema = Schema::published();
    let fields = tree(&schema, serde_json::from_str(EVERY_LEAF).unwrap());
    assert_eq!(serde_json::to_string_pretty(&json::write(&schema, &fields)).unwrap() + "\n", EVERY_LEAF);
    let held: BTreeSet<_> = data::leaves(&fields).keys().map(|path| path.node().unwrap()).collect();
    let of_data = |path: &str| path.starts_with("/rockflow-router:router/");
    for node in schema.nodes() {
        let path = schema.schema_path(node.id);
        if matches!(node.kind, NodeKind::Leaf { .. } | NodeKind::LeafList { .. }) && of_data(&path) {
            assert!(held.contains(&node.id), "{path}");
        }
    }
}

#[test_case(json!({"rockflow-router:router": {"nothing": 1}}); "unknown name")]
#[test_case(json!({"other:router": {}}); "unknown module")]
#[test_case(json!({"rockflow-router:router": {"marks": {"mark": [{"state": "gone"}]}}}); "no key")]
#[test_case(json!({"rockflow-router:router": {"marks": {"mark": [{"host": "c"}, {"host": "c"}]}}}); "twice")]
#[test_case(json!({"rockflow-router:router": {"marks": {"mark": {"host": "c"}}}}); "no array")]
#[test_case(json!({"rockflow-router:router": {"marks": {"mark": [{"host": "c", "state": "ready"}]}}}); "narrowed")]
#[test_case(json!({"rockflow-router:router": {"marks": {"mark": [{"host": "a b"}]}}}); "a blank in a name")]
#[test_case(json!({"rockflow-router:router": {"management": {"most-sessions": 0}}}); "out of range")]
#[test_case(json!({"rockflow-router:router": {"management": {"most-sessions": true}}}); "another type")]
#[test_case(json!({"rockflow-router:router": {"state": {"up": "1"}}}); "state")]
#[test_case(json!([]); "no object")]
fn json_read_rejects(value: serde_json::Value) {
    assert!(json::read(&Schema::published(), None, &value, NodeScope::ConfigOnly).is_err());
}

#[test_case("/rockflow-router:router/marks/mark[host='c1']/state", true)]
#[test_case("/router/marks/mark[host=\"c1\"]", true; "plain names")]
#[test_case("/router/marks/mark", true; "a whole list")]
#[test_case("/", true; "all")]
#[test_case("/router/marks/mark/state", false; "a key is missing on the way")]
#[test_case("/router/marks/mark[nohost='1']", false)]
#[test_case("/router/marks/mark[host='c1'", false)]
#[test_case("router", false)]
#[test_case("/router//marks", false)]
fn path_parses_only_if_it_names_one_instance(text: &str, reads: bool) {
    let schema = Schema::published();
    let path = Path::parse(&schema, text);
    assert_eq!(path.is_ok(), reads, "{path:?}");
    if let Ok(path) = path {
        assert_eq!(Path::parse(&schema, &path.to_text(&schema)).unwrap(), path);
    }
}

fn edit(schema: &Schema, path: &str, op: EditOperation, value: Option<serde_json::Value>) -> Edit {
    let path = Path::parse(schema, path).unwrap();
    let node = path.node().unwrap();
    let entry = path.0.last().is_some_and(|step| !step.keys.is_empty());
    let value = value.map(|value| match entry {
        true => DataNode::Container(json::read(schema, Some(node), &value, NodeScope::ConfigOnly).unwrap()),
        false => json::read_data(schema, node, &value, NodeScope::ConfigAndState).unwrap(),
    });
    Edit { path, op, value }
}

#[test_case("/router/marks/mark[host='c9']", EditOperation::Create, Some(json!({"reason": "x"})), None; "create")]
#[test_case("/router/marks/mark[host='c1']", EditOperation::Create, Some(json!({})), Some(EditErrorKind::Exists); "create what is")]
#[test_case("/router/marks/mark[host='c9']", EditOperation::Delete, None, Some(EditErrorKind::Missing); "delete what is not")]
#[test_case("/router/marks/mark[host='c9']", EditOperation::Remove, None, None; "remove what is not")]
#[test_case("/router/marks/mark[host='c9']", EditOperation::AssertExists, None, Some(EditErrorKind::Missing); "expect what is not")]
#[test_case("/router/marks/mark[host='c1']/host", EditOperation::Merge, Some(json!("c2")), Some(EditErrorKind::NotWritable); "change a key")]
#[test_case("/router/marks/mark[host='c1']/host", EditOperation::Remove, None, Some(EditErrorKind::NotWritable); "remove a key")]
#[test_case("/router/marks/mark[host='c1']/author", EditOperation::Merge, Some(json!("me")), Some(EditErrorKind::NotWritable); "write state")]
#[test_case("/router/marks", EditOperation::Delete, None, None; "delete all")]
fn edit_reports_its_error_and_leaves_the_tree(
    path: &str,
    op: EditOperation,
    value: Option<serde_json::Value>,
    error: Option<EditErrorKind>,
) {
    let schema = Schema::published();
    let before = tree(&schema, marked());
    let mut after = before.clone();
    let found = data::apply_edit(&schema, &mut after, &edit(&schema, path, op, value));
    assert_eq!(found.as_ref().err().map(|error| error.kind), error);
    if found.is_err() {
        assert_eq!(before, after);
    }
}

#[test]
fn replace_drops_leaves_that_merge_keeps() {
    let schema = Schema::published();
    let mut fields = tree(&schema, marked());
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
    let one = tree(&schema, marked());
    let other = tree(
        &schema,
        json!({"rockflow-router:router": {
            "marks": {"mark": [{"host": "c1", "reason": "fan"}, {"host": "c3"}]},
            "rockflow-access:access": {"rule": [{"number": 4, "group": ["all", "night"], "action": "deny"}]}
        }}),
    );
    for (from, to) in [(&one, &other), (&other, &one), (&DataTree::new(), &one), (&one, &DataTree::new())] {
        let mut at = from.clone();
        data::apply_changes(&schema, &mut at, &data::diff(from, to));
        assert_eq!(json::write(&schema, &at), json::write(&schema, to));
    }
}

#[test]
fn pattern_with_open_keys_selects_entries() {
    let schema = Schema::published();
    let fields = tree(&schema, marked());
    let pattern = Pattern::parse(&schema, "/router/marks/mark[host=*]/state").unwrap();
    let found = data::select_matching(&fields, &pattern);
    assert_eq!(
        json::write(&schema, &found),
        json!({"rockflow-router:router": {"marks": {"mark": [{"state": "draining"}]}}})
    );
    let state = Path::parse(&schema, "/router/marks/mark[host='c1']/state").unwrap();
    assert!(pattern.matches(&state));
    assert!(!pattern.matches(&Path::parse(&schema, "/router/marks/mark[host='c1']/reason").unwrap()));
}

#[test]
fn defaults_are_filled_in_and_trimmed() {
    let schema = Schema::published();
    let fields = tree(&schema, marked());
    let full = data::with_defaults(&schema, &fields, NodeScope::ConfigOnly);
    let level = data::leaf_by_names(&schema, &full, &["router", "logging", "level"]);
    assert_eq!(level.map(ToString::to_string).as_deref(), Some("info"));
    let back = data::without_defaults(&schema, &full);
    assert!(data::leaf_by_names(&schema, &back, &["router", "logging", "level"]).is_none());
}

#[test_case(json!([{"number": 1, "group": ["all"]}]), false; "no action")]
#[test_case(json!([{"number": 1, "action": "deny"}]), false; "nobody")]
#[test_case(json!([{"number": 1, "group": ["all"], "action": "deny"}]), true)]
fn constraints_hold_for_whole_trees(rules: serde_json::Value, holds: bool) {
    let schema = Schema::published();
    let fields =
        tree(&schema, json!({"rockflow-router:router": {"rockflow-access:access": {"rule": rules}}}));
    assert_eq!(data::check_constraints(&schema, &fields, &Path::default()).is_ok(), holds);
}
