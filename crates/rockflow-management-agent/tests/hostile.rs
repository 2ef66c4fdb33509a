//! Broken and hostile peers at every front, while the dispatcher's requests go on and notice nothing.

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

/// What a peer says after its hello, and whether the session may go on after it.
fn message_after_hello(what: &str) -> (Vec<u8>, bool) {
    let get = "<get-config><source><running/></source></get-config>";
    match what {
        "a chunk of 4 GB" => (b"\n#4294967295\n<rpc".to_vec(), false),
        "a chunk of no size" => (b"\n#0\n\n##\n".to_vec(), false),
        "a chunk with a sign" => (b"\n#+5\nabcde\n##\n".to_vec(), false),
        "a number past any" => (b"\n#99999999999999999999\n".to_vec(), false),
        "no chunk" => (b"<rpc/>]]>]]>".to_vec(), false),
        "an end ahead of any chunk" => (b"\n##\n".to_vec(), false),
        "more than a message may hold" => (chunk(&" ".repeat(2 * 1024 * 1024)), false),
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
        "an entity of its own" => (rpc("<get><filter>&own;</filter></get>"), false),
        "depth of 100,000" => (rpc(&"<a>".repeat(100_000)), false),
        "elements by the hundred thousand" => (rpc(&format!("<get>{}</get>", "<a/>".repeat(220_000))), false),
        "two elements" => (chunk("<rpc/><rpc/>"), false),
        "no rpc" => (chunk("<rpc xmlns=\"urn:other\" message-id=\"1\"/>"), false),
        "a processing instruction" => (chunk("<?php x?><rpc/>"), false),
        "a prefix that nobody declared" => (rpc("<x:get/>"), false),
        "a namespace that nobody knows" => (
            rpc("<edit-config><target><candidate/></target><config><router xmlns=\"urn:other\"/></config></edit-config>"),
            true,
        ),
        "an operation that nobody knows" => (rpc("<format-disk xmlns=\"urn:other\"/>"), true),
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
#[test_case("a chunk of no size")]
#[test_case("a chunk with a sign")]
#[test_case("a number past any")]
#[test_case("no chunk")]
#[test_case("an end ahead of any chunk")]
#[test_case("more than a message may hold")]
#[test_case("malformed UTF-8")]
#[test_case("an entity bomb")]
#[test_case("an entity of its own")]
#[test_case("depth of 100,000")]
#[test_case("elements by the hundred thousand")]
#[test_case("two elements")]
#[test_case("no rpc")]
#[test_case("a processing instruction")]
#[test_case("a prefix that nobody declared")]
#[test_case("a namespace that nobody knows")]
#[test_case("an operation that nobody knows")]
#[test_case("two operations")]
#[test_case("no message-id")]
#[test_case("thousands of paths")]
fn malformed_message_costs_only_its_session(what: &str) {
    let setup = Setup::start(2, 1, MS);
    let (bytes, goes_on) = message_after_hello(what);
    block_on(async {
        let load = Load::start(setup.address(), 4, Duration::ZERO, 5);
        load.wait_until_served(1, SERVED).await;
        let stream = TcpStream::connect(setup.addresses.tls.unwrap()).await.unwrap();
        let connector = tokio_rustls::TlsConnector::from(setup.tls_config(&setup.authority, "root"));
        let name = rustls::pki_types::ServerName::try_from("localhost").unwrap();
        let mut stream = connector.connect(name, stream).await.unwrap();
        stream.write_all(HELLO.as_bytes()).await.unwrap();
        // A session that ends midway may end the writing.
        let _ = stream.write_all(&bytes).await;
        let close = rpc("<close-session/>");
        let _ = stream.write_all(&close).await;
        let mut told = Vec::new();
        let read = tokio::time::timeout(WAIT, stream.read_to_end(&mut told)).await;
        assert!(read.is_ok(), "the session goes on");
        let told = String::from_utf8_lossy(&told);
        let errors = told.matches("<rpc-error>").count();
        assert!(errors >= usize::from(goes_on), "{told}");
        assert_eq!(told.contains("<ok/>"), goes_on, "{told}");
        // Others are served as before: managers, and every client with what it asks from here on.
        let mut root = setup.ssh("root").await;
        assert_eq!(setup.host_state(&mut root, "c1").await["effective"], "ready");
        load.wait_until_served(5, SERVED).await;
        let summary = load.stop();
        assert!(summary.succeeded > 10, "{summary:?}");
        assert_eq!((summary.unanswered, summary.duplicated, summary.failed), (0, 0, 0));
    });
}

#[test]
fn half_open_handshakes_keep_nobody_out() {
    let setup = Setup::start(2, 1, MS);
    block_on(async {
        let load = Load::start(setup.address(), 4, Duration::ZERO, 6);
        load.wait_until_served(1, SERVED).await;
        let mut open = Vec::new();
        for number in 0..300 {
            let fronts = [setup.addresses.ssh, setup.addresses.tls, setup.addresses.gnmi];
            let mut stream = TcpStream::connect(fronts[number % 3].unwrap()).await.unwrap();
            if number % 2 == 0 {
                let _ = stream.write_all(b"SSH-2.0-nobody\r\n").await;
            }
            open.push(stream);
        }
        // Those that took longest give way. While the burst itself still comes in, a call may have to be made
        // again; then whoever can prove it comes in, at each front.
        let come_in = async {
            loop {
                if let Ok(client) = setup.try_ssh("root", key_of("root")).await {
                    return client;
                }
            }
        };
        let mut root = tokio::time::timeout(WAIT, come_in).await.expect("let in");
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
        // With what is left of them still open.
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
        let most = [("/router/management/most-sessions", serde_json::json!(5))];
        root.set(&setup.schema, &[], &[], &most).await.unwrap();
        let mut held = Vec::new();
        for _ in 0..5 {
            held.push(setup.tls("root").await);
        }
        let refused = root.set(&setup.schema, &[], &[], &most).await;
        assert!(matches!(refused, Err(ClientError::Rejected { tag, .. }) if tag == "resource-denied"));
        assert!(setup.try_ssh("root", key_of("root")).await.is_err());
        // One that goes makes room.
        held.pop();
        let again = async { while root.set(&setup.schema, &[], &[], &most).await.is_err() {} };
        tokio::time::timeout(WAIT, again).await.unwrap();
    });
}

#[test]
fn endless_request_stream_is_ended() {
    let setup = Setup::start(2, 1, MS);
    block_on(async {
        let mut root = setup.gnmi("root").await;
        let one = wire::Subscription {
            path: Some(rockflow_management_client::gnmi::path(&setup.schema, "/router/marks").unwrap()),
            ..Default::default()
        };
        let list = wire::SubscriptionList {
            subscription: vec![one],
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
        // One that never says what it wants is ended too, and holds a place meanwhile only.
        let mut silent = root.clone();
        let silent = silent.subscribe(tokio_stream::pending());
        assert!(tokio::time::timeout(50 * MS, silent).await.is_err());
        setup.gnmi("root").await.capabilities().await.unwrap();
    });
}
