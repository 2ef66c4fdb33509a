//! Broken and hostile peers at each management listener. Clients' requests and other sessions must not be
//! affected.

mod common;

use common::{block_on, key_of, Setup};
use rockflow_gnmi::wire;
use rockflow_management_client::ClientError;
use rockflow_test_servers::Load;
use std::time::Duration;
use test_case::test_case;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

const MS: Duration = Duration::from_millis(1);
const WAIT: Duration = Duration::from_secs(5);
const SERVED: Duration = Duration::from_secs(10);
const HELLO: &str = "<hello xmlns=\"urn:ietf:params:xml:ns:netconf:base:1.0\"><capabilities><capability>\
urn:ietf:params:netconf:base:1.1</capability></capabilities></hello>]]>]]>";

fn chunk(message: &str) -> Vec<u8> {
    format!("\n#{}\n{message}\n##\n", message.len()).into_bytes()
}

fn rpc(operation: &str) -> Vec<u8> {
    chunk(&format!(
        "<rpc xmlns=\"urn:ietf:params:xml:ns:netconf:base:1.0\" message-id=\"1\">{operation}</rpc>"
    ))
}

/// The bytes that a peer sends after its hello, and whether the session must survive them.
fn message_after_hello(case: &str) -> (Vec<u8>, bool) {
    let get = "<get-config><source><running/></source></get-config>";
    match case {
        "a chunk of 4 GB" => (b"\n#4294967295\n<rpc".to_vec(), false),
        "a chunk of size 0" => (b"\n#0\n\n##\n".to_vec(), false),
        "a chunk with a sign" => (b"\n#+5\nabcde\n##\n".to_vec(), false),
        "a chunk size over 64 bits" => (b"\n#99999999999999999999\n".to_vec(), false),
        "a message without chunks" => (b"<rpc/>]]>]]>".to_vec(), false),
        "an end marker before any chunk" => (b"\n##\n".to_vec(), false),
        "a message over the size limit" => (chunk(&" ".repeat(2 * 1024 * 1024)), false),
        "malformed UTF-8" => {
            let mut bytes = b"\n#9\n<rpc>".to_vec();
            bytes.extend([0xff, 0xfe, 0xc0, 0x80]);
            bytes.extend(b"\n##\n");
            (bytes, false)
        }
        "an entity bomb" => (
            chunk("<!DOCTYPE b [<!ENTITY a \"aaaa\"><!ENTITY b \"&a;&a;&a;\">]><rpc>&b;</rpc>"),
            false,
        ),
        "an undeclared entity" => (rpc("<get><filter>&own;</filter></get>"), false),
        "100,000 nested elements" => (rpc(&"<a>".repeat(100_000)), false),
        "more than 200,000 elements" => (rpc(&format!("<get>{}</get>", "<a/>".repeat(220_000))), false),
        "two root elements" => (chunk("<rpc/><rpc/>"), false),
        "an rpc in another namespace" => (chunk("<rpc xmlns=\"urn:other\" message-id=\"1\"/>"), false),
        "a processing instruction" => (chunk("<?php x?><rpc/>"), false),
        "an undeclared prefix" => (rpc("<x:get/>"), false),
        "an unknown namespace" => (
            rpc("<edit-config><target><candidate/></target><config><router xmlns=\"urn:other\"/></config></edit-config>"),
            true,
        ),
        "an unknown operation" => (rpc("<format-disk xmlns=\"urn:other\"/>"), true),
        "two operations" => (rpc(&format!("{get}{get}")), true),
        "no message-id" => {
            (chunk("<rpc xmlns=\"urn:ietf:params:xml:ns:netconf:base:1.0\"><get/></rpc>"), true)
        }
        "thousands of paths" => (
            rpc(&format!(
                "<get-data xmlns=\"urn:ietf:params:xml:ns:yang:ietf-netconf-nmda\"><datastore>operational</datastore>\
                 <xpath-filter>{}</xpath-filter></get-data>",
                ["/router/marks/mark[host=*]"; 3000].join("|")
            )),
            true,
        ),
        other => panic!("{other}"),
    }
}

#[test_case("a chunk of 4 GB")]
#[test_case("a chunk of size 0")]
#[test_case("a chunk with a sign")]
#[test_case("a chunk size over 64 bits")]
#[test_case("a message without chunks")]
#[test_case("an end marker before any chunk")]
#[test_case("a message over the size limit")]
#[test_case("malformed UTF-8")]
#[test_case("an entity bomb")]
#[test_case("an undeclared entity")]
#[test_case("100,000 nested elements")]
#[test_case("more than 200,000 elements")]
#[test_case("two root elements")]
#[test_case("an rpc in another namespace")]
#[test_case("a processing instruction")]
#[test_case("an undeclared prefix")]
#[test_case("an unknown namespace")]
#[test_case("an unknown operation")]
#[test_case("two operations")]
#[test_case("no message-id")]
#[test_case("thousands of paths")]
fn malformed_message_costs_only_its_session(case: &str) {
    let setup = Setup::start(2, 1, MS);
    let (bytes, survives) = message_after_hello(case);
    block_on(async {
        let load = Load::start(setup.address(), 4, Duration::ZERO, 5);
        load.wait_until_served(1, SERVED).await;
        let stream = TcpStream::connect(setup.addresses.tls.unwrap()).await.unwrap();
        let connector = tokio_rustls::TlsConnector::from(setup.tls_config(&setup.authority, "root"));
        let name = rustls::pki_types::ServerName::try_from("localhost").unwrap();
        let mut stream = connector.connect(name, stream).await.unwrap();
        stream.write_all(HELLO.as_bytes()).await.unwrap();
        // The write may fail, if the server closes the session midway.
        let _ = stream.write_all(&bytes).await;
        let close = rpc("<close-session/>");
        let _ = stream.write_all(&close).await;
        let mut replies = Vec::new();
        let read = tokio::time::timeout(WAIT, stream.read_to_end(&mut replies)).await;
        assert!(read.is_ok(), "the server did not close the session");
        let replies = String::from_utf8_lossy(&replies);
        let errors = replies.matches("<rpc-error>").count();
        assert!(errors >= usize::from(survives), "{replies}");
        assert_eq!(replies.contains("<ok/>"), survives, "{replies}");
        // Other sessions, and the further requests of every client, are served as before.
        let mut root = setup.ssh("root").await;
        assert_eq!(setup.host_state(&mut root, "c1").await["effective"], "ready");
        load.wait_until_served(5, SERVED).await;
        let summary = load.stop();
        assert!(summary.succeeded > 10, "{summary:?}");
        assert_eq!((summary.unanswered, summary.duplicated, summary.failed), (0, 0, 0));
    });
}

#[test]
fn half_open_handshakes_do_not_block_new_sessions() {
    let setup = Setup::start(2, 1, MS);
    block_on(async {
        let load = Load::start(setup.address(), 4, Duration::ZERO, 6);
        load.wait_until_served(1, SERVED).await;
        let mut open = Vec::new();
        for number in 0..300 {
            let listeners = [setup.addresses.ssh, setup.addresses.tls, setup.addresses.gnmi];
            let mut stream = TcpStream::connect(listeners[number % 3].unwrap()).await.unwrap();
            if number % 2 == 0 {
                let _ = stream.write_all(b"SSH-2.0-nobody\r\n").await;
            }
            open.push(stream);
        }
        // The oldest half-open connections are evicted. While the burst is still arriving, a valid connection
        // may be evicted too and has to be retried; afterwards, each listener accepts valid credentials.
        let connected = async {
            loop {
                if let Ok(client) = setup.try_ssh("root", key_of("root")).await {
                    return client;
                }
            }
        };
        let mut root = tokio::time::timeout(WAIT, connected).await.expect("connected in time");
        assert_eq!(setup.host_state(&mut root, "c1").await["effective"], "ready");
        let mut root = setup.tls("root").await;
        assert_eq!(setup.host_state(&mut root, "c1").await["effective"], "ready");
        setup.gnmi("root").await.capabilities().await.unwrap();
        for _ in 0..5 {
            assert!(matches!(setup.try_ssh("root", key_of("eve")).await, Err(ClientError::Untrusted(_))));
            if open.len() > 297 {
                open.pop();
            }
        }
        // Clients are served while the remaining half-open connections are still there.
        load.wait_until_served(5, SERVED).await;
        drop(open);
        let summary = load.stop();
        assert!(summary.succeeded > 10, "{summary:?}");
        assert_eq!((summary.unanswered, summary.duplicated, summary.failed), (0, 0, 0));
    });
}

#[test]
fn session_limit_covers_all_protocols() {
    let setup = Setup::start(2, 1, MS);
    block_on(async {
        let mut root = setup.gnmi("root").await;
        let session_limit = [("/router/management/most-sessions", serde_json::json!(5))];
        root.set(&setup.schema, &[], &[], &session_limit).await.unwrap();
        let mut sessions = Vec::new();
        for _ in 0..5 {
            sessions.push(setup.tls("root").await);
        }
        let refused = root.set(&setup.schema, &[], &[], &session_limit).await;
        assert!(matches!(refused, Err(ClientError::Rejected { tag, .. }) if tag == "resource-denied"));
        assert!(setup.try_ssh("root", key_of("root")).await.is_err());
        // Closing a session makes room for another.
        sessions.pop();
        let accepted = async { while root.set(&setup.schema, &[], &[], &session_limit).await.is_err() {} };
        tokio::time::timeout(WAIT, accepted).await.unwrap();
    });
}

#[test]
fn endless_request_stream_is_ended() {
    let setup = Setup::start(2, 1, MS);
    block_on(async {
        let mut root = setup.gnmi("root").await;
        let subscription = wire::Subscription {
            path: Some(rockflow_management_client::gnmi::path(&setup.schema, "/router/marks").unwrap()),
            ..Default::default()
        };
        let list = wire::SubscriptionList {
            subscription: vec![subscription],
            encoding: wire::Encoding::JsonIetf as i32,
            ..Default::default()
        };
        let request = wire::SubscribeRequest {
            request: Some(wire::subscribe_request::Request::Subscribe(list)),
            extension: Vec::new(),
        };
        let endless = tokio_stream::iter(std::iter::repeat_n(request, 1_000_000));
        let mut stream = root.subscribe(endless).await.unwrap();
        let ended = async {
            loop {
                match stream.message().await {
                    Ok(Some(_)) => {}
                    Ok(None) => return None,
                    Err(status) => return Some(status.code()),
                }
            }
        };
        let ended = tokio::time::timeout(WAIT, ended).await.expect("ended in time");
        assert_eq!(ended, Some(tonic::Code::InvalidArgument));
        // A stream that never sends a request is ended too; until then it does not keep other clients from being
        // served.
        let mut silent = root.clone();
        let silent = silent.subscribe(tokio_stream::pending());
        assert!(tokio::time::timeout(50 * MS, silent).await.is_err());
        setup.gnmi("root").await.capabilities().await.unwrap();
    });
}
