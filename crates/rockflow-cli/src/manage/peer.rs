//! A dispatcher asked by whichever protocol was wanted.

use super::output::Changed;
use super::Over;
use clap::Args;
use rockflow_gnmi::wire;
use rockflow_management_client::{gnmi, netconf, ClientError};
use rockflow_netconf::xml::Element;
use rockflow_yang::{data, json, DataNode, DataTree, NodeScope, Path, Schema};
use russh::keys::{PrivateKey, PublicKey};
use rustls::pki_types::pem::PemObject;
use rustls::pki_types::{CertificateDer, PrivateKeyDer};
use serde_json::{json, Value};
use std::path::PathBuf;
use std::sync::Arc;
use std::time::Duration;
use tonic::Streaming;

/// Whom we are, and whom we take for the dispatcher.
#[derive(Args)]
pub struct Trust {
    /// SSH: the user's name
    #[arg(long, env = "ROCKFLOW_USER", default_value = "root")]
    user: String,
    /// The private key: OpenSSH's form for SSH, PEM for TLS and gNMI
    #[arg(long, env = "ROCKFLOW_KEY", value_name = "FILE")]
    key: PathBuf,
    /// SSH: the dispatcher's public host key
    #[arg(long, env = "ROCKFLOW_HOST_KEY", value_name = "FILE")]
    host_key: Option<PathBuf>,
    /// TLS and gNMI: the user's certificate
    #[arg(long, env = "ROCKFLOW_CERTIFICATE", value_name = "FILE")]
    certificate: Option<PathBuf>,
    /// TLS and gNMI: the authority that signed the dispatcher's certificate
    #[arg(long, env = "ROCKFLOW_CA", value_name = "FILE")]
    ca: Option<PathBuf>,
    /// TLS and gNMI: the dispatcher's name in its certificate
    #[arg(long, env = "ROCKFLOW_SERVER_NAME", default_value = "localhost")]
    server_name: String,
}

fn file(path: &PathBuf) -> Result<Vec<u8>, ClientError> {
    std::fs::read(path).map_err(|what| ClientError::Untrusted(format!("{}: {what}", path.display())))
}

impl Trust {
    fn needed<'a>(&self, path: &'a Option<PathBuf>, flag: &str) -> Result<&'a PathBuf, ClientError> {
        path.as_ref().ok_or_else(|| ClientError::Untrusted(format!("{flag} is missing")))
    }

    fn ssh(&self) -> Result<(PrivateKey, PublicKey), ClientError> {
        let text = String::from_utf8_lossy(&file(&self.key)?).to_string();
        let fault =
            |path: &PathBuf, what: String| ClientError::Untrusted(format!("{}: {what}", path.display()));
        let key = russh::keys::decode_secret_key(&text, None);
        let key = key.map_err(|what| fault(&self.key, what.to_string()))?;
        let path = self.needed(&self.host_key, "--host-key")?;
        let text = String::from_utf8_lossy(&file(path)?).to_string();
        let host = PublicKey::from_openssh(text.trim()).map_err(|what| fault(path, what.to_string()))?;
        Ok((key, host))
    }

    fn tls(&self) -> Result<Arc<rustls::ClientConfig>, ClientError> {
        let fault = |path: &PathBuf, what: &dyn std::fmt::Display| {
            ClientError::Untrusted(format!("{}: {what}", path.display()))
        };
        let chain = |path: &PathBuf| -> Result<Vec<CertificateDer<'static>>, ClientError> {
            let bytes = file(path)?;
            CertificateDer::pem_slice_iter(&bytes)
                .collect::<Result<_, _>>()
                .map_err(|what| fault(path, &what))
        };
        let mut roots = rustls::RootCertStore::empty();
        let ca = self.needed(&self.ca, "--ca")?;
        for authority in chain(ca)? {
            roots.add(authority).map_err(|what| fault(ca, &what))?;
        }
        let certificate = self.needed(&self.certificate, "--certificate")?;
        let key = PrivateKeyDer::from_pem_slice(&file(&self.key)?).map_err(|what| fault(&self.key, &what))?;
        let provider = Arc::new(rustls::crypto::ring::default_provider());
        let config =
            rustls::ClientConfig::builder_with_provider(provider).with_safe_default_protocol_versions();
        let config =
            config.map_err(|what| ClientError::Untrusted(what.to_string()))?.with_root_certificates(roots);
        let config = config.with_client_auth_cert(chain(certificate)?, key);
        config.map(Arc::new).map_err(|what| fault(certificate, &what))
    }
}

pub enum Peer {
    Netconf(Box<netconf::Client>),
    Gnmi(Box<Grpc>),
}

pub struct Grpc {
    client: gnmi::Client,
    follows: Option<Streaming<wire::SubscribeResponse>>,
}

fn only_netconf() -> ClientError {
    let message = "only over NETCONF".to_string();
    ClientError::Rejected { tag: "operation-not-supported".to_string(), app_tag: None, message }
}

impl Peer {
    pub async fn connect(over: Over, at: &str, trust: &Trust) -> Result<Peer, ClientError> {
        Ok(match over {
            Over::Ssh => {
                let (key, host) = trust.ssh()?;
                Peer::Netconf(Box::new(netconf::Client::ssh(at, &trust.user, key, host).await?))
            }
            Over::Tls => {
                let client = netconf::Client::tls(at, &trust.server_name, trust.tls()?).await?;
                Peer::Netconf(Box::new(client))
            }
            Over::Gnmi => {
                let client = gnmi::Client::connect(at, &trust.server_name, trust.tls()?).await?;
                Peer::Gnmi(Box::new(Grpc { client, follows: None }))
            }
        })
    }

    /// As one JSON tree over NETCONF; over gNMI by path, unless one path names all of it.
    pub async fn get(
        &mut self,
        schema: &Schema,
        datastore: &str,
        paths: &[String],
    ) -> Result<Value, ClientError> {
        match self {
            Peer::Netconf(client) => {
                let fields = client.get(schema, datastore, paths).await?;
                Ok(json::write(schema, &fields))
            }
            Peer::Gnmi(grpc) => {
                if datastore != "operational" {
                    return Err(only_netconf());
                }
                let found = grpc.client.get(schema, paths).await?;
                let mut fields = DataTree::new();
                for (text, value) in &found {
                    match put(schema, text, value) {
                        Ok(part) => data::merge(&mut fields, &part),
                        Err(_) => {
                            let all = found.iter().map(|(path, value)| (path.clone(), value.clone()));
                            return Ok(Value::Object(all.collect()));
                        }
                    }
                }
                Ok(json::write(schema, &fields))
            }
        }
    }

    pub async fn follow(
        &mut self,
        schema: &Schema,
        paths: &[String],
        period: Option<Duration>,
    ) -> Result<(), ClientError> {
        match self {
            Peer::Netconf(client) => client.follow(paths, period).await.map(|_| ()),
            Peer::Gnmi(grpc) => {
                grpc.follows = Some(grpc.client.follow(schema, paths, period).await?);
                Ok(())
            }
        }
    }

    /// The next message of what is followed.
    pub async fn next(&mut self, schema: &Schema) -> Result<Vec<Changed>, ClientError> {
        let ended = || ClientError::Connection("ended".to_string());
        match self {
            Peer::Netconf(client) => {
                let told = client.notification().await?;
                Ok(pushed(schema, &told))
            }
            Peer::Gnmi(grpc) => loop {
                let stream = grpc.follows.as_mut().ok_or_else(ended)?;
                let message = stream.message().await;
                let message =
                    message.map_err(|what| ClientError::Connection(what.to_string()))?.ok_or_else(ended)?;
                let Some(wire::subscribe_response::Response::Update(note)) = message.response else {
                    continue;
                };
                let path = |path: &Option<wire::Path>| path.as_ref().map(gnmi::text).unwrap_or_default();
                let updates = note.update.iter().map(|one| (path(&one.path), Some(gnmi::json(one))));
                let gone = note.delete.iter().map(|path| (gnmi::text(path), None));
                return Ok(updates.chain(gone).collect());
            },
        }
    }

    pub async fn drain(
        &mut self,
        schema: &Schema,
        host: &str,
        reason: Option<&str>,
        expires_in: Option<u32>,
        force: bool,
    ) -> Result<Option<u64>, ClientError> {
        match self {
            Peer::Netconf(client) => {
                let span = expires_in.map(|seconds| seconds.to_string());
                let mut input = vec![("host", host)];
                input.extend(reason.map(|reason| ("reason", reason)));
                input.extend(span.as_deref().map(|span| ("expires-in", span)));
                if force {
                    input.push(("force", "true"));
                }
                client.act(schema, "drain", &input).await.map(Some)
            }
            Peer::Gnmi(grpc) => {
                let mut mark = json!({"state": "draining"});
                if let Some(reason) = reason {
                    mark["reason"] = json!(reason);
                }
                if let Some(seconds) = expires_in {
                    let now = std::time::SystemTime::now().duration_since(std::time::UNIX_EPOCH);
                    let until = now.unwrap_or_default() + Duration::from_secs(seconds.into());
                    mark["expires"] = json!(rockflow_management::timestamp::format(until));
                }
                if force {
                    mark["force"] = json!(true);
                }
                let path = format!("/router/marks/mark[host='{host}']");
                grpc.client.set(schema, &[], &[(&path, mark)], &[]).await.map(|_| None)
            }
        }
    }

    pub async fn undrain(&mut self, schema: &Schema, host: &str) -> Result<Option<u64>, ClientError> {
        match self {
            Peer::Netconf(client) => client.act(schema, "undrain", &[("host", host)]).await.map(Some),
            Peer::Gnmi(grpc) => {
                let path = format!("/router/marks/mark[host='{host}']");
                grpc.client.set(schema, &[&path], &[], &[]).await.map(|_| None)
            }
        }
    }

    pub async fn commit(
        &mut self,
        schema: &Schema,
        value: &Value,
        within: Option<Duration>,
        persist: Option<&str>,
    ) -> Result<(), ClientError> {
        match self {
            Peer::Netconf(client) => {
                let fields = json::read(schema, None, value, NodeScope::ConfigOnly)
                    .map_err(|error| ClientError::Unreadable(error.to_string()))?;
                client.edit(schema, &fields).await?;
                client.commit(within, persist, None).await
            }
            Peer::Gnmi(_) if within.is_some() => Err(only_netconf()),
            Peer::Gnmi(grpc) => grpc.client.set(schema, &[], &[], &[("/", value.clone())]).await.map(|_| ()),
        }
    }

    fn netconf(&mut self) -> Result<&mut netconf::Client, ClientError> {
        match self {
            Peer::Netconf(client) => Ok(client),
            Peer::Gnmi(_) => Err(only_netconf()),
        }
    }

    pub async fn confirm(&mut self, persist_id: &str) -> Result<(), ClientError> {
        self.netconf()?.commit(None, None, Some(persist_id)).await
    }

    pub async fn cancel(&mut self, persist_id: &str) -> Result<(), ClientError> {
        let mut out = rockflow_netconf::xml::Writer::new();
        out.open("cancel-commit", &[]);
        out.leaf("persist-id", &[], persist_id);
        out.close("cancel-commit");
        self.netconf()?.call(&out.finish()).await.map(|_| ())
    }

    pub async fn rollback(
        &mut self,
        schema: &Schema,
        version: u64,
        expected: Option<u64>,
    ) -> Result<u64, ClientError> {
        let (version, expected) = (version.to_string(), expected.map(|expected| expected.to_string()));
        let mut input = vec![("version", version.as_str())];
        input.extend(expected.as_deref().map(|expected| ("expected", expected)));
        self.netconf()?.act(schema, "rollback", &input).await
    }
}

/// A value at its path, as a tree.
fn put(schema: &Schema, text: &str, value: &Value) -> Result<DataTree, String> {
    // Keys come without quotes here.
    let path = Path::parse(schema, text).map_err(|error| error.to_string())?;
    let read = |parent| {
        json::read(schema, parent, value, NodeScope::ConfigAndState).map_err(|error| error.to_string())
    };
    let Some(last) = path.0.last() else { return read(None) };
    let data = if last.keys.is_empty() {
        json::read_data(schema, last.node, value, NodeScope::ConfigAndState)
            .map_err(|error| error.to_string())?
    } else {
        DataNode::Container(read(Some(last.node))?)
    };
    let mut fields = DataTree::new();
    data::insert_at(schema, &mut fields, &path, data);
    Ok(fields)
}

/// What a push tells: all values, or those that changed.
fn pushed(schema: &Schema, told: &Element) -> Vec<Changed> {
    if let Some(update) = told.child("push-update").and_then(|update| update.child("datastore-contents")) {
        let read = rockflow_netconf::codec::read(
            schema,
            None,
            &update.children,
            &Path::default(),
            rockflow_yang::NodeScope::ConfigAndState,
        );
        let leaves = read.map(|fields| data::leaves(&fields)).unwrap_or_default();
        return leaves
            .into_iter()
            .map(|(path, value)| {
                let of = path.node().and_then(|node| schema.type_of(node));
                (path.to_text(schema), Some(json::write_scalar(of, &value)))
            })
            .collect();
    }
    let changes = told.child("push-change-update").and_then(|update| update.child("datastore-changes"));
    let patch = changes.and_then(|changes| changes.child("yang-patch"));
    let edits = patch.into_iter().flat_map(|patch| &patch.children).filter(|child| child.name == "edit");
    edits
        .map(|edit| {
            let value = edit.child("value").and_then(|value| value.children.first());
            let target = edit.text_of("target").unwrap_or_default().to_string();
            (target, value.map(|value| Value::String(value.text().to_string())))
        })
        .collect()
}
