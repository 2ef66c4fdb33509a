//! A management connection to a dispatcher, over NETCONF or gNMI. Some operations are available only over NETCONF.

use super::arguments::Transport;
use super::credentials::{Credentials, SshKeys};
use super::output::Change;
use rockflow_gnmi::wire;
use rockflow_management_client::{gnmi, netconf, ClientError};
use rockflow_netconf::xml::Element;
use rockflow_yang::{data, json, DataNode, DataTree, NodeScope, Path, Schema};
use serde_json::{json, Value};
use std::time::Duration;
use tonic::Streaming;

/// A management connection to a dispatcher.
pub enum Peer {
    /// A NETCONF session over SSH or TLS.
    Netconf(Box<netconf::Client>),
    /// A gNMI channel over TLS.
    Gnmi(Box<GnmiPeer>),
}

/// A gNMI client and its subscription.
pub struct GnmiPeer {
    client: gnmi::Client,
    /// The messages of the subscription; `None` before [`Peer::subscribe`].
    subscription: Option<Streaming<wire::SubscribeResponse>>,
}

/// The error for an operation that is available only over NETCONF.
fn only_netconf_error() -> ClientError {
    let message = "only over NETCONF".to_string();
    ClientError::Rejected { tag: "operation-not-supported".to_string(), app_tag: None, message }
}

impl Peer {
    /// Connects and authenticates.
    pub async fn connect(
        transport: Transport,
        address: &str,
        credentials: &Credentials,
    ) -> Result<Peer, ClientError> {
        let server_name = &credentials.server_name;
        match transport {
            Transport::Ssh => {
                let SshKeys { user, host } = credentials.ssh_keys()?;
                let client = netconf::Client::ssh(address, &credentials.user, user, host).await?;
                Ok(Peer::Netconf(Box::new(client)))
            }
            Transport::Tls => {
                let client = netconf::Client::tls(address, server_name, credentials.tls_config()?).await?;
                Ok(Peer::Netconf(Box::new(client)))
            }
            Transport::Gnmi => {
                let client = gnmi::Client::connect(address, server_name, credentials.tls_config()?).await?;
                Ok(Peer::Gnmi(Box::new(GnmiPeer { client, subscription: None })))
            }
        }
    }

    /// Reads the values at these paths as one JSON tree. If a value that gNMI returns does not fit the schema, the result is
    /// an object of the values by path instead. gNMI can read only the datastore `operational`.
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
            Peer::Gnmi(peer) => {
                if datastore != "operational" {
                    return Err(only_netconf_error());
                }
                let values_by_path = peer.client.get(schema, paths).await?;
                let mut fields = DataTree::new();
                for (path, value) in &values_by_path {
                    match tree_from_value(schema, path, value) {
                        Some(tree) => data::merge(&mut fields, &tree),
                        None => {
                            let entries = values_by_path.iter();
                            let entries = entries.map(|(path, value)| (path.clone(), value.clone()));
                            return Ok(Value::Object(entries.collect()));
                        }
                    }
                }
                Ok(json::write(schema, &fields))
            }
        }
    }

    /// Subscribes to changes of the values at these paths or, with a period, to all the values at that interval.
    pub async fn subscribe(
        &mut self,
        schema: &Schema,
        paths: &[String],
        period: Option<Duration>,
    ) -> Result<(), ClientError> {
        match self {
            Peer::Netconf(client) => client.follow(paths, period).await.map(|_| ()),
            Peer::Gnmi(peer) => {
                peer.subscription = Some(peer.client.follow(schema, paths, period).await?);
                Ok(())
            }
        }
    }

    /// Waits for the next message of the subscription. Fails when the stream of messages has ended.
    pub async fn next_changes(&mut self, schema: &Schema) -> Result<Vec<Change>, ClientError> {
        let ended = || ClientError::Connection("ended".to_string());
        match self {
            Peer::Netconf(client) => {
                let notification = client.notification().await?;
                Ok(notified_changes(schema, &notification))
            }
            Peer::Gnmi(peer) => loop {
                let stream = peer.subscription.as_mut().ok_or_else(ended)?;
                let message = stream.message().await;
                let message =
                    message.map_err(|error| ClientError::Connection(error.to_string()))?.ok_or_else(ended)?;
                let Some(wire::subscribe_response::Response::Update(notification)) = message.response else {
                    continue;
                };
                let path = |path: &Option<wire::Path>| path.as_ref().map(gnmi::text).unwrap_or_default();
                let updates = notification
                    .update
                    .iter()
                    .map(|update| Change { path: path(&update.path), value: Some(gnmi::json(update)) });
                let deletions =
                    notification.delete.iter().map(|path| Change { path: gnmi::text(path), value: None });
                return Ok(updates.chain(deletions).collect());
            },
        }
    }

    /// Sets the override that drains a host. Returns the version of the commit; `None` over gNMI, which does not return it.
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
                let expires_in = expires_in.map(|seconds| seconds.to_string());
                let mut input = vec![("host", host)];
                input.extend(reason.map(|reason| ("reason", reason)));
                input.extend(expires_in.as_deref().map(|seconds| ("expires-in", seconds)));
                if force {
                    input.push(("force", "true"));
                }
                client.act(schema, "drain", &input).await.map(Some)
            }
            Peer::Gnmi(peer) => {
                let mut admin_override = json!({"state": "draining"});
                if let Some(reason) = reason {
                    admin_override["reason"] = json!(reason);
                }
                if let Some(seconds) = expires_in {
                    let now = std::time::SystemTime::now().duration_since(std::time::UNIX_EPOCH);
                    let expires_at = now.unwrap_or_default() + Duration::from_secs(seconds.into());
                    admin_override["expires"] = json!(rockflow_management::timestamp::format(expires_at));
                }
                if force {
                    admin_override["force"] = json!(true);
                }
                let path = format!("/router/marks/mark[host='{host}']");
                peer.client.set(schema, &[], &[(&path, admin_override)], &[]).await.map(|_| None)
            }
        }
    }

    /// Removes the override of a host. Returns the version of the commit; `None` over gNMI, which does not return it.
    pub async fn undrain(&mut self, schema: &Schema, host: &str) -> Result<Option<u64>, ClientError> {
        match self {
            Peer::Netconf(client) => client.act(schema, "undrain", &[("host", host)]).await.map(Some),
            Peer::Gnmi(peer) => {
                let path = format!("/router/marks/mark[host='{host}']");
                peer.client.set(schema, &[&path], &[], &[]).await.map(|_| None)
            }
        }
    }

    /// Merges a configuration and commits the result. With a timeout, which is available only over NETCONF, the commit is
    /// undone unless it is confirmed in time. `persist` is the id by which a later session can confirm or cancel it.
    pub async fn commit(
        &mut self,
        schema: &Schema,
        value: &Value,
        confirm_timeout: Option<Duration>,
        persist: Option<&str>,
    ) -> Result<(), ClientError> {
        match self {
            Peer::Netconf(client) => {
                let fields = json::read(schema, None, value, NodeScope::ConfigOnly)
                    .map_err(|error| ClientError::Unreadable(error.to_string()))?;
                client.edit(schema, &fields).await?;
                client.commit(confirm_timeout, persist, None).await
            }
            Peer::Gnmi(_) if confirm_timeout.is_some() => Err(only_netconf_error()),
            Peer::Gnmi(peer) => peer.client.set(schema, &[], &[], &[("/", value.clone())]).await.map(|_| ()),
        }
    }

    /// The NETCONF client, for operations that are available only over NETCONF.
    fn netconf_only(&mut self) -> Result<&mut netconf::Client, ClientError> {
        match self {
            Peer::Netconf(client) => Ok(client),
            Peer::Gnmi(_) => Err(only_netconf_error()),
        }
    }

    /// Confirms a commit by its persistent id.
    pub async fn confirm(&mut self, persist_id: &str) -> Result<(), ClientError> {
        self.netconf_only()?.commit(None, None, Some(persist_id)).await
    }

    /// Cancels a confirmed commit by its persistent id.
    pub async fn cancel(&mut self, persist_id: &str) -> Result<(), ClientError> {
        let mut out = rockflow_netconf::xml::Writer::new();
        out.open("cancel-commit", &[]);
        out.leaf("persist-id", &[], persist_id);
        out.close("cancel-commit");
        self.netconf_only()?.call(&out.finish()).await.map(|_| ())
    }

    /// Restores the configuration of an earlier commit by a new commit, and returns the new version. Fails if `expected` is
    /// given and is not the current version.
    pub async fn rollback(
        &mut self,
        schema: &Schema,
        version: u64,
        expected: Option<u64>,
    ) -> Result<u64, ClientError> {
        let (version, expected) = (version.to_string(), expected.map(|version| version.to_string()));
        let mut input = vec![("version", version.as_str())];
        input.extend(expected.as_deref().map(|version| ("expected", version)));
        self.netconf_only()?.act(schema, "rollback", &input).await
    }
}

/// A tree that has only this value, at its path; `None` if the path or the value does not fit the schema.
fn tree_from_value(schema: &Schema, path_text: &str, value: &Value) -> Option<DataTree> {
    let scope = NodeScope::ConfigAndState;
    // gNMI paths have list keys without quotes.
    let path = Path::parse(schema, path_text).ok()?;
    let Some(last) = path.0.last() else {
        return json::read(schema, None, value, scope).ok();
    };
    let data = if last.keys.is_empty() {
        json::read_data(schema, last.node, value, scope).ok()?
    } else {
        DataNode::Container(json::read(schema, Some(last.node), value, scope).ok()?)
    };
    let mut fields = DataTree::new();
    data::insert_at(schema, &mut fields, &path, data);
    Some(fields)
}

/// The values of a YANG-Push notification: all subscribed ones of a `push-update`, the changed ones of a
/// `push-change-update`.
fn notified_changes(schema: &Schema, notification: &Element) -> Vec<Change> {
    if let Some(update) =
        notification.child("push-update").and_then(|update| update.child("datastore-contents"))
    {
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
                let value_type = path.node().and_then(|node| schema.type_of(node));
                Change { path: path.to_text(schema), value: Some(json::write_scalar(value_type, &value)) }
            })
            .collect();
    }
    let changes =
        notification.child("push-change-update").and_then(|update| update.child("datastore-changes"));
    let patch = changes.and_then(|changes| changes.child("yang-patch"));
    let edits = patch.into_iter().flat_map(|patch| &patch.children).filter(|child| child.name == "edit");
    edits
        .map(|edit| {
            let value = edit.child("value").and_then(|value| value.children.first());
            let path = edit.text_of("target").unwrap_or_default().to_string();
            Change { path, value: value.map(|value| Value::String(value.text().to_string())) }
        })
        .collect()
}
