//! A subscription to values, from which a server takes the updates to send.

use crate::service::ManagementService;
use rockflow_management::{Operation, Update};
use rockflow_yang::{data, DataTree, Path, Pattern};
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::Notify;

/// A subscription to values. Dropping this handle ends the subscription.
pub struct ValueSubscription {
    service: Arc<ManagementService>,
    /// The subscription's number, unique over all sessions.
    pub number: u64,
    wake: Arc<Notify>,
    patterns: Vec<Pattern>,
}

impl Drop for ValueSubscription {
    fn drop(&mut self) {
        self.service.lock().subscriptions.active.remove(&self.number);
    }
}

impl ValueSubscription {
    pub(crate) fn new(
        service: Arc<ManagementService>,
        number: u64,
        wake: Arc<Notify>,
        patterns: Vec<Pattern>,
    ) -> ValueSubscription {
        ValueSubscription { service, number, wake, patterns }
    }

    /// Waits for the next update. Values that the user may not read are left out.
    pub async fn next(&self) -> Update {
        loop {
            let woken = self.wake.notified();
            let now = self.service.now();
            match self.next_due() {
                Some(due) if due <= now => {
                    let present = self.service.operational().await;
                    if let Some(update) = self.take_update(now, &present) {
                        return update;
                    }
                    // There is nothing to send; waits for the next due time.
                }
                Some(due) => {
                    let _ = tokio::time::timeout(due - now, woken).await;
                }
                None => woken.await,
            }
        }
    }

    fn next_due(&self) -> Option<Duration> {
        let shared = self.service.lock();
        shared.subscriptions.active.get(&self.number).and_then(|active| active.subscription.next_due())
    }

    fn take_update(&self, now: Duration, present: &DataTree) -> Option<Update> {
        let mut shared = self.service.lock();
        let active = shared.subscriptions.active.get_mut(&self.number)?;
        let user = active.user.clone();
        let update = active.subscription.take_update(now, || self.select(present))?;
        let access = shared.datastores.access();
        let may_read = |path: &Path| {
            let leaf_list = leaf_list_of(path);
            access.is_permitted(&user, Operation::Read, leaf_list.as_ref().unwrap_or(path))
        };
        Some(match update {
            Update::Snapshot(values) => {
                Update::Snapshot(values.into_iter().filter(|(path, _)| may_read(path)).collect())
            }
            Update::Changes(changes) => {
                Update::Changes(changes.into_iter().filter(|(path, _)| may_read(path)).collect())
            }
        })
    }

    /// Returns the part of the state that matches the subscription's patterns.
    fn select(&self, present: &DataTree) -> DataTree {
        let mut selected = DataTree::new();
        for pattern in &self.patterns {
            data::merge(&mut selected, &data::select_matching(present, pattern));
        }
        selected
    }
}

/// Returns the path of the leaf-list if `path` is a value of one, because access rules name the leaf-list as
/// a whole. `None` if the last step of the path has no keys.
fn leaf_list_of(path: &Path) -> Option<Path> {
    let last = path.0.last().filter(|step| !step.keys.is_empty())?;
    Some(Path(path.0[..path.0.len() - 1].to_vec()).child(last.node, Vec::new()))
}
