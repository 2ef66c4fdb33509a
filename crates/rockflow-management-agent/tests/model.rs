//! Checks the served data against the YANG model: every served leaf exists in the model and has a value of
//! its type (otherwise the model writer panics or the test fails), and every state leaf of the model is
//! served.

mod common;

use common::{block_on, Setup};
use rockflow_yang::{data, NodeKind};
use std::collections::BTreeSet;
use std::time::Duration;

#[test]
fn serves_every_state_leaf_with_its_type() {
    // A host that has just started has a cold cache, so that `cold-until` is served.
    let now = std::time::SystemTime::now().duration_since(std::time::UNIX_EPOCH).unwrap();
    let mut setup = Setup::start(3, 2, Duration::from_millis(1));
    setup.site.announce_started("c3", now.as_millis() as u64);
    block_on(async {
        let mut root = setup.ssh("root").await;
        root.act(&setup.schema, "drain", &[("host", "c1"), ("reason", "x")]).await.unwrap();
        let edit = serde_json::json!({"rockflow-router:router": {"logging": {"level": "debug"}}});
        root.edit(&setup.schema, &setup.config_tree(edit)).await.unwrap();
        root.commit(Some(Duration::from_secs(60)), None, None).await.unwrap();
        let expected: BTreeSet<String> = setup
            .schema
            .nodes()
            .iter()
            .filter(|node| {
                !node.config && matches!(node.kind, NodeKind::Leaf { .. } | NodeKind::LeafList { .. })
            })
            .map(|node| setup.schema.schema_path(node.id))
            .filter(|path| path.starts_with("/rockflow-router:router/"))
            .collect();
        assert!(expected.len() > 40, "{}", expected.len());
        // Discovery sends its comments, and the list with them, once a second, so some leaves are served only after
        // a while.
        let mut missing = BTreeSet::new();
        for _ in 0..100 {
            let fields = root.get(&setup.schema, "operational", &[]).await.unwrap();
            let mut served = BTreeSet::new();
            for (path, value) in data::leaves(&fields) {
                let node = path.node().unwrap();
                // The client has already checked the value against its type; this checks that its text is
                // canonical.
                assert_eq!(
                    setup.schema.type_of(node).unwrap().parse(&value.to_string()).as_ref(),
                    Ok(&value)
                );
                served.insert(setup.schema.schema_path(node));
            }
            missing = expected.difference(&served).cloned().collect();
            // A commit has a comment only if the operator gave one.
            missing.retain(|path| !path.ends_with("/comment"));
            if missing.is_empty() {
                return;
            }
            tokio::time::sleep(Duration::from_millis(50)).await;
        }
        panic!("state leaves never served: {missing:?}");
    });
}
