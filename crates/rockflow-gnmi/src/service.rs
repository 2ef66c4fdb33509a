//! The four calls of the gNMI service: Capabilities, Get, Set and Subscribe.

use crate::paths;
use crate::status::{encoding, nanos, status};
use crate::subscriber::{
    PlannedSubscription, ReadMode, Subscriber, FIRST_MESSAGE_TIMEOUT, MAX_WAITING_MESSAGES,
};
use crate::wire;
use rockflow_management::{Datastore, ErrorTag, ManagementError, Operator, Protocol, Trigger};
use rockflow_management_service::{ManagementService, SessionHandle};
use rockflow_yang::{data, DataTree, Edit, EditOperation, Path, Schema};
use std::net::SocketAddr;
use std::pin::Pin;
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::{mpsc, Semaphore};
use tokio_stream::wrappers::ReceiverStream;
use tokio_stream::{Stream, StreamExt};
use tonic::{Request, Response, Status, Streaming};
use wire::get_request::DataType;
use wire::subscribe_request::Request as SubscribeMessage;
use wire::subscription_list::Mode;
use wire::update_result::Operation;
use wire::{Encoding, SubscriptionMode};

/// The authenticated peer of a connection.
#[derive(Clone, Debug)]
pub struct Peer {
    /// The user named by the client certificate.
    pub user: String,
    /// The remote address of the connection.
    pub from: SocketAddr,
}

/// The gNMI service.
pub struct Service {
    /// The management service, which authorizes and carries out all reads and changes.
    pub management: Arc<ManagementService>,
    /// One permit for each subscriber that may be connected at the same time.
    pub subscribers: Arc<Semaphore>,
    /// The shortest sample or heartbeat interval that a subscription may ask for. Also the sample interval of
    /// subscriptions that name none.
    pub min_interval: Duration,
}

impl Service {
    fn schema(&self) -> &Arc<Schema> {
        self.management.schema()
    }

    fn to_status(&self, error: ManagementError) -> Status {
        status(self.schema(), &error)
    }

    /// Opens a management session for one call. Fails without an authenticated peer, or if the service rejects the
    /// session.
    fn open_session<T>(&self, request: &Request<T>) -> Result<SessionHandle, Status> {
        let peer = request.extensions().get::<Peer>().cloned();
        let peer = peer.ok_or_else(|| Status::unauthenticated("who asks is not known"))?;
        let source = peer.from.ip().to_string();
        let operator = Operator { user: peer.user, protocol: Protocol::Gnmi, source };
        self.management.open_session(operator).map_err(|error| self.to_status(error))
    }

    /// The edits of a Set request, in the order of the specification: deletes, replaces, updates. `running` is the
    /// current configuration, in which the open keys of deletes are looked up.
    fn edits(&self, request: &wire::SetRequest, running: &DataTree) -> Result<Vec<Edit>, ManagementError> {
        let schema = self.schema();
        let prefix = request.prefix.as_ref();
        let mut edits = Vec::new();
        for path in &request.delete {
            let pattern = paths::decode_pattern(schema, prefix, Some(path))?;
            if let Some(path) = paths::to_path(&pattern) {
                edits.push(Edit { path, op: EditOperation::Remove, value: None });
                continue;
            }
            // Deletes with open keys apply to all instances that exist now.
            for (path, _) in paths::instances(schema, running, &pattern)? {
                edits.push(Edit { path, op: EditOperation::Remove, value: None });
            }
        }
        let replaced = request.replace.iter().map(|update| (EditOperation::Replace, update));
        let updated = request.update.iter().map(|update| (EditOperation::Merge, update));
        for (op, update) in replaced.chain(updated) {
            let pattern = paths::decode_pattern(schema, prefix, update.path.as_ref())?;
            let path = paths::to_path(&pattern)
                .ok_or_else(|| ManagementError::new(ErrorTag::InvalidValue, "a value is set at open keys"))?;
            let value = paths::decode_value(schema, &path, update.val.as_ref())?;
            edits.push(Edit { path, op, value: Some(value) });
        }
        Ok(edits)
    }

    /// Validates a whole subscription list before any of its subscriptions is opened.
    fn plan(&self, list: &wire::SubscriptionList) -> Result<Vec<PlannedSubscription>, Status> {
        check_path_count(list.subscription.len())?;
        if list.subscription.is_empty() {
            return Err(Status::invalid_argument("nothing is subscribed to"));
        }
        list.subscription.iter().map(|subscription| self.plan_one(list, subscription)).collect()
    }

    /// Validates one subscription of the list.
    fn plan_one(
        &self,
        list: &wire::SubscriptionList,
        subscription: &wire::Subscription,
    ) -> Result<PlannedSubscription, Status> {
        let pattern = paths::decode_pattern(self.schema(), list.prefix.as_ref(), subscription.path.as_ref());
        let pattern = pattern.map_err(|error| self.to_status(error))?;
        let interval = |nanos: u64| (nanos > 0).then(|| Duration::from_nanos(nanos));
        let heartbeat = interval(subscription.heartbeat_interval);
        let period = interval(subscription.sample_interval).unwrap_or(self.min_interval);
        if period < self.min_interval || heartbeat.is_some_and(|heartbeat| heartbeat < self.min_interval) {
            let millis = self.min_interval.as_millis();
            return Err(Status::invalid_argument(format!("the least interval is {millis} ms")));
        }
        let trigger = match SubscriptionMode::try_from(subscription.mode) {
            Ok(SubscriptionMode::Sample) => {
                Trigger::Periodic { period, suppress: subscription.suppress_redundant, heartbeat }
            }
            Ok(_) => Trigger::OnChange { dampening: Duration::ZERO, heartbeat },
            Err(_) => return Err(Status::invalid_argument("no such mode of a subscription")),
        };
        Ok(PlannedSubscription { pattern, trigger })
    }

    /// The notification of a Get response for one path, with the instances that the path matches in `tree`.
    fn read_path(
        &self,
        request: &wire::GetRequest,
        path: &wire::Path,
        tree: &DataTree,
        encoding: Encoding,
    ) -> Result<wire::Notification, Status> {
        let schema = self.schema();
        let pattern = paths::decode_pattern(schema, request.prefix.as_ref(), Some(path));
        let pattern = pattern.map_err(|error| self.to_status(error))?;
        let instances = paths::instances(schema, tree, &pattern).map_err(|error| self.to_status(error))?;
        if instances.is_empty() && paths::has_all_keys(&pattern) {
            return Err(Status::not_found("nothing there"));
        }
        let update = instances.iter().map(|(path, value)| wire::Update {
            path: Some(paths::encode_path(schema, path)),
            val: Some(paths::encode_json(value, encoding)),
            duplicates: 0,
        });
        let target = request.prefix.as_ref().map(|prefix| prefix.target.as_str()).unwrap_or_default();
        Ok(wire::Notification {
            timestamp: nanos(self.management.now()),
            prefix: paths::target_prefix(target),
            update: update.collect(),
            ..wire::Notification::default()
        })
    }
}

fn check_path_count(count: usize) -> Result<(), Status> {
    if count > paths::MAX_PATHS {
        return Err(Status::resource_exhausted(format!("more than {} paths", paths::MAX_PATHS)));
    }
    Ok(())
}

#[tonic::async_trait]
impl wire::g_nmi_server::GNmi for Service {
    async fn capabilities(
        &self,
        request: Request<wire::CapabilityRequest>,
    ) -> Result<Response<wire::CapabilityResponse>, Status> {
        self.open_session(&request)?;
        let models = self.schema().modules().iter().map(|module| wire::ModelData {
            name: module.name.clone(),
            organization: "rockflow".to_string(),
            version: module.revision.clone(),
        });
        Ok(Response::new(wire::CapabilityResponse {
            supported_models: models.collect(),
            supported_encodings: vec![Encoding::JsonIetf as i32, Encoding::Json as i32],
            g_nmi_version: crate::VERSION.to_string(),
        }))
    }

    async fn get(&self, request: Request<wire::GetRequest>) -> Result<Response<wire::GetResponse>, Status> {
        let session = self.open_session(&request)?;
        let request = request.into_inner();
        let (schema, encoding) = (self.schema(), encoding(request.encoding)?);
        check_path_count(request.path.len())?;
        let data_type = DataType::try_from(request.r#type);
        let data_type = data_type.map_err(|_| Status::invalid_argument("no such type"))?;
        let datastore = (data_type == DataType::Config).then_some(Datastore::Running);
        let mut tree = session.read(datastore).await.map_err(|error| self.to_status(error))?;
        if matches!(data_type, DataType::State | DataType::Operational) {
            let is_state = |path: &Path| path.node().is_some_and(|node| !schema.node(node).config);
            tree = data::retain_leaves(schema, &tree, &Path::default(), &is_state);
        }
        let root = [wire::Path::default()];
        let requested = if request.path.is_empty() { &root[..] } else { &request.path[..] };
        let mut notification = Vec::new();
        for path in requested {
            notification.push(self.read_path(&request, path, &tree, encoding)?);
        }
        Ok(Response::new(wire::GetResponse { notification }))
    }

    async fn set(&self, request: Request<wire::SetRequest>) -> Result<Response<wire::SetResponse>, Status> {
        let session = self.open_session(&request)?;
        let request = request.into_inner();
        if !request.union_replace.is_empty() {
            return Err(Status::unimplemented("union_replace is not served"));
        }
        // An ignored extension could be a condition of the change, such as commit confirmation, so every extension is
        // rejected.
        if !request.extension.is_empty() {
            return Err(Status::unimplemented("no extension of Set is served"));
        }
        check_path_count(request.delete.len() + request.replace.len() + request.update.len())?;
        let running = self.management.inspect(|datastores| datastores.running().clone());
        let edits = self.edits(&request, &running).map_err(|error| self.to_status(error))?;
        session.set(&edits, None, "").await.map_err(|error| self.to_status(error))?;
        let result = |path: Option<wire::Path>, op: Operation| wire::UpdateResult { path, op: op as i32 };
        let deleted = request.delete.into_iter().map(|path| result(Some(path), Operation::Delete));
        let replaced = request.replace.into_iter().map(|update| result(update.path, Operation::Replace));
        let updated = request.update.into_iter().map(|update| result(update.path, Operation::Update));
        Ok(Response::new(wire::SetResponse {
            prefix: request.prefix,
            response: deleted.chain(replaced).chain(updated).collect(),
            timestamp: nanos(self.management.now()),
        }))
    }

    type SubscribeStream =
        Pin<Box<dyn Stream<Item = Result<wire::SubscribeResponse, Status>> + Send + 'static>>;

    async fn subscribe(
        &self,
        request: Request<Streaming<wire::SubscribeRequest>>,
    ) -> Result<Response<Self::SubscribeStream>, Status> {
        let permit = self.subscribers.clone().try_acquire_owned();
        let permit = permit.map_err(|_| Status::resource_exhausted("all subscribers' places are taken"))?;
        let session = self.open_session(&request)?;
        let mut requests = request.into_inner();
        let first = tokio::time::timeout(FIRST_MESSAGE_TIMEOUT, requests.next()).await;
        let first = first.map_err(|_| Status::deadline_exceeded("no subscription in time"))?;
        let first = first.ok_or_else(|| Status::invalid_argument("ended without a subscription"))??;
        let Some(SubscribeMessage::Subscribe(list)) = first.request else {
            return Err(Status::invalid_argument("a list of subscriptions is wanted first"));
        };
        let encoding = encoding(list.encoding)?;
        let mode = Mode::try_from(list.mode).map_err(|_| Status::invalid_argument("no such mode"))?;
        let plans = self.plan(&list)?;
        let (responses, receiver) = mpsc::channel(MAX_WAITING_MESSAGES);
        let subscriber = Subscriber {
            service: self.management.clone(),
            session,
            responses,
            encoding,
            target: list.prefix.map(|prefix| prefix.target).unwrap_or_default(),
            updates_only: list.updates_only,
            _permit: permit,
        };
        let patterns = || plans.iter().map(|plan| plan.pattern.clone()).collect();
        match mode {
            Mode::Stream => tokio::spawn(subscriber.serve_stream(plans, requests)),
            Mode::Once => tokio::spawn(subscriber.serve_reads(patterns(), ReadMode::Once, requests)),
            Mode::Poll => tokio::spawn(subscriber.serve_reads(patterns(), ReadMode::Poll, requests)),
        };
        Ok(Response::new(Box::pin(ReceiverStream::new(receiver))))
    }
}
