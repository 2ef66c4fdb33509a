//! One subscriber: what is followed, as messages of the stream.

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

/// Messages that wait for a subscriber; the subscriptions behind them hold back, and merge.
pub(crate) const MAX_WAITING_MESSAGES: usize = 16;
/// Values in one message.
const MAX_UPDATES: usize = 2_000;

/// What a subscriber is sent.
pub(crate) type ResponseSender = mpsc::Sender<Result<wire::SubscribeResponse, Status>>;

/// One path of a subscription list.
pub(crate) struct PlannedSubscription {
    pub(crate) pattern: Pattern,
    pub(crate) trigger: Trigger,
}

/// Whether values are sent once, or again at each poll.
#[derive(Clone, Copy, PartialEq, Eq)]
pub(crate) enum ReadMode {
    Once,
    Poll,
}

/// The subscriber can't be reached any more, or was sent the error that ends its stream.
struct Ended;

/// One subscriber, from its list on. Owned by the task that serves it.
pub(crate) struct Subscriber {
    pub(crate) service: Arc<ManagementService>,
    pub(crate) session: SessionHandle,
    pub(crate) responses: ResponseSender,
    pub(crate) encoding: Encoding,
    /// The target that the messages' prefix names; empty: none.
    pub(crate) target: String,
    /// Whether the first values are left out.
    pub(crate) updates_only: bool,
    /// One of those that the service grants.
    pub(crate) _permit: OwnedSemaphorePermit,
}

impl Subscriber {
    /// Serves a list of mode ONCE or POLL.
    pub(crate) async fn serve_reads(
        self,
        patterns: Vec<Pattern>,
        mode: ReadMode,
        requests: Streaming<wire::SubscribeRequest>,
    ) {
        // An end has no one left to be reported to.
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
            // A poll keeps the session from being ended as idle.
            self.session.update(|_, _| ());
            if !matches!(request.request, Some(SubscribeMessage::Poll(_))) {
                return self.end(Status::invalid_argument("a poll is wanted")).await;
            }
            self.send_current_values(patterns).await?;
            self.send_sync().await?;
        }
        Ok(())
    }

    /// Serves a list of mode STREAM: each subscription by its own trigger, the first values of all ahead of the sync.
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

    async fn forward_updates(
        &self,
        mut updates: mpsc::Receiver<Update>,
        mut requests: Streaming<wire::SubscribeRequest>,
    ) -> Result<(), Ended> {
        loop {
            tokio::select! {
                Some(update) = updates.recv() => self.send_update(update).await?,
                request = requests.next() => match request {
                    // A half-closed stream goes on being served.
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

    /// Sends all values that the patterns match now.
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

    /// Sends values in messages of bounded size, the deletions with the first.
    async fn send_values(&self, updates: Vec<wire::Update>, deleted: Vec<wire::Path>) -> Result<(), Ended> {
        let timestamp = nanos(self.service.now());
        let mut parts: Vec<_> = updates.chunks(MAX_UPDATES).map(<[_]>::to_vec).collect();
        if parts.is_empty() {
            parts.push(Vec::new());
        }
        let mut deleted = Some(deleted);
        for update in parts {
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

    /// Ends the stream with an error.
    async fn end(&self, status: Status) -> Result<(), Ended> {
        self.responses.send(Err(status)).await.map_err(|_| Ended)
    }
}

/// The time from which a subscriber's first message counts as late.
pub(crate) const FIRST_MESSAGE_TIMEOUT: Duration = Duration::from_secs(10);
