//! Tests of the NETCONF server with the project's own client, against a complete dispatcher on loopback.

mod common;

use common::{block_on, key_of, Setup};
use rockflow::Readiness;
use rockflow_endpoints::AdminOverride;
use rockflow_management_client::ClientError;
use rockflow_test_servers::{keys, Load, LoadPhase};
use serde_json::json;
use std::time::Duration;

const MS: Duration = Duration::from_millis(1);
const SERVED: Duration = Duration::from_secs(10);

fn rejection(result: Result<impl Sized, ClientError>) -> (String, Option<String>, String) {
    match result.err().expect("the request is rejected") {
        ClientError::Rejected { tag, app_tag, message } => (tag, app_tag, message),
        other => panic!("{other}"),
    }
}

#[test]
fn drain_moves_requests_and_state_shows_it() {
    let mut setup = Setup::start(3, 2, 2 * MS);
    block_on(async {
        let mut root = setup.ssh("root").await;
        let state = setup.host_state(&mut root, "c1").await;
        assert_eq!(state["role"], "cache");
        assert_eq!((&state["listed"], &state["says"]), (&json!("ready"), &json!("board")));
        let load = Load::start(setup.address(), 20, Duration::ZERO, 1);
        load.wait_until_served(10, SERVED).await;
        root.act(&setup.schema, "drain", &[("host", "c1"), ("reason", "disk")]).await.unwrap();
        // Requests sent after the reply must not reach the drained host. Earlier requests have ended once
        // each client has received its answer to a later one.
        let phase_after_drain = load.start_phase();
        load.wait_until_served(1, SERVED).await;
        let attempts_until_drain = setup.site.hosts["c1"].take_attempts();
        load.wait_until_served(10, SERVED).await;
        let state = setup.host_state(&mut root, "c1").await;
        assert_eq!((&state["effective"], &state["says"]), (&json!("draining"), &json!("operator")));
        assert_eq!(state["listed"], "ready");
        // Discovery resends its complete list and the host's entry; the override must remain in effect.
        setup.site.announce_all();
        setup.site.announce("c1", "active");
        let revision_path = "/rockflow-router:router/state/board/last".to_string();
        let revision = setup.site.revision().to_string();
        let revision_received = async {
            loop {
                let state = root
                    .get(&setup.schema, "operational", std::slice::from_ref(&revision_path))
                    .await
                    .unwrap();
                if setup.to_json(&state)["rockflow-router:router"]["state"]["board"]["last"]
                    == revision.as_str()
                {
                    return;
                }
                tokio::time::sleep(5 * MS).await;
            }
        };
        tokio::time::timeout(Duration::from_secs(5), revision_received).await.unwrap();
        assert_eq!(setup.host_state(&mut root, "c1").await["effective"], "draining");
        let summary = load.stop();
        assert!(summary.succeeded > 200, "{}", summary.succeeded);
        assert_eq!((summary.unanswered, summary.duplicated), (0, 0));
        assert!(attempts_until_drain.len() > 10, "{}", attempts_until_drain.len());
        assert!(
            attempts_until_drain
                .iter()
                .all(|attempt| LoadPhase::from_request_id(&attempt.request_id).unwrap() < phase_after_drain),
            "{phase_after_drain:?} {attempts_until_drain:?}"
        );
        assert_eq!(setup.site.hosts["c1"].take_attempts().len(), 0);
        // After a parent is drained, no attempt names it as the source to fill from.
        root.act(&setup.schema, "drain", &[("host", "p1")]).await.unwrap();
        ["c2", "c3"].into_iter().for_each(|name| drop(setup.site.hosts[name].take_attempts()));
        let load = Load::start(setup.address(), 5, Duration::ZERO, 2);
        load.wait_until_served(10, SERVED).await;
        load.stop();
        let attempts: Vec<_> =
            ["c2", "c3"].into_iter().flat_map(|name| setup.site.hosts[name].take_attempts()).collect();
        assert!(attempts.iter().any(|attempt| attempt.source.as_deref() == Some("p2")));
        assert!(!attempts.iter().any(|attempt| attempt.source.as_deref() == Some("p1")));
        root.act(&setup.schema, "undrain", &[("host", "c1")]).await.unwrap();
        assert_eq!(setup.host_state(&mut root, "c1").await["effective"], "ready");
        // The operational datastore shows who set an override and in which commit; the audit log has one line
        // per commit.
        let marks =
            root.get(&setup.schema, "operational", &["/rockflow-router:router/marks".into()]).await.unwrap();
        let mark = &setup.to_json(&marks)["rockflow-router:router"]["marks"]["mark"][0];
        assert_eq!(
            (&mark["host"], &mark["author"], &mark["version"]),
            (&json!("p1"), &json!("root"), &json!("2"))
        );
        let audit = std::fs::read_to_string(setup.folder.file("audit")).unwrap();
        assert_eq!(audit.lines().count(), 3);
        assert!(audit.lines().next().unwrap().contains("\"protocol\":\"netconf-ssh\""), "{audit}");
    });
}

#[test]
fn last_host_of_a_location_needs_force() {
    let setup = Setup::start(2, 1, MS);
    block_on(async {
        let mut root = setup.tls("root").await;
        root.act(&setup.schema, "drain", &[("host", "c1")]).await.unwrap();
        let (tag, app, message) = rejection(root.act(&setup.schema, "drain", &[("host", "c2")]).await);
        assert_eq!((tag.as_str(), app.as_deref()), ("operation-failed", Some("none-left")));
        assert!(message.contains("c2") && message.contains("force"), "{message}");
        let (tag, ..) = rejection(root.act(&setup.schema, "drain", &[("host", "p1")]).await);
        assert_eq!(tag, "operation-failed");
        root.act(&setup.schema, "drain", &[("host", "c2"), ("force", "true")]).await.unwrap();
        assert_eq!(setup.host_state(&mut root, "c2").await["effective"], "draining");
    });
}

fn mark(host: &str, reason: &str) -> serde_json::Value {
    json!({"rockflow-router:router": {"marks": {"mark": [{"host": host, "reason": reason}]}}})
}

#[test]
fn concurrent_edits_have_one_winner() {
    let setup = Setup::start(3, 1, MS);
    block_on(async {
        let mut root = setup.ssh("root").await;
        let rules = json!({"rockflow-router:router": {"rockflow-access:access": {
            "rule": [{"number": 1, "group": ["all"], "action": "permit"}]}}});
        root.edit(&setup.schema, &setup.config_tree(rules)).await.unwrap();
        root.commit(None, None, None).await.unwrap();
        let (mut ana, mut ben) = (setup.ssh("ana").await, setup.tls("ben").await);
        ana.edit(&setup.schema, &setup.config_tree(mark("c1", "disk"))).await.unwrap();
        ben.edit(&setup.schema, &setup.config_tree(mark("c1", "fan"))).await.unwrap();
        // While the first user's confirmed commit is pending, the second user can't commit.
        ana.commit(Some(Duration::from_secs(60)), None, None).await.unwrap();
        let (tag, _, message) = rejection(ben.commit(None, None, None).await);
        assert_eq!(tag, "in-use");
        assert!(message.contains("ana"), "{message}");
        assert_eq!(setup.host_state(&mut root, "c1").await["effective"], "draining");
        // The first user's connection closes before the confirmation, so the commit is reverted and the
        // second user can commit.
        drop(ana);
        let reverted = async {
            while setup.host_state(&mut root, "c1").await["effective"] != "ready" {
                tokio::time::sleep(5 * MS).await;
            }
        };
        tokio::time::timeout(Duration::from_secs(5), reverted).await.unwrap();
        ben.commit(None, None, None).await.unwrap();
        assert_eq!(setup.host_state(&mut root, "c1").await["effective"], "draining");
        // Of two conflicting commits, the first succeeds and the error of the second names its author.
        let mut ana = setup.ssh("ana").await;
        ana.edit(&setup.schema, &setup.config_tree(mark("c2", "ana's"))).await.unwrap();
        ben.edit(&setup.schema, &setup.config_tree(mark("c2", "ben's"))).await.unwrap();
        ben.commit(None, None, None).await.unwrap();
        let (tag, app, message) = rejection(ana.commit(None, None, None).await);
        assert_eq!((tag.as_str(), app.as_deref()), ("operation-failed", Some("conflict")));
        assert!(message.contains("by ben in commit"), "{message}");
        // Killing the session that holds a lock releases the lock.
        ana.call("<discard-changes/>").await.unwrap();
        ana.call("<lock><target><running/></target></lock>").await.unwrap();
        let (tag, _, message) = rejection(ben.call("<lock><target><running/></target></lock>").await);
        assert_eq!(tag, "lock-denied");
        assert!(message.contains(&ana.session.to_string()), "{message}");
        root.call(&format!("<kill-session><session-id>{}</session-id></kill-session>", ana.session))
            .await
            .unwrap();
        ben.call("<lock><target><running/></target></lock>").await.unwrap();
        assert!(ana.call("<get-config><source><running/></source></get-config>").await.is_err());
    });
}

#[test]
fn rejects_unauthorized_and_unknown_users() {
    let setup = Setup::start(2, 1, MS);
    block_on(async {
        let mut eve = setup.ssh("eve").await;
        let (tag, ..) = rejection(eve.act(&setup.schema, "drain", &[("host", "c1")]).await);
        assert_eq!(tag, "access-denied");
        let (tag, ..) = rejection(eve.edit(&setup.schema, &setup.config_tree(mark("c1", "x"))).await);
        assert_eq!(tag, "access-denied");
        assert_eq!(setup.host_state(&mut eve, "c1").await["effective"], "ready");
        // Rejected: another user's key, a user without a key file, a path as the user name, a certificate of
        // another authority, and, by the client, another host key.
        assert!(matches!(setup.try_ssh("root", key_of("eve")).await, Err(ClientError::Untrusted(_))));
        assert!(matches!(setup.try_ssh("nobody", key_of("eve")).await, Err(ClientError::Untrusted(_))));
        assert!(matches!(setup.try_ssh("../users/eve", key_of("eve")).await, Err(ClientError::Untrusted(_))));
        let other = keys::Authority::new("other");
        let address = setup.addresses.tls.unwrap().to_string();
        let config = setup.tls_config(&other, "root");
        let result = rockflow_management_client::netconf::Client::tls(&address, "localhost", config).await;
        assert!(result.is_err());
        let address = setup.addresses.ssh.unwrap().to_string();
        let host = keys::ssh_key(99).public_key().clone();
        let result =
            rockflow_management_client::netconf::Client::ssh(&address, "root", key_of("root"), host).await;
        assert!(matches!(result, Err(ClientError::Untrusted(_))));
    });
}

#[test]
fn serves_schemas_filters_defaults_and_monitoring() {
    let setup = Setup::start(2, 1, MS);
    block_on(async {
        let mut root = setup.ssh("root").await;
        for (name, text) in rockflow_yang::PUBLISHED_MODULES {
            let call = format!(
                "<get-schema xmlns=\"{}\"><identifier>{name}</identifier></get-schema>",
                rockflow_netconf::ns::MONITORING
            );
            assert_eq!(root.call(&call).await.unwrap().text_of("data"), Some(text.trim()));
        }
        root.act(&setup.schema, "drain", &[("host", "c1"), ("reason", "a < b & \"c\"")]).await.unwrap();
        let ns = "xmlns=\"urn:rockflow:yang:router\"";
        let get = |filter: &str| {
            format!("<get-config><source><running/></source><filter>{filter}</filter></get-config>")
        };
        let marks = |inner: &str| get(&format!("<router {ns}><marks><mark>{inner}</mark></marks></router>"));
        let found = root.call(&marks("<host>c1</host><reason/>")).await.unwrap();
        let mark = found.child("data").unwrap().children[0].children[0].children[0].clone();
        assert_eq!(mark.text_of("reason"), Some("a < b & \"c\""));
        assert!(mark.child("state").is_none());
        let found = root.call(&marks("<host>c2</host>")).await.unwrap();
        assert!(found.child("data").unwrap().children.is_empty());
        let found = root
            .call("<get-config><source><running/></source><with-defaults xmlns=\"urn:ietf:params:xml:ns:yang:ietf-netconf-with-defaults\">report-all-tagged</with-defaults></get-config>")
            .await
            .unwrap();
        let router = &found.child("data").unwrap().children[0];
        let level = router.child("logging").unwrap().child("level").unwrap();
        assert_eq!(
            (level.text(), level.attribute(rockflow_netconf::ns::DEFAULT_TAG, "default")),
            ("info", Some("true"))
        );
        let found = root
            .call("<get><filter><netconf-state xmlns=\"urn:ietf:params:xml:ns:yang:ietf-netconf-monitoring\"><sessions/></netconf-state></filter></get>")
            .await
            .unwrap();
        let sessions =
            found.child("data").unwrap().child("netconf-state").unwrap().child("sessions").unwrap();
        assert_eq!(sessions.children[0].text_of("username"), Some("root"));
        let (tag, ..) =
            rejection(root.call("<get-config><source><url>file:///etc</url></source></get-config>").await);
        assert_eq!(tag, "operation-not-supported");
        let (tag, ..) = rejection(root.call("<reboot/>").await);
        assert_eq!(tag, "operation-not-supported");
    });
}

#[test]
fn subscribers_receive_events_and_changes() {
    let setup = Setup::start(2, 1, MS);
    block_on(async {
        let (mut root, mut event_client, mut push_client) =
            (setup.ssh("root").await, setup.tls("ana").await, setup.ssh("ben").await);
        event_client.events().await.unwrap();
        let path = "/rockflow-router:router/state/hosts/host/effective".to_string();
        push_client.follow(&[path], None).await.unwrap();
        let first = push_client.notification().await.unwrap();
        assert_eq!(first.children[1].name, "push-update");
        root.act(&setup.schema, "drain", &[("host", "c1")]).await.unwrap();
        let wait = Duration::from_secs(5);
        let changed = tokio::time::timeout(wait, push_client.notification()).await.unwrap().unwrap();
        let edit =
            &changed.child("push-change-update").unwrap().child("datastore-changes").unwrap().children[0];
        let edit = edit.child("edit").unwrap();
        assert!(edit.text_of("target").unwrap().contains("host[name='c1']/effective"), "{edit:?}");
        assert_eq!(edit.child("value").unwrap().children[0].text(), "draining");
        let mut event_names = Vec::new();
        while !event_names.contains(&"host-changed".to_string()) {
            let event = tokio::time::timeout(wait, event_client.notification()).await.unwrap().unwrap();
            event_names.push(event.children[1].name.clone());
        }
        assert!(
            event_names.contains(&"netconf-config-change".to_string())
                && event_names.contains(&"committed".to_string())
        );
    });
}

/// Overrides from control and from operators apply together: the state names the source of each, and neither
/// replaces the other.
#[test]
fn control_and_operator_overrides_apply_together() {
    let setup = Setup::start(3, 1, Duration::ZERO);
    let set_control_overrides = |names: &[&str]| {
        let draining = AdminOverride { readiness: Readiness::Draining, expires_at: None, force: false };
        let overrides = names.iter().map(|name| (name.to_string(), draining)).collect();
        let (done, wait) = std::sync::mpsc::channel();
        assert!(setup
            .service
            .handle()
            .set_control_overrides(overrides, move |refused| done.send(refused).unwrap()));
        wait.recv_timeout(Duration::from_secs(5)).unwrap()
    };
    block_on(async {
        let mut root = setup.ssh("root").await;
        assert!(set_control_overrides(&["c1"]).is_empty());
        let state = setup.host_state(&mut root, "c1").await;
        assert_eq!((&state["effective"], &state["says"]), (&json!("draining"), &json!("fleet")));
        assert!(state.get("marked").is_none(), "{state}");
        root.act(&setup.schema, "drain", &[("host", "c2")]).await.unwrap();
        let state = setup.host_state(&mut root, "c1").await;
        assert_eq!((&state["effective"], &state["says"]), (&json!("draining"), &json!("fleet")));
        // The last host that neither has drained can't be drained by an operator, nor by control.
        let (tag, ..) = rejection(root.act(&setup.schema, "drain", &[("host", "c3")]).await);
        assert_eq!(tag, "operation-failed");
        assert_eq!(set_control_overrides(&["c1", "c3"]).keys().collect::<Vec<_>>(), ["c3"]);
        assert!(set_control_overrides(&[]).is_empty());
        let state = setup.host_state(&mut root, "c2").await;
        assert_eq!((&state["effective"], &state["says"]), (&json!("draining"), &json!("operator")));
        // The management service caches the dispatcher's status briefly, so the change may show with a delay.
        let ready = async {
            while setup.host_state(&mut root, "c1").await["effective"] != json!("ready") {
                tokio::time::sleep(5 * MS).await;
            }
        };
        tokio::time::timeout(Duration::from_secs(5), ready).await.unwrap();
    });
}
