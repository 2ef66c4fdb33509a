//! The four calls.

use crate::paths;
use crate::wire;
use rockflow_management::{Datastore, ErrorTag, ManagementError, Operator, Protocol, Trigger, Update};
use rockflow_management_service::{ManagementService, SessionHandle};
use rockflow_yang::{data, DataTree, Edit, EditOperation, Path, Pattern, Schema};
use std::net::SocketAddr;
use std::pin::Pin;
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::{mpsc, OwnedSemaphorePermit, Semaphore};
use tokio_stream::wrappers::ReceiverStream;
use tokio_stream::{Stream, StreamExt};
use tonic::{Request, Response, Status, Streaming};
use wire::get_request::DataType;
use wire::subscribe_request::Request as Asked;
use wire::subscribe_response::Response as Told;
use wire::subscription_list::Mode;
use wire::update_result::Operation;
use wire::{Encoding, SubscriptionMode};

/// Messages that wait for a subscriber; the subscriptions behind them hold back, and merge.
const MAX_WAITING: usize = 16;
/// Values in one message.
const MAX_UPDATES: usize = 2_000;
/// The time for a stream's first message.
const FIRST: Duration = Duration::from_secs(10);

/// Who is at the other end of a connection, as its certificate says.
#[derive(Clone, Debug)]
pub struct Peer {
    pub user: String,
    pub from: SocketAddr,
}

pub struct Service {
    pub desk: Arc<ManagementService>,
    pub subscribers: Arc<Semaphore>,
    pub least_interval: Duration,
}

fn status(schema: &Schema, fault: &ManagementError) -> Status {
    let path = fault.path.as_ref().map(|path| format!(" at {}", path.to_text(schema))).unwrap_or_default();
    let message = format!("{}{path}", fault.message);
    match (fault.tag, fault.app_tag) {
        (_, Some("conflict")) | (ErrorTag::InUse | ErrorTag::LockDenied, _) => Status::aborted(message),
        (ErrorTag::AccessDenied, _) => Status::permission_denied(message),
        (ErrorTag::DataMissing, _) => Status::not_found(message),
        (ErrorTag::DataExists, _) => Status::already_exists(message),
        (ErrorTag::ResourceDenied | ErrorTag::TooBig, _) => Status::resource_exhausted(message),
        (ErrorTag::OperationNotSupported, _) => Status::unimplemented(message),
        (ErrorTag::OperationFailed | ErrorTag::RollbackFailed, _) => Status::failed_precondition(message),
        _ => Status::invalid_argument(message),
    }
}

/// JSON alone is served.
fn encoding(number: i32) -> Result<Encoding, Status> {
    match Encoding::try_from(number) {
        Ok(encoding @ (Encoding::Json | Encoding::JsonIetf)) => Ok(encoding),
        _ => Err(Status::unimplemented("only JSON and JSON_IETF are served")),
    }
}

fn nanos(at: Duration) -> i64 {
    i64::try_from(at.as_nanos()).unwrap_or(i64::MAX)
}

impl Service {
    fn schema(&self) -> &Arc<Schema> {
        self.desk.schema()
    }

    fn refuse(&self, fault: ManagementError) -> Status {
        status(self.schema(), &fault)
    }

    fn enter<T>(&self, request: &Request<T>) -> Result<SessionHandle, Status> {
        let peer = request.extensions().get::<Peer>().cloned();
        let peer = peer.ok_or_else(|| Status::unauthenticated("who asks is not known"))?;
        let source = peer.from.ip().to_string();
        let who = Operator { user: peer.user, protocol: Protocol::Gnmi, source };
        self.desk.open_session(who).map_err(|fault| self.refuse(fault))
    }

    fn edits(&self, request: &wire::SetRequest, running: &DataTree) -> Result<Vec<Edit>, ManagementError> {
        let schema = self.schema();
        let prefix = request.prefix.as_ref();
        let mut edits = Vec::new();
        for path in &request.delete {
            let pattern = paths::pattern(schema, prefix, Some(path))?;
            if let Some(path) = paths::closed(&pattern) {
                edits.push(Edit { path, op: EditOperation::Remove, value: None });
                continue;
            }
            // Open keys: whatever stands there now.
            for (path, _) in paths::instances(schema, running, &pattern)? {
                edits.push(Edit { path, op: EditOperation::Remove, value: None });
            }
        }
        let replaced = request.replace.iter().map(|update| (EditOperation::Replace, update));
        let updated = request.update.iter().map(|update| (EditOperation::Merge, update));
        for (op, update) in replaced.chain(updated) {
            let pattern = paths::pattern(schema, prefix, update.path.as_ref())?;
            let path = paths::closed(&pattern)
                .ok_or_else(|| ManagementError::new(ErrorTag::InvalidValue, "a value is set at open keys"))?;
            let value = paths::value(schema, &path, update.val.as_ref())?;
            edits.push(Edit { path, op, value: Some(value) });
        }
        Ok(edits)
    }

    fn too_many(&self, count: usize) -> Result<(), Status> {
        if count > paths::MAX_PATHS {
            return Err(Status::resource_exhausted(format!("more than {} paths", paths::MAX_PATHS)));
        }
        Ok(())
    }

    /// Everything that is wrong with a list of subscriptions is known before any of it begins.
    fn planned(&self, list: &wire::SubscriptionList) -> Result<Vec<(Pattern, Trigger)>, Status> {
        self.too_many(list.subscription.len())?;
        if list.subscription.is_empty() {
            return Err(Status::invalid_argument("nothing is subscribed to"));
        }
        let span = |nanos: u64| (nanos > 0).then(|| Duration::from_nanos(nanos));
        let plan = |one: &wire::Subscription| {
            let pattern = paths::pattern(self.schema(), list.prefix.as_ref(), one.path.as_ref());
            let pattern = pattern.map_err(|fault| self.refuse(fault))?;
            let heartbeat = span(one.heartbeat_interval);
            let period = span(one.sample_interval).unwrap_or(self.least_interval);
            if period < self.least_interval || heartbeat.is_some_and(|beat| beat < self.least_interval) {
                let least = self.least_interval.as_millis();
                return Err(Status::invalid_argument(format!("the least interval is {least} ms")));
            }
            let trigger = match SubscriptionMode::try_from(one.mode) {
                Ok(SubscriptionMode::Sample) => {
                    Trigger::Periodic { period, suppress: one.suppress_redundant, heartbeat }
                }
                Ok(_) => Trigger::OnChange { dampening: Duration::ZERO, heartbeat },
                Err(_) => return Err(Status::invalid_argument("no such mode of a subscription")),
            };
            Ok((pattern, trigger))
        };
        list.subscription.iter().map(plan).collect()
    }
}

type Out = mpsc::Sender<Result<wire::SubscribeResponse, Status>>;

/// One subscriber, from its list on.
struct Follower {
    desk: Arc<ManagementService>,
    asker: SessionHandle,
    out: Out,
    encoding: Encoding,
    target: String,
    /// One of those that are let in.
    _permit: OwnedSemaphorePermit,
}

impl Follower {
    fn prefix(&self) -> Option<wire::Path> {
        let target = self.target.clone();
        (!target.is_empty()).then(|| wire::Path { target, ..wire::Path::default() })
    }

    fn update(&self, path: &Path, value: &rockflow_yang::Scalar, duplicates: u32) -> wire::Update {
        let schema = self.desk.schema();
        let json = path.node().map(|node| paths::leaf(schema, node, value)).unwrap_or_default();
        wire::Update {
            path: Some(paths::path(schema, path)),
            val: Some(paths::encoded(&json, self.encoding)),
            duplicates,
        }
    }

    /// False: the subscriber has gone.
    async fn send(&self, told: Told) -> bool {
        self.out.send(Ok(wire::SubscribeResponse { response: Some(told) })).await.is_ok()
    }

    async fn notify(&self, updates: Vec<wire::Update>, deleted: Vec<wire::Path>) -> bool {
        let timestamp = nanos(self.desk.now());
        let mut deleted = Some(deleted);
        let mut parts = updates.chunks(MAX_UPDATES).map(<[_]>::to_vec).collect::<Vec<_>>();
        if parts.is_empty() {
            parts.push(Vec::new());
        }
        for update in parts {
            let delete = deleted.take().unwrap_or_default();
            if update.is_empty() && delete.is_empty() {
                continue;
            }
            let prefix = self.prefix();
            let note = wire::Notification { timestamp, prefix, update, delete, atomic: false };
            if !self.send(Told::Update(note)).await {
                return false;
            }
        }
        true
    }

    async fn tell(&self, update: Update) -> bool {
        match update {
            Update::Snapshot(all) => {
                let updates = all.iter().map(|(path, value)| self.update(path, value, 0)).collect();
                self.notify(updates, Vec::new()).await
            }
            Update::Changes(changes) => {
                let (mut updates, mut deleted) = (Vec::new(), Vec::new());
                for (path, changed) in &changes {
                    match &changed.value {
                        Some(value) => updates.push(self.update(path, value, changed.coalesced)),
                        None => deleted.push(paths::path(self.desk.schema(), path)),
                    }
                }
                self.notify(updates, deleted).await
            }
        }
    }

    /// All that the patterns name now, then the sync.
    async fn picture(&self, patterns: &[Pattern], updates_only: bool) -> bool {
        if !updates_only {
            let fields = match self.asker.read(None).await {
                Ok(fields) => fields,
                Err(fault) => {
                    let _ = self.out.send(Err(status(self.desk.schema(), &fault))).await;
                    return false;
                }
            };
            let mut part = DataTree::new();
            patterns
                .iter()
                .for_each(|pattern| data::merge(&mut part, &data::select_matching(&fields, pattern)));
            let fits = |path: &Path| patterns.iter().any(|pattern| pattern.matches(path));
            let all = data::leaves(&part).into_iter().filter(|(path, _)| fits(path)).collect();
            if !self.tell(Update::Snapshot(all)).await {
                return false;
            }
        }
        self.send(Told::SyncResponse(true)).await
    }

    /// ONCE and POLL.
    async fn asked(
        self,
        patterns: Vec<Pattern>,
        updates_only: bool,
        poll: bool,
        mut requests: Streaming<wire::SubscribeRequest>,
    ) {
        if !self.picture(&patterns, updates_only).await || !poll {
            return;
        }
        while let Some(Ok(request)) = requests.next().await {
            self.asker.update(|_, _| ());
            if !matches!(request.request, Some(Asked::Poll(_))) {
                let _ = self.out.send(Err(Status::invalid_argument("a poll is wanted"))).await;
                return;
            }
            if !self.picture(&patterns, false).await {
                return;
            }
        }
    }

    /// STREAM: each subscription at its own pace, the first picture of all of them ahead of the sync.
    async fn stream(
        mut self,
        plans: Vec<(Pattern, Trigger)>,
        updates_only: bool,
        mut requests: Streaming<wire::SubscribeRequest>,
    ) {
        let mut followed = Vec::new();
        for (pattern, trigger) in plans {
            match self.asker.subscribe(vec![pattern], trigger, updates_only).await {
                Ok(following) => followed.push(following),
                Err(fault) => {
                    let _ = self.out.send(Err(status(self.desk.schema(), &fault))).await;
                    return;
                }
            }
        }
        if !updates_only {
            for following in &followed {
                let update = following.next().await;
                if !self.tell(update).await {
                    return;
                }
            }
        }
        if !self.send(Told::SyncResponse(true)).await {
            return;
        }
        let (sender, mut updates) = mpsc::channel(MAX_WAITING);
        let tasks: Vec<_> = followed
            .into_iter()
            .map(|following| {
                let sender = sender.clone();
                tokio::spawn(async move { while sender.send(following.next().await).await.is_ok() {} })
            })
            .collect();
        let (out, id) = (self.out.clone(), self.asker.id);
        loop {
            tokio::select! {
                Some(update) = updates.recv() => {
                    if !self.tell(update).await {
                        break;
                    }
                }
                request = requests.next() => match request {
                    // A half-closed stream goes on being told.
                    None => std::future::pending::<()>().await,
                    Some(Ok(_)) => {
                        let _ = out.send(Err(Status::invalid_argument("one list, and nothing after it"))).await;
                        break;
                    }
                    Some(Err(_)) => break,
                },
                () = out.closed() => break,
                () = self.desk.session_closed(id) => {
                    let _ = out.try_send(Err(Status::aborted("the session was ended")));
                    break;
                }
            }
        }
        tasks.iter().for_each(tokio::task::JoinHandle::abort);
    }
}

#[tonic::async_trait]
impl wire::g_nmi_server::GNmi for Service {
    async fn capabilities(
        &self,
        request: Request<wire::CapabilityRequest>,
    ) -> Result<Response<wire::CapabilityResponse>, Status> {
        self.enter(&request)?;
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
        let asker = self.enter(&request)?;
        let asked = request.into_inner();
        let (schema, encoding) = (self.schema(), encoding(asked.encoding)?);
        self.too_many(asked.path.len())?;
        let kind = DataType::try_from(asked.r#type).map_err(|_| Status::invalid_argument("no such type"))?;
        let which = (kind == DataType::Config).then_some(Datastore::Running);
        let mut fields = asker.read(which).await.map_err(|fault| self.refuse(fault))?;
        if matches!(kind, DataType::State | DataType::Operational) {
            let state = |path: &Path| path.node().is_some_and(|node| !schema.node(node).config);
            fields = data::retain_leaves(schema, &fields, &Path::default(), &state);
        }
        let whole = [wire::Path::default()];
        let wanted = if asked.path.is_empty() { &whole[..] } else { &asked.path[..] };
        let mut notification = Vec::new();
        for path in wanted {
            let pattern = paths::pattern(schema, asked.prefix.as_ref(), Some(path));
            let pattern = pattern.map_err(|fault| self.refuse(fault))?;
            let found = paths::instances(schema, &fields, &pattern).map_err(|fault| self.refuse(fault))?;
            if found.is_empty() && paths::is_closed(&pattern) {
                return Err(Status::not_found("nothing there"));
            }
            let update = found.iter().map(|(path, value)| wire::Update {
                path: Some(paths::path(schema, path)),
                val: Some(paths::encoded(value, encoding)),
                duplicates: 0,
            });
            let target = asked.prefix.as_ref().map(|prefix| prefix.target.clone()).unwrap_or_default();
            notification.push(wire::Notification {
                timestamp: nanos(self.desk.now()),
                prefix: (!target.is_empty()).then(|| wire::Path { target, ..wire::Path::default() }),
                update: update.collect(),
                ..wire::Notification::default()
            });
        }
        Ok(Response::new(wire::GetResponse { notification }))
    }

    async fn set(&self, request: Request<wire::SetRequest>) -> Result<Response<wire::SetResponse>, Status> {
        let asker = self.enter(&request)?;
        let asked = request.into_inner();
        if !asked.union_replace.is_empty() {
            return Err(Status::unimplemented("union_replace is not served"));
        }
        // Guards against a change whose condition, such as a confirmation, would be passed over.
        if !asked.extension.is_empty() {
            return Err(Status::unimplemented("no extension of Set is served"));
        }
        self.too_many(asked.delete.len() + asked.replace.len() + asked.update.len())?;
        let running = self.desk.inspect(|all| all.running().clone());
        let edits = self.edits(&asked, &running).map_err(|fault| self.refuse(fault))?;
        asker.set(&edits, None, "").await.map_err(|fault| self.refuse(fault))?;
        let result = |path: Option<wire::Path>, op: Operation| wire::UpdateResult { path, op: op as i32 };
        let deleted = asked.delete.into_iter().map(|path| result(Some(path), Operation::Delete));
        let replaced = asked.replace.into_iter().map(|update| result(update.path, Operation::Replace));
        let updated = asked.update.into_iter().map(|update| result(update.path, Operation::Update));
        Ok(Response::new(wire::SetResponse {
            prefix: asked.prefix,
            response: deleted.chain(replaced).chain(updated).collect(),
            timestamp: nanos(self.desk.now()),
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
        let asker = self.enter(&request)?;
        let mut requests = request.into_inner();
        let first = tokio::time::timeout(FIRST, requests.next()).await;
        let first = first.map_err(|_| Status::deadline_exceeded("no subscription in time"))?;
        let first = first.ok_or_else(|| Status::invalid_argument("ended without a subscription"))??;
        let Some(Asked::Subscribe(list)) = first.request else {
            return Err(Status::invalid_argument("a list of subscriptions is wanted first"));
        };
        let encoding = encoding(list.encoding)?;
        let mode = Mode::try_from(list.mode).map_err(|_| Status::invalid_argument("no such mode"))?;
        let plans = self.planned(&list)?;
        let (out, receiver) = mpsc::channel(MAX_WAITING);
        let target = list.prefix.as_ref().map(|prefix| prefix.target.clone()).unwrap_or_default();
        let follower = Follower { desk: self.desk.clone(), asker, out, encoding, target, _permit: permit };
        let patterns = || plans.iter().map(|(pattern, _)| pattern.clone()).collect::<Vec<_>>();
        match mode {
            Mode::Stream => tokio::spawn(follower.stream(plans, list.updates_only, requests)),
            mode => {
                let poll = mode == Mode::Poll;
                tokio::spawn(follower.asked(patterns(), list.updates_only, poll, requests))
            }
        };
        Ok(Response::new(Box::pin(ReceiverStream::new(receiver))))
    }
}
