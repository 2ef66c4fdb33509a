//! The gNMI client, over TLS with certificates both ways.

use crate::ClientError;
use hyper_util::rt::TokioIo;
use rockflow_gnmi::wire;
use rockflow_gnmi::wire::g_nmi_client::GNmiClient;
use rockflow_yang::{Pattern, Schema};
use serde_json::Value;
use std::sync::Arc;
use std::time::Duration;
use tokio::net::TcpStream;
use tonic::transport::{Channel, Endpoint};
use tonic::{Code, Status, Streaming};

/// Bytes of a message at the most.
const MAX_MESSAGE_BYTES: usize = 64 * 1024 * 1024;
/// How long a connection is waited for.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(30);

/// A connection to a server.
#[derive(Clone)]
pub struct Client {
    inner: GNmiClient<Channel>,
}

fn rejected(status: Status) -> ClientError {
    let tag = match status.code() {
        Code::PermissionDenied => "access-denied",
        Code::Aborted => "in-use",
        Code::NotFound => "data-missing",
        Code::AlreadyExists => "data-exists",
        Code::ResourceExhausted => "resource-denied",
        Code::Unimplemented => "operation-not-supported",
        Code::InvalidArgument => "invalid-value",
        Code::FailedPrecondition => "operation-failed",
        _ => return ClientError::Connection(status.to_string()),
    };
    let message = status.message().to_string();
    ClientError::Rejected { tag: tag.to_string(), app_tag: None, message }
}

/// A path as text, such as `/router/marks/mark[host=c1]`, in the form of the wire.
pub fn path(schema: &Schema, text: &str) -> Result<wire::Path, ClientError> {
    let pattern = Pattern::parse(schema, text).map_err(|error| ClientError::Unreadable(error.to_string()))?;
    let elem = pattern.0.iter().map(|step| {
        let names = schema.keys(step.node).iter().map(|key| schema.node(*key).name.clone());
        let key_values =
            names.zip(&step.keys).filter_map(|(name, key)| Some((name, key.as_ref()?.to_string())));
        wire::PathElem { name: schema.qualified_name(step.node), key: key_values.collect() }
    });
    Ok(wire::Path { elem: elem.collect(), ..wire::Path::default() })
}

/// A path of the wire as text.
pub fn text(path: &wire::Path) -> String {
    let mut text = String::new();
    for elem in &path.elem {
        text += &format!("/{}", elem.name);
        let mut keys: Vec<_> = elem.key.iter().collect();
        keys.sort();
        keys.iter().for_each(|(key, value)| text += &format!("[{key}={value}]"));
    }
    if text.is_empty() {
        text.push('/');
    }
    text
}

/// An update's value as JSON.
pub fn json(update: &wire::Update) -> Value {
    use wire::typed_value::Value as Typed;
    match update.val.as_ref().and_then(|val| val.value.as_ref()) {
        Some(Typed::JsonVal(bytes) | Typed::JsonIetfVal(bytes)) => {
            serde_json::from_slice(bytes).unwrap_or(Value::Null)
        }
        Some(Typed::StringVal(text)) => Value::String(text.clone()),
        _ => Value::Null,
    }
}

fn update(path: wire::Path, value: &Value) -> wire::Update {
    let value = wire::typed_value::Value::JsonIetfVal(value.to_string().into_bytes());
    wire::Update { path: Some(path), val: Some(wire::TypedValue { value: Some(value) }), duplicates: 0 }
}

impl Client {
    /// Connects to a server. `name` is the one in its certificate; `config` holds the client's certificate.
    pub async fn connect(
        address: &str,
        name: &str,
        config: Arc<rustls::ClientConfig>,
    ) -> Result<Client, ClientError> {
        let mut config = (*config).clone();
        config.alpn_protocols = vec![b"h2".to_vec()];
        let connector = tokio_rustls::TlsConnector::from(Arc::new(config));
        let (address, name) = (address.to_string(), name.to_string());
        // The scheme only names the authority: what carries the bytes is TLS, below.
        let endpoint = Endpoint::from_shared(format!("http://{name}"));
        let endpoint = endpoint
            .map_err(|what| ClientError::Connection(what.to_string()))?
            .connect_timeout(CONNECT_TIMEOUT);
        let connect = tower::service_fn(move |_| {
            let (connector, address, name) = (connector.clone(), address.clone(), name.clone());
            async move {
                let stream = TcpStream::connect(&address).await?;
                stream.set_nodelay(true)?;
                let name = rustls::pki_types::ServerName::try_from(name).map_err(std::io::Error::other)?;
                Ok::<_, std::io::Error>(TokioIo::new(connector.connect(name, stream).await?))
            }
        });
        let channel = endpoint.connect_with_connector(connect).await;
        let channel = channel.map_err(|what| ClientError::Connection(format!("{what:?}")))?;
        Ok(Client { inner: GNmiClient::new(channel).max_decoding_message_size(MAX_MESSAGE_BYTES) })
    }

    /// What the server announces.
    pub async fn capabilities(&mut self) -> Result<wire::CapabilityResponse, ClientError> {
        let response = self.inner.capabilities(wire::CapabilityRequest::default()).await;
        response.map(tonic::Response::into_inner).map_err(rejected)
    }

    /// Reads what the paths name: the path and value of each instance.
    pub async fn get(
        &mut self,
        schema: &Schema,
        paths: &[String],
    ) -> Result<Vec<(String, Value)>, ClientError> {
        let paths = paths.iter().map(|text| path(schema, text)).collect::<Result<_, _>>()?;
        let request = wire::GetRequest {
            path: paths,
            encoding: wire::Encoding::JsonIetf as i32,
            ..wire::GetRequest::default()
        };
        let response = self.inner.get(request).await.map_err(rejected)?.into_inner();
        let updates = response.notification.iter().flat_map(|note| &note.update);
        Ok(updates.map(|update| (update.path.as_ref().map(text).unwrap_or_default(), json(update))).collect())
    }

    /// Deletes, replaces and merges in one transaction.
    pub async fn set(
        &mut self,
        schema: &Schema,
        delete: &[&str],
        replace: &[(&str, Value)],
        updates: &[(&str, Value)],
    ) -> Result<wire::SetResponse, ClientError> {
        let all = |pairs: &[(&str, Value)]| {
            let made = pairs.iter().map(|(text, value)| Ok(update(path(schema, text)?, value)));
            made.collect::<Result<Vec<_>, ClientError>>()
        };
        let request = wire::SetRequest {
            delete: delete.iter().map(|text| path(schema, text)).collect::<Result<_, _>>()?,
            replace: all(replace)?,
            update: all(updates)?,
            ..wire::SetRequest::default()
        };
        self.inner.set(request).await.map(tonic::Response::into_inner).map_err(rejected)
    }

    /// Sends a Set that the caller made.
    pub async fn raw_set(&mut self, request: wire::SetRequest) -> Result<wire::SetResponse, ClientError> {
        self.inner.set(request).await.map(tonic::Response::into_inner).map_err(rejected)
    }

    /// Sends a Get that the caller made.
    pub async fn raw_get(&mut self, request: wire::GetRequest) -> Result<wire::GetResponse, ClientError> {
        self.inner.get(request).await.map(tonic::Response::into_inner).map_err(rejected)
    }

    /// Subscribes with messages that the caller made.
    pub async fn subscribe(
        &mut self,
        requests: impl tokio_stream::Stream<Item = wire::SubscribeRequest> + Send + 'static,
    ) -> Result<Streaming<wire::SubscribeResponse>, ClientError> {
        self.inner.subscribe(requests).await.map(tonic::Response::into_inner).map_err(rejected)
    }

    /// Subscribes to what the paths name: its changes, or all of it at intervals.
    pub async fn follow(
        &mut self,
        schema: &Schema,
        paths: &[String],
        period: Option<Duration>,
    ) -> Result<Streaming<wire::SubscribeResponse>, ClientError> {
        let mode =
            if period.is_some() { wire::SubscriptionMode::Sample } else { wire::SubscriptionMode::OnChange };
        let one = |text: &String| {
            Ok(wire::Subscription {
                path: Some(path(schema, text)?),
                mode: mode as i32,
                sample_interval: period.unwrap_or_default().as_nanos() as u64,
                ..wire::Subscription::default()
            })
        };
        let list = wire::SubscriptionList {
            subscription: paths.iter().map(one).collect::<Result<_, ClientError>>()?,
            encoding: wire::Encoding::JsonIetf as i32,
            ..wire::SubscriptionList::default()
        };
        let request = wire::subscribe_request::Request::Subscribe(list);
        let request = wire::SubscribeRequest { request: Some(request), ..wire::SubscribeRequest::default() };
        // Held open: a subscription lives as long as its stream of requests.
        let requests = tokio_stream::StreamExt::chain(tokio_stream::once(request), tokio_stream::pending());
        self.subscribe(requests).await
    }
}
