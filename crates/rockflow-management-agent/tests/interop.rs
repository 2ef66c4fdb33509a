//! Interoperability of the NETCONF server with a third-party client: framing, hellos, replies and errors.

mod common;

use async_trait::async_trait;
use bytes::Bytes;
use common::{block_on, Setup};
use netconf::error::SshMessages;
use netconf::{Access, ConfigPolicy, ConnectOptions, NetconfError, NetconfSession, NetconfTransport};
use std::time::Duration;
use test_case::test_case;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio_rustls::client::TlsStream;

struct TlsTransport(TlsStream<TcpStream>);

fn protocol_error(cause: impl std::fmt::Display) -> NetconfError {
    NetconfError::Protocol { detail: cause.to_string(), received: None }
}

#[async_trait]
impl NetconfTransport for TlsTransport {
    async fn connect(_: &ConnectOptions) -> Result<Self, NetconfError> {
        Err(protocol_error("connected already"))
    }

    async fn send(&mut self, bytes: &[u8]) -> Result<(), NetconfError> {
        self.0.write_all(bytes).await.map_err(protocol_error)?;
        self.0.flush().await.map_err(protocol_error)
    }

    async fn recv(&mut self) -> Result<Bytes, NetconfError> {
        let mut buffer = vec![0; 4096];
        let count = self.0.read(&mut buffer).await.map_err(protocol_error)?;
        buffer.truncate(count);
        Ok(buffer.into())
    }

    async fn close(mut self) -> Result<SshMessages, NetconfError> {
        let _ = self.0.shutdown().await;
        Ok(SshMessages::default())
    }
}

async fn session(setup: &Setup, chunked: bool) -> NetconfSession<TlsTransport> {
    let stream = TcpStream::connect(setup.addresses.tls.unwrap()).await.unwrap();
    let connector = tokio_rustls::TlsConnector::from(setup.tls_config(&setup.authority, "root"));
    let name = rustls::pki_types::ServerName::try_from("localhost").unwrap();
    let stream = connector.connect(name, stream).await.unwrap();
    let mut session = NetconfSession::establish(TlsTransport(stream), chunked).await.unwrap();
    session.set_policy(ConfigPolicy::all_free(Access::Rwd));
    session
}

// This client announces base:1.1 under a name other than the RFC's, so the session uses the framing of
// base:1.0. Its chunked framing is covered by the test below.
#[test_case(true; "announcing base 1.1")]
#[test_case(false; "announcing base 1.0")]
fn foreign_client_reads_edits_and_commits(chunked: bool) {
    let setup = Setup::start(3, 1, Duration::from_millis(1));
    block_on(async {
        let mut foreign = session(&setup, chunked).await;
        assert!(foreign.capabilities().iter().any(|capability| capability.contains("confirmed-commit:1.1")));
        assert!(foreign
            .capabilities()
            .iter()
            .any(|capability| capability.contains("module=rockflow-router")));
        let edit = "<edit-config><target><candidate/></target><config><router xmlns=\"urn:rockflow:yang:router\">\
                    <marks><mark><host>c1</host><reason>theirs</reason></mark></marks></router></config></edit-config>";
        foreign.rpc(edit).await.unwrap();
        foreign.rpc("<validate><source><candidate/></source></validate>").await.unwrap();
        foreign.rpc("<commit/>").await.unwrap();
        let running = foreign.rpc("<get-config><source><running/></source></get-config>").await.unwrap();
        assert!(running.contains("<reason>theirs</reason>"), "{running}");
        let state =
            "<get><filter type=\"subtree\"><router xmlns=\"urn:rockflow:yang:router\"><state><hosts><host>\
                     <name>c1</name><effective/></host></hosts></state></router></filter></get>";
        let state = foreign.rpc(state).await.unwrap();
        assert!(state.contains("<effective>draining</effective>"), "{state}");
        let refused = foreign.rpc("<lock><target><nowhere/></target></lock>").await;
        assert!(
            matches!(&refused, Err(NetconfError::Device(error)) if format!("{error:?}").contains("operation-not-supported")),
            "{refused:?}"
        );
        foreign.rpc("<discard-changes/>").await.unwrap();
        foreign.close().await.unwrap();
        // The project's own client sees the change that the foreign client made.
        let mut root = setup.ssh("root").await;
        assert_eq!(setup.host_state(&mut root, "c1").await["says"], "operator");
    });
}

#[test]
fn framing_agrees_with_foreign_implementation() {
    use rockflow_netconf::framing as ours;
    for message in ["<a/>", "<b>]]>]]></b>", "<c>\n#3\n</c>", &"x".repeat(70_000)] {
        let mut theirs = netconf::Decoder::new(netconf::Framing::Chunked);
        theirs.push(&ours::encode(message, true));
        assert_eq!(theirs.next_message().unwrap().as_deref(), Some(message.as_bytes()));
        let mut mine = ours::Framing::new(100_000);
        mine.switch_to_chunks();
        mine.add(&netconf::framing::encode(netconf::Framing::Chunked, message.as_bytes()));
        assert_eq!(mine.next_message().unwrap().as_deref(), Some(message.as_bytes()));
    }
}
