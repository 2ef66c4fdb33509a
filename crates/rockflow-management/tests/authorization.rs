//! Checks a table of which user may perform which operation on which node, and make which call.

use rockflow_management::{Access, Operation};
use rockflow_yang::{json, NodeScope, Path, Schema};

const RULES: &str = r#"{"rockflow-router:router": {"rockflow-access:access": {
  "group": [
    {"name": "watch", "user": ["wim"]}, {"name": "drain", "user": ["dot"]},
    {"name": "marks", "user": ["max"]}, {"name": "all-but-access", "user": ["abe"]},
    {"name": "blind", "user": ["bo"]}
  ],
  "rule": [
    {"number": 1, "group": ["blind"], "path": "/router/state", "operation": ["read"], "action": "deny"},
    {"number": 2, "group": ["drain"], "rpc": "drain", "action": "permit"},
    {"number": 3, "group": ["drain"], "rpc": "undrain", "action": "permit"},
    {"number": 4, "group": ["marks"], "path": "/router/marks/mark[host='c1']", "action": "permit"},
    {"number": 5, "group": ["all-but-access"], "path": "/router/access", "action": "deny"},
    {"number": 6, "group": ["all-but-access"], "path": "/router", "action": "permit"},
    {"number": 7, "group": ["all-but-access"], "rpc": "*", "action": "permit"}
  ]}}}"#;

const PATHS: [&str; 6] = [
    "/router/marks/mark[host='c1']/state",
    "/router/marks/mark[host='c2']/state",
    "/router/logging/level",
    "/router/access/write-default",
    "/router/state/hosts/host[name='c1']/effective",
    "/router/management/most-sessions",
];
const CALLS: [&str; 8] =
    ["get", "edit-config", "commit", "drain", "undrain", "rollback", "kill-session", "delete-config"];

/// For each user: the permitted operations on each of [`PATHS`] (`c`reate, `r`ead, `u`pdate, `d`elete; `-` where one is
/// denied), then the permitted calls of [`CALLS`].
const TABLE: [(&str, [&str; 6], &str); 7] = [
    (
        "root",
        ["crud", "crud", "crud", "crud", "crud", "crud"],
        "get edit-config commit drain undrain rollback kill-session delete-config",
    ),
    ("nobody", ["-r--", "-r--", "-r--", "----", "-r--", "-r--"], "get edit-config commit"),
    ("wim", ["-r--", "-r--", "-r--", "----", "-r--", "-r--"], "get edit-config commit"),
    ("dot", ["-r--", "-r--", "-r--", "----", "-r--", "-r--"], "get edit-config commit drain undrain"),
    ("max", ["crud", "-r--", "-r--", "----", "-r--", "-r--"], "get edit-config commit"),
    (
        "abe",
        ["crud", "crud", "crud", "----", "crud", "crud"],
        "get edit-config commit drain undrain rollback kill-session delete-config",
    ),
    ("bo", ["-r--", "-r--", "-r--", "----", "----", "-r--"], "get edit-config commit"),
];

#[test]
fn permits_exactly_the_rights_of_the_table() {
    let schema = Schema::published();
    let running =
        json::read(&schema, None, &serde_json::from_str(RULES).unwrap(), NodeScope::ConfigOnly).unwrap();
    let access = Access::compile(&schema, &running, Some("root".into())).unwrap();
    let operations = [
        (Operation::Create, 'c'),
        (Operation::Read, 'r'),
        (Operation::Update, 'u'),
        (Operation::Delete, 'd'),
    ];
    for (user, rights, calls) in TABLE {
        for (text, expected) in PATHS.into_iter().zip(rights) {
            let path = Path::parse(&schema, text).unwrap();
            let letter =
                |(operation, letter)| if access.is_permitted(user, operation, &path) { letter } else { '-' };
            let actual: String = operations.map(letter).iter().collect();
            assert_eq!(actual, expected, "{user} {text}");
        }
        let actual: Vec<_> = CALLS.into_iter().filter(|call| access.is_call_permitted(user, call)).collect();
        assert_eq!(actual.join(" "), calls, "{user}");
    }
}

#[test]
fn readable_omits_what_the_user_may_not_read() {
    let schema = Schema::published();
    let running =
        json::read(&schema, None, &serde_json::from_str(RULES).unwrap(), NodeScope::ConfigOnly).unwrap();
    let access = Access::compile(&schema, &running, Some("root".into())).unwrap();
    assert_eq!(access.readable(&schema, "root", &running), running);
    assert!(access.readable(&schema, "wim", &running).is_empty());
}
