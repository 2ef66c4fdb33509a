//! Compares the JSON line that the audit log holds for a commit with its literal text, because operators' tools
//! parse it.

use rockflow_management::{Commit, Operator, Protocol};
use rockflow_management_service::audit::Audit;
use rockflow_yang::{Change, Path, Scalar, Schema};
use std::path::PathBuf;
use std::time::Duration;

const REASON: &str = "/router/marks/mark[host='c1']/reason";

fn commit(schema: &Schema, change_count: usize) -> Commit {
    let change = |number: usize| Change {
        path: Path::parse(schema, REASON).unwrap(),
        before: number.checked_sub(1).map(|_| Scalar::text("disk \"0\"")),
        after: Some(Scalar::text(format!("disk {number}"))),
    };
    Commit {
        version: 7,
        operator: Operator {
            user: "ana".into(),
            protocol: Protocol::NetconfSsh,
            source: "192.0.2.2:5001".into(),
        },
        time: Duration::from_millis(1_780_000_000_123),
        comment: "disk swapped".into(),
        changes: (0..change_count).map(change).collect(),
    }
}

fn audit_file(name: &str) -> PathBuf {
    std::env::temp_dir().join(format!("rockflow-audit-{name}-{}.json", std::process::id()))
}

#[test]
fn appends_one_line_per_commit() {
    let (schema, path) = (Schema::published(), audit_file("line"));
    let mut audit = Audit::open(Some(&path)).unwrap();
    audit.write(&schema, &commit(&schema, 2));
    audit.write(&schema, &commit(&schema, 0));
    let text = std::fs::read_to_string(&path).unwrap();
    std::fs::remove_file(&path).unwrap();
    let expected = concat!(
        r#"{"changes":[{"after":"disk 0","before":null,"path":"/rockflow-router:router/marks/mark[host='c1']/reason"},"#,
        r#"{"after":"disk 1","before":"disk \"0\"","path":"/rockflow-router:router/marks/mark[host='c1']/reason"}],"#,
        r#""comment":"disk swapped","more":0,"protocol":"netconf-ssh","source":"192.0.2.2:5001","#,
        r#""time":"2026-05-28T20:26:40.123Z","user":"ana","version":7}"#,
        "\n",
        r#"{"changes":[],"comment":"disk swapped","more":0,"protocol":"netconf-ssh","source":"192.0.2.2:5001","#,
        r#""time":"2026-05-28T20:26:40.123Z","user":"ana","version":7}"#,
        "\n",
    );
    assert_eq!(text, expected);
}

#[test]
fn line_lists_limited_changes_and_counts_the_rest() {
    let (schema, path) = (Schema::published(), audit_file("more"));
    Audit::open(Some(&path)).unwrap().write(&schema, &commit(&schema, 203));
    let text = std::fs::read_to_string(&path).unwrap();
    std::fs::remove_file(&path).unwrap();
    assert_eq!(text.matches("\"path\":").count(), 200);
    assert!(text.contains(r#""more":3,"#), "{text}");
}
