//! Serves one Subscribe call: sends the values of the subscribed paths as messages of the response stream.

use crate::paths;
use crate::status::{nanos, status};
use crate::wire;
use rockflow_management::{Trigger, Update};
use rockflow_management_service::{ManagementService, SessionHandle, ValueSubscription};
use rockflow_yang::{data, DataTree, Path, Pattern, Scalar};
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::{mpsc, OwnedSemaphorePermit};
use tokio_stream::StreamExt;
use tonic::{Status, Streaming};
use wire::subscribe_request::Request as SubscribeMessage;
use wire::subscribe_response::Response as SubscribeEvent;
use wire::Encoding;

/// Maximum number of messages queued for a subscriber. While the queue is full, its subscriptions merge further
/// changes.
pub(crate) const MAX_WAITING_MESSAGES: usize = 16;
/// Maximum number of values in one message.
const MAX_UPDATES: usize = 2_000;

/// Sends messages, or the status that ends the stream, to the subscriber.
pub(crate) type ResponseSender = mpsc::Sender<Result<wire::SubscribeResponse, Status>>;

/// One subscription of a subscription list, validated.
pub(crate) struct PlannedSubscription {
    pub(crate) pattern: Pattern,
    pub(crate) trigger: Trigger,
}

/// The modes of a subscription list whose values are read on request: a single time, or again at each poll.
#[derive(Clone, Copy, PartialEq, Eq)]
pub(crate) enum ReadMode {
    Once,
    Poll,
}

/// The stream has ended: the subscriber has disconnected, or was sent the status that ends the stream.
struct Ended;

/// The server's side of one Subscribe call, once its subscription list has been received. Owned by the task that serves
/// it.
pub(crate) struct Subscriber {
    pub(crate) service: Arc<ManagementService>,
    pub(crate) session: SessionHandle,
    pub(crate) responses: ResponseSender,
    pub(crate) encoding: Encoding,
    /// The target name that the prefix of each message repeats; empty if the request named none.
    pub(crate) target: String,
    /// Whether the initial values are omitted.
    pub(crate) updates_only: bool,
    /// Counts towards the maximum number of subscribers until it is dropped.
    pub(crate) _permit: OwnedSemaphorePermit,
}

impl Subscriber {
    /// Serves a subscription list of mode ONCE or POLL.
    pub(crate) async fn serve_reads(
        self,
        patterns: Vec<Pattern>,
        mode: ReadMode,
        requests: Streaming<wire::SubscribeRequest>,
    ) {
        // Once the stream has ended there is no one to report an error to.
        let _ = self.answer_reads(&patterns, mode, requests).await;
    }

    async fn answer_reads(
        &self,
        patterns: &[Pattern],
        mode: ReadMode,
        mut requests: Streaming<wire::SubscribeRequest>,
    ) -> Result<(), Ended> {
        if !self.updates_only {
            self.send_current_values(patterns).await?;
        }
        self.send_sync().await?;
        if mode == ReadMode::Once {
            return Ok(());
        }
        while let Some(Ok(request)) = requests.next().await {
            // Marks the session as active, so that it is not closed as idle.
            self.session.update(|_, _| ());
            if !matches!(request.request, Some(SubscribeMessage::Poll(_))) {
                return self.end(Status::invalid_argument("a poll is wanted")).await;
            }
            self.send_current_values(patterns).await?;
            self.send_sync().await?;
        }
        Ok(())
    }

    /// Serves a subscription list of mode STREAM. The initial values of all subscriptions precede the sync response;
    /// after it, each subscription sends updates by its own trigger.
    pub(crate) async fn serve_stream(
        mut self,
        plans: Vec<PlannedSubscription>,
        requests: Streaming<wire::SubscribeRequest>,
    ) {
        let Ok(subscriptions) = self.subscribe_all(plans).await else { return };
        let (sender, updates) = mpsc::channel(MAX_WAITING_MESSAGES);
        let mut tasks = Vec::new();
        for subscription in subscriptions {
            let sender = sender.clone();
            tasks.push(tokio::spawn(
                async move { while sender.send(subscription.next().await).await.is_ok() {} },
            ));
        }
        let _ = self.forward_updates(updates, requests).await;
        tasks.iter().for_each(tokio::task::JoinHandle::abort);
    }

    /// Opens all subscriptions, and sends their initial values and the sync response.
    async fn subscribe_all(
        &mut self,
        plans: Vec<PlannedSubscription>,
    ) -> Result<Vec<ValueSubscription>, Ended> {
        let mut subscriptions = Vec::new();
        for PlannedSubscription { pattern, trigger } in plans {
            match self.session.subscribe(vec![pattern], trigger, self.updates_only).await {
                Ok(subscription) => subscriptions.push(subscription),
                Err(error) => {
                    let status = status(self.service.schema(), &error);
                    self.end(status).await?;
                    return Err(Ended);
                }
            }
        }
        if !self.updates_only {
            for subscription in &subscriptions {
                let update = subscription.next().await;
                self.send_update(update).await?;
            }
        }
        self.send_sync().await?;
        Ok(subscriptions)
    }

    /// Sends updates until the subscriber disconnects, breaks the protocol or has its session closed.
    async fn forward_updates(
        &self,
        mut updates: mpsc::Receiver<Update>,
        mut requests: Streaming<wire::SubscribeRequest>,
    ) -> Result<(), Ended> {
        loop {
            tokio::select! {
                Some(update) = updates.recv() => self.send_update(update).await?,
                request = requests.next() => match request {
                    // A client may close its half of the stream and still receive updates.
                    None => std::future::pending::<()>().await,
                    Some(Ok(_)) => {
                        return self.end(Status::invalid_argument("one list, and nothing after it")).await;
                    }
                    Some(Err(_)) => return Err(Ended),
                },
                () = self.responses.closed() => return Err(Ended),
                () = self.service.session_closed(self.session.id) => {
                    let _ = self.responses.try_send(Err(Status::aborted("the session was ended")));
                    return Err(Ended);
                }
            }
        }
    }

    /// Sends the current values that the patterns match.
    async fn send_current_values(&self, patterns: &[Pattern]) -> Result<(), Ended> {
        let tree = match self.session.read(None).await {
            Ok(tree) => tree,
            Err(error) => {
                let status = status(self.service.schema(), &error);
                self.end(status).await?;
                return Err(Ended);
            }
        };
        let mut selected = DataTree::new();
        for pattern in patterns {
            data::merge(&mut selected, &data::select_matching(&tree, pattern));
        }
        let is_matched = |path: &Path| patterns.iter().any(|pattern| pattern.matches(path));
        let values = data::leaves(&selected).into_iter().filter(|(path, _)| is_matched(path)).collect();
        self.send_update(Update::Snapshot(values)).await
    }

    async fn send_update(&self, update: Update) -> Result<(), Ended> {
        match update {
            Update::Snapshot(values) => {
                let updates = values.iter().map(|(path, value)| self.encode(path, value, 0)).collect();
                self.send_values(updates, Vec::new()).await
            }
            Update::Changes(changes) => {
                let (mut updates, mut deleted) = (Vec::new(), Vec::new());
                for (path, changed) in &changes {
                    match &changed.value {
                        Some(value) => updates.push(self.encode(path, value, changed.coalesced)),
                        None => deleted.push(paths::encode_path(self.service.schema(), path)),
                    }
                }
                self.send_values(updates, deleted).await
            }
        }
    }

    /// Sends values in messages of at most [`MAX_UPDATES`] values. The first message contains all deletions.
    async fn send_values(&self, updates: Vec<wire::Update>, deleted: Vec<wire::Path>) -> Result<(), Ended> {
        let timestamp = nanos(self.service.now());
        let mut batches: Vec<_> = updates.chunks(MAX_UPDATES).map(<[_]>::to_vec).collect();
        if batches.is_empty() {
            batches.push(Vec::new());
        }
        let mut deleted = Some(deleted);
        for update in batches {
            let delete = deleted.take().unwrap_or_default();
            if update.is_empty() && delete.is_empty() {
                continue;
            }
            let prefix = paths::target_prefix(&self.target);
            let notification = wire::Notification { timestamp, prefix, update, delete, atomic: false };
            self.send(SubscribeEvent::Update(notification)).await?;
        }
        Ok(())
    }

    /// Encodes one value. `duplicates` is the number of changes that were merged into it.
    fn encode(&self, path: &Path, value: &Scalar, duplicates: u32) -> wire::Update {
        let schema = self.service.schema();
        let json = path.node().map(|node| paths::leaf_json(schema, node, value)).unwrap_or_default();
        wire::Update {
            path: Some(paths::encode_path(schema, path)),
            val: Some(paths::encode_json(&json, self.encoding)),
            duplicates,
        }
    }

    async fn send_sync(&self) -> Result<(), Ended> {
        self.send(SubscribeEvent::SyncResponse(true)).await
    }

    async fn send(&self, event: SubscribeEvent) -> Result<(), Ended> {
        let response = wire::SubscribeResponse { response: Some(event) };
        self.responses.send(Ok(response)).await.map_err(|_| Ended)
    }

    /// Ends the stream with an error status.
    async fn end(&self, status: Status) -> Result<(), Ended> {
        self.responses.send(Err(status)).await.map_err(|_| Ended)
    }
}

/// How long a subscriber may take to send its subscription list.
pub(crate) const FIRST_MESSAGE_TIMEOUT: Duration = Duration::from_secs(10);
