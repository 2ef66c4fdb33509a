//! The gNMI client, over TLS with mutual authentication by certificates.

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

/// Maximum size of a received message, in bytes.
const MAX_MESSAGE_BYTES: usize = 64 * 1024 * 1024;
/// Timeout for establishing a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(30);

/// A connection to a gNMI server. Clones share the connection.
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

/// Parses a path such as `/router/marks/mark[host=c1]` into the protocol's form. Fails with
/// [`ClientError::Unreadable`] if the path does not fit the schema.
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

/// Formats a path of the protocol as text, with the keys sorted by name; the empty path is `/`.
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

/// Returns an update's value as JSON; `null` if it has none or is of a type that the servers don't send.
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
    /// Connects to a server. `name` must match the server's certificate; `config` holds the client's
    /// certificate and the trusted authorities.
    pub async fn connect(
        address: &str,
        name: &str,
        config: Arc<rustls::ClientConfig>,
    ) -> Result<Client, ClientError> {
        let mut config = (*config).clone();
        config.alpn_protocols = vec![b"h2".to_vec()];
        let connector = tokio_rustls::TlsConnector::from(Arc::new(config));
        let (address, name) = (address.to_string(), name.to_string());
        // The URI only provides the authority of the requests. The connector below always uses TLS, whatever
        // the scheme says.
        let endpoint = Endpoint::from_shared(format!("http://{name}"));
        let endpoint = endpoint
            .map_err(|error| ClientError::Connection(error.to_string()))?
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
        let channel = channel.map_err(|error| ClientError::Connection(format!("{error:?}")))?;
        Ok(Client { inner: GNmiClient::new(channel).max_decoding_message_size(MAX_MESSAGE_BYTES) })
    }

    /// Requests the server's capabilities: models, encodings and version.
    pub async fn capabilities(&mut self) -> Result<wire::CapabilityResponse, ClientError> {
        let response = self.inner.capabilities(wire::CapabilityRequest::default()).await;
        response.map(tonic::Response::into_inner).map_err(rejected)
    }

    /// Reads the values at the paths. Returns the path and the value of each instance.
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

    /// Deletes, replaces and merges (`updates`) in one transaction.
    pub async fn set(
        &mut self,
        schema: &Schema,
        delete: &[&str],
        replace: &[(&str, Value)],
        updates: &[(&str, Value)],
    ) -> Result<wire::SetResponse, ClientError> {
        let to_updates = |pairs: &[(&str, Value)]| {
            let updates = pairs.iter().map(|(text, value)| Ok(update(path(schema, text)?, value)));
            updates.collect::<Result<Vec<_>, ClientError>>()
        };
        let request = wire::SetRequest {
            delete: delete.iter().map(|text| path(schema, text)).collect::<Result<_, _>>()?,
            replace: to_updates(replace)?,
            update: to_updates(updates)?,
            ..wire::SetRequest::default()
        };
        self.inner.set(request).await.map(tonic::Response::into_inner).map_err(rejected)
    }

    /// Sends a Set request as the caller built it.
    pub async fn raw_set(&mut self, request: wire::SetRequest) -> Result<wire::SetResponse, ClientError> {
        self.inner.set(request).await.map(tonic::Response::into_inner).map_err(rejected)
    }

    /// Sends a Get request as the caller built it.
    pub async fn raw_get(&mut self, request: wire::GetRequest) -> Result<wire::GetResponse, ClientError> {
        self.inner.get(request).await.map(tonic::Response::into_inner).map_err(rejected)
    }

    /// Opens a Subscribe stream with request messages as the caller built them.
    pub async fn subscribe(
        &mut self,
        requests: impl tokio_stream::Stream<Item = wire::SubscribeRequest> + Send + 'static,
    ) -> Result<Streaming<wire::SubscribeResponse>, ClientError> {
        self.inner.subscribe(requests).await.map(tonic::Response::into_inner).map_err(rejected)
    }

    /// Subscribes to the values at the paths. With a `period`, all values are sent at that interval;
    /// otherwise the present values once, then changes.
    pub async fn follow(
        &mut self,
        schema: &Schema,
        paths: &[String],
        period: Option<Duration>,
    ) -> Result<Streaming<wire::SubscribeResponse>, ClientError> {
        let mode =
            if period.is_some() { wire::SubscriptionMode::Sample } else { wire::SubscriptionMode::OnChange };
        let to_subscription = |text: &String| {
            Ok(wire::Subscription {
                path: Some(path(schema, text)?),
                mode: mode as i32,
                sample_interval: period.unwrap_or_default().as_nanos() as u64,
                ..wire::Subscription::default()
            })
        };
        let list = wire::SubscriptionList {
            subscription: paths.iter().map(to_subscription).collect::<Result<_, ClientError>>()?,
            encoding: wire::Encoding::JsonIetf as i32,
            ..wire::SubscriptionList::default()
        };
        let request = wire::subscribe_request::Request::Subscribe(list);
        let request = wire::SubscribeRequest { request: Some(request), ..wire::SubscribeRequest::default() };
        // The request stream is kept open, because the subscription ends with it.
        let requests = tokio_stream::StreamExt::chain(tokio_stream::once(request), tokio_stream::pending());
        self.subscribe(requests).await
    }
}
