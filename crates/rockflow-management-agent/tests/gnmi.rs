//! Tests of the gNMI server against a complete dispatcher on loopback.

mod common;

use common::{block_on, Setup};
use rockflow_gnmi::wire;
use rockflow_management_client::gnmi::{self, Client};
use rockflow_management_client::ClientError;
use rockflow_test_servers::{keys, Load, LoadPhase};
use serde_json::json;
use std::time::Duration;
use test_case::test_case;
use tonic::Streaming;
use wire::subscribe_response::Response;

const MS: Duration = Duration::from_millis(1);
const WAIT: Duration = Duration::from_secs(5);
const SERVED: Duration = Duration::from_secs(10);

fn rejection(result: Result<impl Sized, ClientError>) -> (String, String) {
    match result.err().expect("the request is rejected") {
        ClientError::Rejected { tag, message, .. } => (tag, message),
        other => panic!("{other}"),
    }
}

async fn next_response(stream: &mut Streaming<wire::SubscribeResponse>) -> Response {
    let response = tokio::time::timeout(WAIT, stream.message()).await.expect("in time");
    response.unwrap().expect("a message").response.unwrap()
}

/// The updates up to the sync response, each with its path.
async fn until_sync(stream: &mut Streaming<wire::SubscribeResponse>) -> Vec<(String, serde_json::Value)> {
    let mut all = Vec::new();
    loop {
        match next_response(stream).await {
            Response::SyncResponse(_) => return all,
            Response::Update(note) => all.extend(
                note.update
                    .iter()
                    .map(|update| (gnmi::text(update.path.as_ref().unwrap()), gnmi::json(update))),
            ),
        }
    }
}

async fn effective(setup: &Setup, client: &mut Client, host: &str) -> serde_json::Value {
    let path = format!("/router/state/hosts/host[name={host}]/effective");
    client.get(&setup.schema, &[path]).await.unwrap()[0].1.clone()
}

#[test]
fn set_drains_host_under_load() {
    let setup = Setup::start(3, 1, 2 * MS);
    block_on(async {
        let mut root = setup.gnmi("root").await;
        let capabilities = root.capabilities().await.unwrap();
        let names: Vec<_> = capabilities.supported_models.iter().map(|model| model.name.as_str()).collect();
        assert_eq!(names, ["rockflow-types", "rockflow-router", "rockflow-access", "rockflow-history"]);
        assert_eq!(effective(&setup, &mut root, "c1").await, "ready");
        let load = Load::start(setup.address(), 20, Duration::ZERO, 3);
        load.wait_until_served(10, SERVED).await;
        let mark = "/router/marks/mark[host=c1]";
        root.set(&setup.schema, &[], &[], &[(mark, json!({"reason": "disk"}))]).await.unwrap();
        // Requests sent after the reply must not reach the drained host. Earlier requests have ended once
        // each client has received its answer to a later one.
        let phase_after_drain = load.start_phase();
        load.wait_until_served(1, SERVED).await;
        let attempts_until_drain = setup.site.hosts["c1"].take_attempts();
        load.wait_until_served(10, SERVED).await;
        let summary = load.stop();
        assert_eq!((summary.unanswered, summary.duplicated), (0, 0));
        assert!(attempts_until_drain.len() > 10, "{}", attempts_until_drain.len());
        assert!(
            attempts_until_drain
                .iter()
                .all(|attempt| LoadPhase::from_request_id(&attempt.request_id).unwrap() < phase_after_drain),
            "{phase_after_drain:?} {attempts_until_drain:?}"
        );
        assert_eq!(setup.site.hosts["c1"].take_attempts().len(), 0);
        assert_eq!(effective(&setup, &mut root, "c1").await, "draining");
        root.set(&setup.schema, &[mark], &[], &[]).await.unwrap();
        assert_eq!(effective(&setup, &mut root, "c1").await, "ready");
    });
}

#[test]
fn set_is_one_transaction() {
    let setup = Setup::start(4, 1, MS);
    block_on(async {
        let mut root = setup.gnmi("root").await;
        let marks = "/router/marks";
        let both = json!({"mark": [{"host": "c1"}, {"host": "c2", "state": "gone"}]});
        root.set(&setup.schema, &[], &[(marks, both)], &[("/router/logging/level", json!("debug"))])
            .await
            .unwrap();
        // One invalid update makes the whole request fail.
        let bad = [("/router/marks/mark[host=c3]", json!({})), ("/router/logging/level", json!("loud"))];
        assert_eq!(rejection(root.set(&setup.schema, &[], &[], &bad).await).0, "invalid-value");
        let found = root.get(&setup.schema, &["/router/marks/mark[host=*]/host".into()]).await.unwrap();
        assert_eq!(found.len(), 2);
        // Deletes are applied first, also with wildcard keys; a replace leaves nothing of the previous value.
        let one = [("/router/marks/mark[host=c2]", json!({"reason": "new"}))];
        root.set(&setup.schema, &["/router/marks/mark[host=*]"], &one, &[]).await.unwrap();
        let found = root.get(&setup.schema, &["/router/marks".into()]).await.unwrap();
        let mark = &found[0].1["rockflow-router:mark"][0];
        assert_eq!(
            (&mark["host"], &mark["reason"], &mark["author"]),
            (&json!("c2"), &json!("new"), &json!("root"))
        );
        assert!(mark.get("state").is_none());
        assert_eq!(effective(&setup, &mut root, "c1").await, "ready");
        // Draining all hosts of a location is refused without `force`.
        let all = json!({"mark": [{"host": "c1"}, {"host": "c2"}, {"host": "c3"}, {"host": "c4"}]});
        let (tag, message) = rejection(root.set(&setup.schema, &[], &[], &[(marks, all)]).await);
        assert_eq!(tag, "operation-failed");
        assert!(message.contains("force"), "{message}");
    });
}

#[test]
fn netconf_lock_blocks_set() {
    let setup = Setup::start(3, 1, MS);
    block_on(async {
        let (mut gnmi, mut netconf) = (setup.gnmi("root").await, setup.ssh("root").await);
        let mark = [("/router/marks/mark[host=c1]", json!({}))];
        netconf.call("<lock><target><running/></target></lock>").await.unwrap();
        let (tag, message) = rejection(gnmi.set(&setup.schema, &[], &[], &mark).await);
        assert_eq!(tag, "in-use");
        assert!(message.contains(&format!("session {}", netconf.session)), "{message}");
        // The lock is released when the session's connection closes.
        drop(netconf);
        let set = async { while gnmi.set(&setup.schema, &[], &[], &mark).await.is_err() {} };
        tokio::time::timeout(WAIT, set).await.unwrap();
        // A candidate edited before the Set conflicts with it when it is committed, as both change the same
        // host.
        let mut netconf = setup.ssh("root").await;
        let path = "<router xmlns=\"urn:rockflow:yang:router\"><marks><mark><host>c1</host><reason>mine</reason></mark></marks></router>";
        netconf.edit_xml(path).await.unwrap();
        gnmi.set(&setup.schema, &[], &[], &[("/router/marks/mark[host=c1]/reason", json!("theirs"))])
            .await
            .unwrap();
        let ended = netconf.commit(None, None, None).await;
        assert!(
            matches!(&ended, Err(ClientError::Rejected { app_tag: Some(tag), .. }) if tag == "conflict"),
            "{ended:?}"
        );
    });
}

#[test]
fn stream_subscriptions_send_changes_and_samples() {
    let setup = Setup::start(2, 1, MS);
    block_on(async {
        let mut root = setup.gnmi("root").await;
        let paths = ["/router/state/hosts/host/effective".to_string(), "/router/marks".to_string()];
        let mut changes = root.clone().follow(&setup.schema, &paths, None).await.unwrap();
        assert_eq!(until_sync(&mut changes).await.len(), 4);
        let mut samples = root.clone().follow(&setup.schema, &paths[..1], Some(100 * MS)).await.unwrap();
        assert_eq!(until_sync(&mut samples).await.len(), 4);
        let mark = "/router/marks/mark[host=c1]";
        root.set(&setup.schema, &[], &[], &[(mark, json!({"reason": "x"}))]).await.unwrap();
        let mut updates = Vec::new();
        while !updates
            .iter()
            .any(|(path, value): &(String, _)| path.contains("effective") && *value == "draining")
        {
            if let Response::Update(note) = next_response(&mut changes).await {
                updates.extend(
                    note.update
                        .iter()
                        .map(|update| (gnmi::text(update.path.as_ref().unwrap()), gnmi::json(update))),
                );
            }
        }
        root.set(&setup.schema, &[mark], &[], &[]).await.unwrap();
        let mut deleted = Vec::new();
        while !deleted.iter().any(|path: &String| path.ends_with("mark[host=c1]/host")) {
            if let Response::Update(note) = next_response(&mut changes).await {
                deleted.extend(note.delete.iter().map(gnmi::text));
            }
        }
        // Samples are sent even if nothing changes.
        for _ in 0..3 {
            assert!(
                matches!(next_response(&mut samples).await, Response::Update(note) if note.update.len() == 4)
            );
        }
    });
}

fn subscribe(
    mode: wire::subscription_list::Mode,
    subscription: Vec<wire::Subscription>,
) -> wire::SubscribeRequest {
    let list = wire::SubscriptionList {
        mode: mode as i32,
        subscription,
        encoding: wire::Encoding::JsonIetf as i32,
        ..Default::default()
    };
    wire::SubscribeRequest {
        request: Some(wire::subscribe_request::Request::Subscribe(list)),
        extension: Vec::new(),
    }
}

#[test]
fn once_and_poll_send_present_values() {
    use wire::subscription_list::Mode;
    let setup = Setup::start(2, 1, MS);
    block_on(async {
        let mut root = setup.gnmi("root").await;
        let one = || wire::Subscription {
            path: Some(gnmi::path(&setup.schema, "/router/state/hosts/host/effective").unwrap()),
            ..Default::default()
        };
        let request = subscribe(Mode::Once, vec![one()]);
        let mut once = root.subscribe(tokio_stream::once(request)).await.unwrap();
        assert_eq!(until_sync(&mut once).await.len(), 4);
        assert!(once.message().await.unwrap().is_none(), "ONCE ends with its sync");
        let (sender, receiver) = tokio::sync::mpsc::channel(4);
        sender.send(subscribe(Mode::Poll, vec![one()])).await.unwrap();
        let mut poll = root.subscribe(tokio_stream::wrappers::ReceiverStream::new(receiver)).await.unwrap();
        assert_eq!(until_sync(&mut poll).await.len(), 4);
        let request = Some(wire::subscribe_request::Request::Poll(wire::Poll {}));
        sender.send(wire::SubscribeRequest { request, extension: Vec::new() }).await.unwrap();
        assert_eq!(until_sync(&mut poll).await.len(), 4);
        // After the first message of a poll subscription, another subscription list is an error.
        sender.send(subscribe(Mode::Once, vec![one()])).await.unwrap();
        let ended = tokio::time::timeout(WAIT, poll.message()).await.unwrap();
        assert_eq!(ended.unwrap_err().code(), tonic::Code::InvalidArgument);
    });
}

fn elems(names: &[&str]) -> wire::Path {
    let elem = names.iter().map(|name| wire::PathElem { name: name.to_string(), key: Default::default() });
    wire::Path { elem: elem.collect(), ..Default::default() }
}

#[test_case(elems(&["router", "nothing"]), "invalid-value"; "no such node")]
#[test_case(elems(&["router", "marks", "mark", "state", "more"]), "invalid-value"; "below a leaf")]
#[test_case(elems(&["*"]), "operation-not-supported"; "open step")]
#[test_case(elems(&["drain"]), "invalid-value"; "a call")]
#[test_case(elems(&["router"; 5000]), "invalid-value"; "thousands of steps")]
#[test_case(elems(&["a:b:c"]), "invalid-value"; "odd name")]
#[test_case(wire::Path { origin: "openconfig".into(), ..Default::default() }, "invalid-value"; "origin")]
fn rejects_invalid_paths(path: wire::Path, tag: &str) {
    let setup = Setup::start(2, 1, MS);
    block_on(async {
        let mut root = setup.gnmi("root").await;
        let request = wire::GetRequest {
            path: vec![path.clone()],
            encoding: wire::Encoding::JsonIetf as i32,
            ..Default::default()
        };
        assert_eq!(rejection(root.raw_get(request).await).0, tag);
        let delete = wire::SetRequest { delete: vec![path], ..Default::default() };
        assert_eq!(rejection(root.raw_set(delete).await).0, tag);
    });
}

#[test]
fn rejects_unsupported_and_unauthorized_requests() {
    let setup = Setup::start(2, 1, MS);
    block_on(async {
        let mut root = setup.gnmi("root").await;
        let update = wire::Update { path: Some(elems(&["router"])), ..Default::default() };
        let request = wire::SetRequest { union_replace: vec![update.clone()], ..Default::default() };
        assert_eq!(rejection(root.raw_set(request).await).0, "operation-not-supported");
        let request = wire::SetRequest { extension: vec![wire::Extension {}], ..Default::default() };
        assert_eq!(rejection(root.raw_set(request).await).0, "operation-not-supported");
        let request = wire::GetRequest { encoding: wire::Encoding::Proto as i32, ..Default::default() };
        assert_eq!(rejection(root.raw_get(request).await).0, "operation-not-supported");
        let request = wire::SetRequest { update: vec![update; 5000], ..Default::default() };
        assert_eq!(rejection(root.raw_set(request).await).0, "resource-denied");
        // A user who may only read.
        let mut eve = setup.gnmi("eve").await;
        assert_eq!(effective(&setup, &mut eve, "c1").await, "ready");
        let mark = [("/router/marks/mark[host=c1]", json!({}))];
        assert_eq!(rejection(eve.set(&setup.schema, &[], &[], &mark).await).0, "access-denied");
        // A certificate of another authority.
        let address = setup.addresses.gnmi.unwrap().to_string();
        let config = setup.tls_config(&keys::Authority::new("other"), "root");
        let mut client = match Client::connect(&address, "localhost", config).await {
            Ok(client) => client,
            Err(_) => return,
        };
        assert!(client.capabilities().await.is_err());
    });
}

#[test]
fn slow_subscriber_does_not_hold_up_others() {
    let setup = Setup::start(2, 1, MS);
    block_on(async {
        let mut root = setup.gnmi("root").await;
        let paths = ["/router/marks".to_string(), "/router/state".to_string()];
        let stalled = setup.gnmi("root").await.follow(&setup.schema, &paths, None).await.unwrap();
        let mut reader = root.clone().follow(&setup.schema, &paths[..1], None).await.unwrap();
        until_sync(&mut reader).await;
        for round in 0..200 {
            let mark = [("/router/marks/mark[host=x]/reason", json!(format!("{round} {}", "r".repeat(200))))];
            root.set(&setup.schema, &[], &[], &mark).await.unwrap();
        }
        // The other subscriber receives the last change although the first one never reads.
        loop {
            if let Response::Update(note) = next_response(&mut reader).await {
                if note
                    .update
                    .iter()
                    .any(|update| gnmi::json(update).as_str().is_some_and(|v| v.starts_with("199 ")))
                {
                    break;
                }
            }
        }
        drop(stalled);
    });
}
