//! The model and what is served are the same: every leaf that is served is of the model, with a value of its type
//! (else the writer panics, or this fails), and every state leaf of the model is served.

mod common;

use common::{block_on, Setup};
use rockflow_yang::{data, NodeKind};
use std::collections::BTreeSet;
use std::time::Duration;

#[test]
fn serves_every_state_leaf_with_its_type() {
    // A host that started lately, so that it is cold.
    let now = std::time::SystemTime::now().duration_since(std::time::UNIX_EPOCH).unwrap();
    let mut setup = Setup::start(3, 2, Duration::from_millis(1));
    setup.site.announce_started("c3", now.as_millis() as u64);
    block_on(async {
        let mut root = setup.ssh("root").await;
        root.act(&setup.schema, "drain", &[("host", "c1"), ("reason", "x")]).await.unwrap();
        let edit = serde_json::json!({"rockflow-router:router": {"logging": {"level": "debug"}}});
        root.edit(&setup.schema, &setup.tree(edit)).await.unwrap();
        root.commit(Some(Duration::from_secs(60)), None, None).await.unwrap();
        // The board's comments come each second, and the list with them.
        let wanted: BTreeSet<String> = setup
            .schema
            .nodes()
            .iter()
            .filter(|node| {
                !node.config && matches!(node.kind, NodeKind::Leaf { .. } | NodeKind::LeafList { .. })
            })
            .map(|node| setup.schema.schema_path(node.id))
            .filter(|path| path.starts_with("/rockflow-router:router/"))
            .collect();
        assert!(wanted.len() > 40, "{}", wanted.len());
        let mut missing = BTreeSet::new();
        for _ in 0..100 {
            let fields = root.get(&setup.schema, "operational", &[]).await.unwrap();
            let mut served = BTreeSet::new();
            for (path, value) in data::leaves(&fields) {
                let node = path.node().unwrap();
                // Read back by the client against the type already; the text is canonical.
                assert_eq!(
                    setup.schema.type_of(node).unwrap().parse(&value.to_string()).as_ref(),
                    Ok(&value)
                );
                served.insert(setup.schema.schema_path(node));
            }
            missing = wanted.difference(&served).cloned().collect();
            // A comment is made only where one was told.
            missing.retain(|path| !path.ends_with("/comment"));
            if missing.is_empty() {
                return;
            }
            tokio::time::sleep(Duration::from_millis(50)).await;
        }
        panic!("never served: {missing:?}");
    });
}
