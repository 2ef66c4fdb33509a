//! Compares the messages of NETCONF and gNMI with their literal text, because operators' tools depend on it.
//! Times and ports are masked.

mod common;

use common::{block_on, Setup};
use prost::Message;
use regex_lite::Regex;
use rockflow_gnmi::wire;
use rockflow_management_client::{gnmi, ClientError};
use rockflow_netconf::framing::{encode, Framing};
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio_rustls::client::TlsStream;
use wire::subscribe_response::Response;

const MS: Duration = Duration::from_millis(1);
const WAIT: Duration = Duration::from_secs(5);
const BASE: &str = "urn:ietf:params:xml:ns:netconf:base:1.0";

/// Replaces times with TIME and ports with PORT.
fn masked(text: &str) -> String {
    let time = Regex::new(r"\d{4}-\d\d-\d\dT\d\d:\d\d:\d\d(\.\d+)?(Z|[+-]\d\d:\d\d)").unwrap();
    let port = Regex::new(r"127\.0\.0\.1:\d+").unwrap();
    port.replace_all(&time.replace_all(text, "TIME"), "127.0.0.1:PORT").into_owned()
}

/// A NETCONF session that returns messages as received, without parsing them.
struct RawSession {
    stream: TlsStream<TcpStream>,
    framing: Framing,
    hello: String,
}

impl RawSession {
    async fn begin(setup: &Setup) -> RawSession {
        let stream = TcpStream::connect(setup.addresses.tls.unwrap()).await.unwrap();
        let connector = tokio_rustls::TlsConnector::from(setup.tls_config(&setup.authority, "root"));
        let name = rustls::pki_types::ServerName::try_from("localhost").unwrap();
        let stream = connector.connect(name, stream).await.unwrap();
        let mut session = RawSession { stream, framing: Framing::new(1 << 20), hello: String::new() };
        session.hello = session.next().await;
        let capability = "<capability>urn:ietf:params:netconf:base:1.1</capability>";
        let hello = format!("<hello xmlns=\"{BASE}\"><capabilities>{capability}</capabilities></hello>");
        session.stream.write_all(&encode(&hello, false)).await.unwrap();
        session.framing.switch_to_chunks();
        session
    }

    async fn next(&mut self) -> String {
        let mut buffer = vec![0; 4096];
        loop {
            if let Some(message) = self.framing.next_message().unwrap() {
                return masked(&String::from_utf8(message).unwrap());
            }
            let read = tokio::time::timeout(WAIT, self.stream.read(&mut buffer)).await.expect("in time");
            match read.unwrap() {
                0 => panic!("the server closed the session"),
                count => self.framing.add(&buffer[..count]),
            }
        }
    }

    async fn call(&mut self, operation: &str) -> String {
        let call = format!("<rpc xmlns=\"{BASE}\" message-id=\"7\">{operation}</rpc>");
        self.stream.write_all(&encode(&call, true)).await.unwrap();
        self.next().await
    }
}

const HELLO: &str = r#"<hello xmlns="urn:ietf:params:xml:ns:netconf:base:1.0"><capabilities><capability>urn:ietf:params:netconf:base:1.0</capability><capability>urn:ietf:params:netconf:base:1.1</capability><capability>urn:ietf:params:netconf:capability:candidate:1.0</capability><capability>urn:ietf:params:netconf:capability:confirmed-commit:1.1</capability><capability>urn:ietf:params:netconf:capability:rollback-on-error:1.0</capability><capability>urn:ietf:params:netconf:capability:validate:1.1</capability><capability>urn:ietf:params:netconf:capability:notification:1.0</capability><capability>urn:ietf:params:netconf:capability:interleave:1.0</capability><capability>urn:ietf:params:netconf:capability:partial-lock:1.0</capability><capability>urn:ietf:params:netconf:capability:with-defaults:1.0?basic-mode=explicit&amp;also-supported=report-all,report-all-tagged,trim</capability><capability>urn:rockflow:yang:types?module=rockflow-types&amp;revision=2026-12-01</capability><capability>urn:rockflow:yang:router?module=rockflow-router&amp;revision=2026-12-02</capability><capability>urn:rockflow:yang:access?module=rockflow-access&amp;revision=2026-12-01</capability><capability>urn:rockflow:yang:history?module=rockflow-history&amp;revision=2026-12-01</capability><capability>urn:ietf:params:xml:ns:yang:ietf-netconf-monitoring?module=ietf-netconf-monitoring&amp;revision=2010-10-04</capability><capability>urn:ietf:params:xml:ns:yang:ietf-netconf-nmda?module=ietf-netconf-nmda&amp;revision=2019-01-07</capability><capability>urn:ietf:params:xml:ns:yang:ietf-subscribed-notifications?module=ietf-subscribed-notifications&amp;revision=2019-09-09</capability><capability>urn:ietf:params:xml:ns:yang:ietf-yang-push?module=ietf-yang-push&amp;revision=2019-09-09</capability><capability>urn:ietf:params:xml:ns:yang:ietf-netconf-with-defaults?module=ietf-netconf-with-defaults&amp;revision=2011-06-01</capability></capabilities><session-id>1</session-id></hello>"#;
const DRAINED: &str = r#"<rpc-reply xmlns="urn:ietf:params:xml:ns:netconf:base:1.0" message-id="7"><version xmlns="urn:rockflow:yang:router">1</version></rpc-reply>"#;
const CONFIG: &str = r#"<rpc-reply xmlns="urn:ietf:params:xml:ns:netconf:base:1.0" message-id="7"><data xmlns="urn:ietf:params:xml:ns:netconf:base:1.0"><router xmlns="urn:rockflow:yang:router"><marks><mark><host>c1</host><state>draining</state><reason>a &lt; b</reason></mark></marks></router></data></rpc-reply>"#;
const TAGGED: &str = r#"<rpc-reply xmlns="urn:ietf:params:xml:ns:netconf:base:1.0" message-id="7"><data xmlns="urn:ietf:params:xml:ns:netconf:base:1.0"><router xmlns="urn:rockflow:yang:router"><marks><mark><host>c1</host><state xmlns:wd="urn:ietf:params:xml:ns:netconf:default:1.0" wd:default="true">draining</state><reason>a &lt; b</reason><force xmlns:wd="urn:ietf:params:xml:ns:netconf:default:1.0" wd:default="true">false</force></mark></marks><logging><level xmlns:wd="urn:ietf:params:xml:ns:netconf:default:1.0" wd:default="true">info</level></logging></router></data></rpc-reply>"#;
const STATE: &str = r#"<rpc-reply xmlns="urn:ietf:params:xml:ns:netconf:base:1.0" message-id="7"><data xmlns="urn:ietf:params:xml:ns:netconf:base:1.0"><router xmlns="urn:rockflow:yang:router"><marks><mark><host>c1</host><state>draining</state><reason>a &lt; b</reason><author>root</author><made>TIME</made><version>1</version></mark></marks><state><hosts><host><name>c1</name><address>127.0.0.1:PORT</address><role>cache</role><listed>ready</listed><marked>draining</marked><effective>draining</effective><says>operator</says></host></hosts></state></router></data></rpc-reply>"#;
const ERROR: &str = r#"<rpc-reply xmlns="urn:ietf:params:xml:ns:netconf:base:1.0" message-id="7"><rpc-error><error-type>application</error-type><error-tag>invalid-value</error-tag><error-severity>error</error-severity><error-path>/rockflow-router:router/marks/mark[host=&apos;c2&apos;]/state</error-path><error-message xml:lang="en">state: must be one of draining, gone</error-message><error-info><bad-element>state</bad-element></error-info></rpc-error></rpc-reply>"#;
const LAST_OF_LOCATION: &str = r#"<rpc-reply xmlns="urn:ietf:params:xml:ns:netconf:base:1.0" message-id="7"><rpc-error><error-type>application</error-type><error-tag>operation-failed</error-tag><error-severity>error</error-severity><error-app-tag>none-left</error-app-tag><error-message xml:lang="en">no host would be left in place of c2; with force it is done all the same</error-message></rpc-error></rpc-reply>"#;
const EVENT: &str = r#"<notification xmlns="urn:ietf:params:xml:ns:netconf:notification:1.0"><eventTime>TIME</eventTime><committed xmlns="urn:rockflow:yang:history"><version>1</version><author>root</author><change>/rockflow-router:router/marks/mark[host=&apos;c1&apos;]/host: - -&gt; c1</change><change>/rockflow-router:router/marks/mark[host=&apos;c1&apos;]/state: - -&gt; draining</change></committed></notification>"#;

#[test]
fn netconf_messages_keep_their_text() {
    let setup = Setup::start(2, 1, MS);
    block_on(async {
        let mut session = RawSession::begin(&setup).await;
        assert_eq!(session.hello, HELLO);
        let ns = "xmlns=\"urn:rockflow:yang:router\"";
        let drain = format!("<drain {ns}><host>c1</host><reason>a &lt; b</reason></drain>");
        assert_eq!(session.call(&drain).await, DRAINED);
        let config = "<get-config><source><running/></source></get-config>";
        assert_eq!(session.call(config).await, CONFIG);
        let tagged = format!(
            "<get-config><source><running/></source><filter><router {ns}><logging/><marks/></router></filter>\
             <with-defaults xmlns=\"urn:ietf:params:xml:ns:yang:ietf-netconf-with-defaults\">report-all-tagged\
             </with-defaults></get-config>"
        );
        assert_eq!(session.call(&tagged).await, TAGGED);
        let leaves = ["role", "listed", "marked", "effective", "says", "address", "zone"];
        let leaves: String = leaves.iter().map(|leaf| format!("<{leaf}/>")).collect();
        let host = format!("<state><hosts><host><name>c1</name>{leaves}</host></hosts></state>");
        let state = format!("<get><filter><router {ns}><marks/>{host}</router></filter></get>");
        assert_eq!(session.call(&state).await, STATE);
        let edit = |content: &str| {
            format!(
                "<edit-config><target><candidate/></target><config><router {ns}>{content}</router></config>\
                 </edit-config>"
            )
        };
        let invalid_edit = edit("<marks><mark><host>c2</host><state>gone-fishing</state></mark></marks>");
        assert_eq!(session.call(&invalid_edit).await, ERROR);
        let last = format!("<drain {ns}><host>c2</host></drain>");
        assert_eq!(session.call(&last).await, LAST_OF_LOCATION);
    });
}

#[test]
fn netconf_notification_keeps_its_text() {
    let setup = Setup::start(2, 1, MS);
    block_on(async {
        let mut session = RawSession::begin(&setup).await;
        let events = "<create-subscription xmlns=\"urn:ietf:params:xml:ns:netconf:notification:1.0\"/>";
        assert!(session.call(events).await.contains("<ok/>"));
        let mut root = setup.ssh("root").await;
        root.act(&setup.schema, "drain", &[("host", "c1")]).await.unwrap();
        loop {
            let event = session.next().await;
            if event.contains("<committed") {
                assert_eq!(event, EVENT);
                return;
            }
        }
    });
}

/// The encoded bytes of a message as escaped ASCII text.
fn bytes(message: &impl Message) -> String {
    message.encode_to_vec().escape_ascii().to_string()
}

const GET_RESPONSE: &str = r#"\nL\"J\nA\x1a\x18\n\x16rockflow-router:router\x1a\x07\n\x05marks\x1a\x12\n\x04mark\x12\n\n\x04host\x12\x02c1\x1a\x08\n\x06reason\x1a\x05Z\x03\"x\"\n_\"]\nM\x1a\x18\n\x16rockflow-router:router\x1a\x07\n\x05state\x1a\x07\n\x05hosts\x1a\x12\n\x04host\x12\n\n\x04name\x12\x02c1\x1a\x0b\n\teffective\x1a\x0cZ\n\"draining\""#;
const SET_RESPONSE: &str = r#"\x12;\x127\x1a\x18\n\x16rockflow-router:router\x1a\x07\n\x05marks\x1a\x12\n\x04mark\x12\n\n\x04host\x12\x02c1 \x03"#;
const SET_ERROR: (&str, &str) = (
    "invalid-value",
    "state: must be one of draining, gone at /rockflow-router:router/marks/mark[host='c1']",
);
const UPDATE: &str = r#"\"J\nA\x1a\x18\n\x16rockflow-router:router\x1a\x07\n\x05marks\x1a\x12\n\x04mark\x12\n\n\x04host\x12\x02c1\x1a\x08\n\x06reason\x1a\x05Z\x03\"x\""#;
const DELETE: &str = r#"*A\x1a\x18\n\x16rockflow-router:router\x1a\x07\n\x05marks\x1a\x12\n\x04mark\x12\n\n\x04host\x12\x02c1\x1a\x08\n\x06reason"#;

#[test]
fn gnmi_messages_keep_their_bytes() {
    let setup = Setup::start(2, 1, MS);
    block_on(async {
        let mut root = setup.gnmi("root").await;
        let mark = "/router/marks/mark[host=c1]";
        let path = |text: &str| gnmi::path(&setup.schema, text).unwrap();
        let value = |json: &str| {
            let value = wire::typed_value::Value::JsonIetfVal(json.as_bytes().to_vec());
            Some(wire::TypedValue { value: Some(value) })
        };
        let update = |text: &str, json: &str| wire::Update {
            path: Some(path(text)),
            val: value(json),
            ..Default::default()
        };
        let set = wire::SetRequest { update: vec![update(mark, r#"{"reason":"x"}"#)], ..Default::default() };
        let mut done = root.raw_set(set).await.unwrap();
        done.timestamp = 0;
        assert_eq!(bytes(&done), SET_RESPONSE);
        let get = wire::GetRequest {
            path: vec![
                path("/router/marks/mark[host=c1]/reason"),
                path("/router/state/hosts/host[name=c1]/effective"),
            ],
            encoding: wire::Encoding::JsonIetf as i32,
            ..Default::default()
        };
        let mut read = root.raw_get(get).await.unwrap();
        read.notification.iter_mut().for_each(|notification| notification.timestamp = 0);
        assert_eq!(bytes(&read), GET_RESPONSE);
        let set = wire::SetRequest { update: vec![update(mark, r#"{"state":"odd"}"#)], ..Default::default() };
        match root.raw_set(set).await.unwrap_err() {
            ClientError::Rejected { tag, message, .. } => assert_eq!((&*tag, &*message), SET_ERROR),
            other => panic!("{other}"),
        }
        let paths = ["/router/marks/mark[host=c1]/reason".to_string()];
        let mut changes = root.clone().follow(&setup.schema, &paths, None).await.unwrap();
        let encoded = |message: wire::SubscribeResponse| match message.response.unwrap() {
            Response::Update(mut note) => {
                note.timestamp = 0;
                bytes(&note)
            }
            Response::SyncResponse(_) => "sync".to_string(),
        };
        let first = tokio::time::timeout(WAIT, changes.message()).await.unwrap().unwrap().unwrap();
        assert_eq!(encoded(first), UPDATE);
        let sync = tokio::time::timeout(WAIT, changes.message()).await.unwrap().unwrap().unwrap();
        assert_eq!(encoded(sync), "sync");
        let set = wire::SetRequest { delete: vec![path(mark)], ..Default::default() };
        root.raw_set(set).await.unwrap();
        let deletion = tokio::time::timeout(WAIT, changes.message()).await.unwrap().unwrap().unwrap();
        assert_eq!(encoded(deletion), DELETE);
    });
}
