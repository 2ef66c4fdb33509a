//! Checks the message text of the errors that operators see in replies and on the command line.

use rockflow_yang::{data, json, NodeScope, Path, Schema};

const HEAD: &str = "namespace \"urn:m\"; prefix m; revision 2026-01-01;";

/// The body of a module, and the expected error text.
const STATEMENTS: &[(&str, &str)] = &[
    ("leaf a { type wrong; }", "m: line 1: type wrong: no such type"),
    (r#"leaf a { type uint8 { range "1..x"; } }"#, "m: line 1: type uint8: a range can't be read"),
    ("leaf a { type uint8; default 300; }", "m: line 1: leaf a: default must be a number from 0 to 255"),
    ("list l { key k; leaf a { type string; } }", "m: line 1: list l: no such key"),
    ("list l { leaf a { type string; } }", "m: line 1: list l: no key"),
    (r#"leaf a { type string; must "1"; }"#, "m: line 1: must 1: not known here"),
    ("choice c { leaf a { type string; } }", "m: line 1: choice c: not known at the top"),
    (
        "leaf a { type enumeration { enum x; } } leaf a { type string; }",
        "m: line 1: leaf a: stands there already",
    ),
    (r#"augment "/n:x" { leaf a { type string; } }"#, "m: line 1: augment /n:x: a prefix is not known"),
    (r#"augment "/x" { leaf a { type string; } }"#, "m: line 1: augment /x: a step has no prefix"),
    (r#"augment "/m:x" { leaf a { type string; } }"#, "m: line 1: augment /m:x: names nothing"),
    ("leaf a { type string; ", "m: line 1: unexpected EndOfInput"),
    ("leaf a { }", "m: line 1: leaf a: no type"),
    (r#"leaf a { type string { length "x"; } }"#, "m: line 1: type string: a length can't be read"),
    (
        r#"leaf a { type string { pattern "("; } }"#,
        "m: line 1: type string: found open group without closing ')'",
    ),
    ("leaf a { type decimal64; }", "m: line 1: type decimal64: no fraction-digits"),
    ("leaf a { type enumeration; }", "m: line 1: type enumeration: no enum"),
    (
        "typedef e { type enumeration { enum x; } } leaf a { type e { enum y; } }",
        "m: line 1: type e: y is not of the type that this narrows",
    ),
    ("leaf a { type n:e; }", "m: line 1: type n:e: a prefix is not known"),
    (
        "list l { key a; min-elements x; leaf a { type string; } }",
        "m: line 1: list l: min-elements is no number",
    ),
    ("import o { prefix o; }", "m: line 1: import o: not known by then"),
    (
        r#"container c { } augment "/m:c" { grouping g; }"#,
        "m: line 1: grouping g: not known within an augment",
    ),
    ("leaf a { type string; } } leaf b { type string; }", "m: line 1: leaf b: stands behind the module"),
];

/// The text of a module, and the expected error text.
const MODULES: &[(&str, &str)] = &[
    ("", "m: no statement"),
    ("leaf a;", "m: line 1: leaf a: a module is wanted"),
    ("module m { }", "m: line 1: module m: no namespace"),
    (r#"module m { namespace "a"; }"#, "m: line 1: module m: no prefix"),
    (r#"module m { namespace "a"; prefix m; }"#, "m: line 1: module m: no revision"),
];

/// A path, and the expected error text.
const PATHS: &[(&str, &str)] = &[
    ("/router/marks/mark/state", "/router/marks/mark/state: a list on the way has no key"),
    ("/router/marks/mark[nohost='1']", "mark: nohost is no key of it"),
    ("/router/marks/mark[host='c1'", "/router/marks/mark[host='c1': a key is odd"),
    ("router", "router: a step begins with /"),
    ("/router//marks", ": no such node"),
    ("/other:router", "other:router: no such module"),
    ("/router/marks/mark[host='a b']", "mark: host must match [!-~]+"),
    ("/router/rockflow-access:access/rule[number='x']", "rule: number must be a number from 0 to 65535"),
    (
        "/router/rockflow-access:access/rule[number=4]/operation[.='odd']",
        "operation: must be one of create, read, update, delete, exec",
    ),
];

/// A JSON document that can't be read, and the expected error text.
const DOCUMENTS: &[(&str, &str)] = &[
    ("[]", "an object is wanted"),
    (r#"{"other:router":{}}"#, "other:router: no such module"),
    (r#"{"rockflow-router:router":{"nothing":1}}"#, "rockflow-router:router: nothing: no such node"),
    (
        r#"{"rockflow-router:router":{"marks":{"mark":[{"state":"gone"}]}}}"#,
        "rockflow-router:router: marks: mark: the key host is missing",
    ),
    (
        r#"{"rockflow-router:router":{"marks":{"mark":[{"host":"c"},{"host":"c"}]}}}"#,
        "rockflow-router:router: marks: mark: an entry stands twice",
    ),
    (
        r#"{"rockflow-router:router":{"marks":{"mark":{"host":"c"}}}}"#,
        "rockflow-router:router: marks: mark: an array is wanted",
    ),
    (
        r#"{"rockflow-router:router":{"marks":{"mark":[{"host":"c","state":"ready"}]}}}"#,
        "rockflow-router:router: marks: mark: state: must be one of draining, gone",
    ),
    (
        r#"{"rockflow-router:router":{"marks":{"mark":[{"host":"a b"}]}}}"#,
        "rockflow-router:router: marks: mark: host: must match [!-~]+",
    ),
    (
        r#"{"rockflow-router:router":{"marks":{"mark":[{"force":"true","host":"c"}]}}}"#,
        "rockflow-router:router: marks: mark: force: is not of the type's JSON form",
    ),
    (
        r#"{"rockflow-router:router":{"marks":{"mark":[{"force":1,"host":"c"}]}}}"#,
        "rockflow-router:router: marks: mark: force: must be true or false",
    ),
    (
        r#"{"rockflow-router:router":{"marks":{"mark":[{"host":"c","reason":{}}]}}}"#,
        "rockflow-router:router: marks: mark: reason: a value is wanted",
    ),
    (
        r#"{"rockflow-router:router":{"management":{"most-sessions":0}}}"#,
        "rockflow-router:router: management: most-sessions: must be a number in 1..256",
    ),
    (
        r#"{"rockflow-router:router":{"management":{"most-sessions":true}}}"#,
        "rockflow-router:router: management: most-sessions: must be a number in 1..256",
    ),
    (
        r#"{"rockflow-router:router":{"state":{"up":"1"}}}"#,
        "rockflow-router:router: state: is state, which can't be written",
    ),
    (r#"{"rockflow-router:router":{},"router":{}}"#, "router: stands twice"),
    (
        r#"{"rockflow-router:router":{"rockflow-access:access":{"group":[{"name":"a","user":["b","b"]}]}}}"#,
        "rockflow-router:router: rockflow-access:access: group: user: a value stands twice",
    ),
    (
        r#"{"rockflow-router:router":{"rockflow-access:access":{"rule":[{"group":["all"],"number":1,"path":"x"}]}}}"#,
        "rockflow-router:router: rockflow-access:access: rule: path: must match /.*",
    ),
    (
        r#"{"rockflow-router:router":{"marks":{"mark":[{"expires":"today","host":"c"}]}}}"#,
        "rockflow-router:router: marks: mark: expires: must be 20..35 characters long",
    ),
    (
        r#"{"rockflow-router:router":{"marks":{"mark":[{"host":"c","reason":"\u0001"}]}}}"#,
        "rockflow-router:router: marks: mark: reason: holds a control character",
    ),
];

/// A JSON document that can be read but violates a constraint of the model, and the expected error text.
const INCOMPLETE: &[(&str, &str)] = &[
    (r#"{"rockflow-router:router":{"rockflow-access:access":{"rule":[{"number":1,"group":["all"]}]}}}"#,
     "/rockflow-router:router/rockflow-access:access/rule[number='1']: action is missing"),
    (r#"{"rockflow-router:router":{"rockflow-access:access":{"rule":[{"number":1,"group":[],"action":"deny"}]}}}"#,
     "/rockflow-router:router/rockflow-access:access/rule[number='1']/group: 0 entries, from 1 to 64 may be"),
];

#[test]
fn module_error_names_line_and_statement() {
    for (body, message) in STATEMENTS {
        let module = format!("module m {{ {HEAD} {body} }}");
        assert_eq!(Schema::compile(&[("m", &module)]).unwrap_err().to_string(), *message, "{body}");
    }
    for (module, message) in MODULES {
        assert_eq!(Schema::compile(&[("m", module)]).unwrap_err().to_string(), *message, "{module}");
    }
}

#[test]
fn path_error_names_the_step() {
    let schema = Schema::published();
    for (path, message) in PATHS {
        assert_eq!(Path::parse(&schema, path).unwrap_err().to_string(), *message, "{path}");
    }
    let too_long = "x".repeat(rockflow_yang::path::MAX_TEXT + 1);
    assert_eq!(Path::parse(&schema, &too_long).unwrap_err().to_string(), "the path is too long");
}

#[test]
fn document_error_names_the_member() {
    let schema = Schema::published();
    for (document, message) in DOCUMENTS {
        let value = serde_json::from_str(document).unwrap();
        let error = json::read(&schema, None, &value, NodeScope::ConfigOnly).unwrap_err();
        assert_eq!(error.to_string(), *message, "{document}");
    }
}

#[test]
fn constraint_error_names_the_path() {
    let schema = Schema::published();
    for (document, message) in INCOMPLETE {
        let value = serde_json::from_str(document).unwrap();
        let tree = json::read(&schema, None, &value, NodeScope::ConfigOnly).unwrap();
        let error = data::check_constraints(&schema, &tree, &Path::default()).unwrap_err();
        assert_eq!(error.to_string(), *message, "{document}");
    }
}
