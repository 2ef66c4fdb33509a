//! Decides which of the purges announced by discovery's notice board a control node publishes. All control nodes
//! receive the notices, so that another one takes over if the active one has failed.

use crate::entry::Purge;
use crate::output::Publication;
use std::collections::BTreeMap;
use std::time::Duration;

/// Most purges that wait to be published or to be seen published. When full, a purge of everything replaces all of
/// them.
pub const MAX_PENDING_PURGES: usize = 16_384;
/// Most waiting notices of one purge. When full, the earliest is dropped, as the publication of a later one covers it.
pub const MAX_NOTICES_PER_PURGE: usize = 8;
/// Most purges that are remembered as published within the window. When full, all are forgotten: some may then be
/// published twice, which is harmless.
pub const MAX_PUBLISHED_PURGES: usize = 16_384;
/// The clocks of control nodes, from which the age of a purge is computed, may differ by up to the purge window divided
/// by this number.
const CLOCK_SKEW_DIVISOR: i128 = 4;
/// A purge is overdue if no control node has published it within the purge window divided by this number, counted from
/// the receipt of its notice.
const OVERDUE_DIVISOR: i128 = 2;
/// If a clock is wrong, a purge of the backlog may be younger than its stated age by up to this much.
pub const BACKLOG_AGE_UNCERTAINTY: Duration = Duration::from_secs(7);

/// Whether a control node publishes purges.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PublisherRole {
    /// It publishes each purge as soon as the board announces it.
    Active,
    /// Another control node is active; this one publishes only purges that are overdue.
    Standby,
}

/// Microseconds since the origin of the node's time; negative for earlier times.
type Micros = i128;

/// Whether a notice is new, or is one of those that the board repeats to a control node that starts.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum NoticeOrigin {
    New,
    /// Repeated: the purge may have been published long before.
    Backlog,
}

/// An announcement of one purge by the board.
#[derive(Clone, Copy, Debug)]
struct Notice {
    /// When the purge was made.
    created: Micros,
    /// When the notice was received.
    received: Micros,
    origin: NoticeOrigin,
    /// Whether a publication was matched with this notice, which may have been of this very purge.
    is_matched: bool,
}

impl Notice {
    fn is_backlog(&self) -> bool {
        self.origin == NoticeOrigin::Backlog
    }

    /// Whether the publication of a purge made at `published_created` covers this one, which must certainly have been
    /// made no later.
    fn is_covered(&self, published_created: Micros) -> bool {
        let uncertainty = if self.is_backlog() { as_micros(BACKLOG_AGE_UNCERTAINTY) } else { 0 };
        self.created + uncertainty <= published_created
    }

    /// Whether the purge was older than the window when its notice was received.
    fn was_expired(&self, window: Micros) -> bool {
        self.received - self.created > window
    }
}

/// The publications of one purge, which may have been made and published several times.
#[derive(Clone, Copy, Debug)]
struct PublishedPurge {
    /// When the latest of the published purges was made.
    created: Micros,
    /// Number of publications that have not matched any notice received so far.
    unmatched: u32,
}

/// Keeps the board's notices within the purge window, and decides which of them this control node publishes.
///
/// The active control node publishes a purge as soon as it is announced. A standby node keeps the notice until it sees
/// the purge published. It publishes the purge itself if it becomes active before that, or if half the window has
/// passed: the active node may have restarted, and not have received the notice.
///
/// A publication covers every notice of a purge that was made no later. At a standby node it also matches one notice of
/// a purge that seems to have been made later, by less than clocks may differ. Each publication matches only one
/// notice, so that a second purge of the same objects is not mistaken for the first. The active node does not rely on
/// matches.
///
/// A control node that starts receives the backlog: notices that the board repeats. It waits for the settling time
/// before it publishes any of them, even if it is active, while the streams bring what was published. It relies on
/// matches for the backlog. Backlog notices that are past the window are kept only to be matched, so that their
/// publications do not match later notices.
#[derive(Clone, Debug)]
pub struct Publisher {
    /// The purge window.
    window: Micros,
    /// How long a backlog notice waits before it is published.
    settling: Micros,
    /// Notices that wait to be published or to be seen published, ordered by `created`.
    pending: BTreeMap<Purge, Vec<Notice>>,
    /// Purges that this or another control node has published within the window.
    published: BTreeMap<Purge, PublishedPurge>,
}

impl Publisher {
    /// Creates a publisher without a settling time. `window` is the purge window.
    pub fn new(window: Duration) -> Publisher {
        Publisher {
            window: as_micros(window),
            settling: 0,
            pending: BTreeMap::new(),
            published: BTreeMap::new(),
        }
    }

    /// Sets the settling time, for which backlog notices wait until the streams have brought what was published.
    pub fn settling(self, settling: Duration) -> Publisher {
        Publisher { settling: as_micros(settling), ..self }
    }

    /// Handles a new notice of the board, for a purge that was made `age` ago.
    pub fn on_purge_notice(&mut self, now: Duration, purge: Purge, age: Duration) {
        self.insert(now, purge, age, NoticeOrigin::New);
    }

    /// Handles a notice that the board repeats, for a purge that was made `age` ago by the board's clock.
    pub fn on_backlog_notice(&mut self, now: Duration, purge: Purge, age: Duration) {
        self.insert(now, purge, age, NoticeOrigin::Backlog);
    }

    /// Records that another control node has published a purge that was made `age` ago.
    pub fn on_published(&mut self, now: Duration, purge: Purge, age: Duration) {
        let created = as_micros(now) - as_micros(age);
        if self.published.len() >= MAX_PUBLISHED_PURGES && !self.published.contains_key(&purge) {
            self.published.clear();
        }
        self.record_published(purge, created);
        if !self.match_notice(purge, created) {
            if let Some(published) = self.published.get_mut(&purge) {
                published.unmatched = published.unmatched.saturating_add(1);
            }
        }
        if purge == Purge::Everything {
            for notices in self.pending.values_mut() {
                notices.retain(|notice| !notice.is_covered(created));
            }
            self.pending.retain(|_, notices| !notices.is_empty());
        }
    }

    /// Returns the purges to publish now; at a standby node, only those that the active one should have published by
    /// now.
    pub fn tick(&mut self, now: Duration, role: PublisherRole) -> Vec<Publication> {
        let skew = self.window / CLOCK_SKEW_DIVISOR;
        let oldest = as_micros(now) - self.window;
        self.published.retain(|_, published| published.created >= oldest - skew);
        self.expire_notices(now, role);
        let mut due = Vec::new();
        for (purge, notices) in &self.pending {
            if notices.iter().any(|notice| self.is_due(now, notice, role)) {
                due.extend(notices.last().map(|latest| (*purge, latest.created)));
            }
        }
        for (purge, _) in &due {
            self.pending.remove(purge);
        }
        due.into_iter().map(|(purge, created)| self.publish(now, purge, created)).collect()
    }

    /// Number of waiting notices and of purges that are remembered as published.
    pub fn entry_count(&self) -> usize {
        self.pending.values().map(Vec::len).sum::<usize>() + self.published.len()
    }

    fn insert(&mut self, now: Duration, purge: Purge, age: Duration, origin: NoticeOrigin) {
        let received = as_micros(now);
        let mut notice = Notice { created: received - as_micros(age), received, origin, is_matched: false };
        let is_expired = notice.was_expired(self.window);
        let is_ignored = is_expired && !notice.is_backlog();
        if is_ignored || notice.created < self.oldest_matchable(now) || self.is_published(purge, &notice) {
            return;
        }
        if self.pending.len() >= MAX_PENDING_PURGES && !self.pending.contains_key(&purge) {
            if !is_expired {
                let full_purge =
                    Notice { created: received, received, origin: NoticeOrigin::New, is_matched: false };
                self.pending = BTreeMap::from([(Purge::Everything, vec![full_purge])]);
            }
            return;
        }
        notice.is_matched = self.match_published(purge, notice.created);
        let notices = self.pending.entry(purge).or_default();
        notices.push(notice);
        notices.sort_by_key(|notice| notice.created);
        if notices.len() > MAX_NOTICES_PER_PURGE {
            notices.remove(0);
        }
    }

    /// Notices of purges made before this time are not kept, as no publication can match them.
    fn oldest_matchable(&self, now: Duration) -> Micros {
        let skew = self.window / CLOCK_SKEW_DIVISOR;
        as_micros(now) - self.window - skew - as_micros(BACKLOG_AGE_UNCERTAINTY)
    }

    /// Whether a publication that was seen covers the notice.
    fn is_published(&self, purge: Purge, notice: &Notice) -> bool {
        let is_covered = |purge: &Purge| {
            self.published.get(purge).is_some_and(|published| notice.is_covered(published.created))
        };
        is_covered(&purge) || is_covered(&Purge::Everything)
    }

    /// Matches a new notice with a publication that has not matched another notice. Returns whether there is one.
    fn match_published(&mut self, purge: Purge, created: Micros) -> bool {
        let earliest = created - self.window / CLOCK_SKEW_DIVISOR;
        match self.published.get_mut(&purge) {
            Some(published) if published.unmatched > 0 && published.created >= earliest => {
                published.unmatched -= 1;
                true
            }
            _ => false,
        }
    }

    /// Removes the notices that a publication covers. If there are none, matches the publication with one notice of
    /// what may be the same purge. Returns whether the publication has covered or matched a notice.
    fn match_notice(&mut self, purge: Purge, created: Micros) -> bool {
        let Some(notices) = self.pending.get_mut(&purge) else { return false };
        let previous_count = notices.len();
        notices.retain(|notice| !notice.is_covered(created));
        let has_covered = notices.len() < previous_count;
        if notices.is_empty() {
            self.pending.remove(&purge);
            return has_covered;
        }
        if has_covered {
            return true;
        }
        let latest = created + self.window / CLOCK_SKEW_DIVISOR;
        let matching = notices.iter_mut().find(|notice| !notice.is_matched && notice.created <= latest);
        match matching {
            Some(notice) => {
                notice.is_matched = true;
                true
            }
            None => false,
        }
    }

    /// Drops notices that no longer have to be published. A notice that no control node has published is kept, however
    /// old its purge becomes.
    fn expire_notices(&mut self, now: Duration, role: PublisherRole) {
        let window = self.window;
        let oldest = as_micros(now) - window;
        let oldest_matchable = self.oldest_matchable(now);
        for notices in self.pending.values_mut() {
            notices.retain(|notice| {
                if notice.was_expired(window) {
                    return notice.created >= oldest_matchable;
                }
                let relies_on_match = role == PublisherRole::Standby || notice.is_backlog();
                let is_unpublished = !(notice.is_matched && relies_on_match);
                is_unpublished || notice.created >= oldest
            });
        }
        self.pending.retain(|_, notices| !notices.is_empty());
    }

    /// Whether a purge is to be published now.
    fn is_due(&self, now: Duration, notice: &Notice, role: PublisherRole) -> bool {
        if notice.was_expired(self.window) {
            return false;
        }
        let overdue_if_received_by = as_micros(now) - self.window / OVERDUE_DIVISOR;
        let settled_if_received_by = as_micros(now) - self.settling;
        let is_due_here = match (role, notice.origin) {
            (PublisherRole::Standby, _) => false,
            (PublisherRole::Active, NoticeOrigin::New) => true,
            (PublisherRole::Active, NoticeOrigin::Backlog) => {
                !notice.is_matched && notice.received <= settled_if_received_by
            }
        };
        is_due_here || (!notice.is_matched && notice.received <= overdue_if_received_by)
    }

    /// Remembers a purge as published, and returns it with its age.
    fn publish(&mut self, now: Duration, purge: Purge, created: Micros) -> Publication {
        self.record_published(purge, created);
        let age = Duration::from_micros(u64::try_from(as_micros(now) - created).unwrap_or(0));
        Publication::Purge { purge, age }
    }

    fn record_published(&mut self, purge: Purge, created: Micros) {
        let published = self.published.entry(purge).or_insert(PublishedPurge { created, unmatched: 0 });
        published.created = published.created.max(created);
    }
}

fn as_micros(duration: Duration) -> Micros {
    duration.as_micros() as i128
}
