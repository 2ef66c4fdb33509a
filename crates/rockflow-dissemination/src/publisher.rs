//! Which purges of the notice board a control node publishes, so that another one takes over where it has failed.

use crate::entry::Purge;
use crate::output::Publication;
use std::collections::BTreeMap;
use std::time::Duration;

/// Purges received from the board and not seen published. When full, a purge of everything replaces all of them.
pub const MAX_PENDING_PURGES: usize = 16_384;
/// Notices of one purge that wait; the latest of them cover those before.
pub const MAX_NOTICES_PER_PURGE: usize = 8;
/// Purges seen published within the window. When full, all are forgotten: some may be published twice, which is
/// harmless.
pub const MAX_PUBLISHED_PURGES: usize = 16_384;
/// The clocks of control nodes, from which the age of a purge is computed, may differ by this part of the window.
const CLOCK_SKEW_DIVISOR: i128 = 4;
/// A purge that no active control node has published within this part of the window is overdue.
const OVERDUE_DIVISOR: i128 = 2;
/// A purge of the backlog may be younger by this much than its age says, where a clock is wrong.
pub const BACKLOG_AGE_UNCERTAINTY: Duration = Duration::from_secs(7);

/// Whether a control node publishes purges.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PublisherRole {
    /// It publishes.
    Active,
    /// Another one does; this one publishes what is overdue.
    Standby,
}

/// Microseconds since the origin of the node's time; negative before it.
type Micros = i128;

/// Whether a notice was part of what the board repeats to a control node that starts.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum NoticeOrigin {
    New,
    /// The purge may have been published long before.
    Backlog,
}

/// One notice of the board.
#[derive(Clone, Copy, Debug)]
struct Notice {
    /// When the purge was made.
    created: Micros,
    received: Micros,
    origin: NoticeOrigin,
    /// A purge that was seen published may be this one.
    is_matched: bool,
}

impl Notice {
    fn is_backlog(&self) -> bool {
        self.origin == NoticeOrigin::Backlog
    }

    /// Whether the purge was surely made by then.
    fn is_covered(&self, by: Micros) -> bool {
        let uncertainty = if self.is_backlog() { as_micros(BACKLOG_AGE_UNCERTAINTY) } else { 0 };
        self.created + uncertainty <= by
    }

    /// Whether the purge was older than the window when its notice was received.
    fn was_expired(&self, window: Micros) -> bool {
        self.received - self.created > window
    }
}

#[derive(Clone, Copy, Debug)]
struct PublishedPurge {
    /// The latest time at which a published purge was made.
    created: Micros,
    /// Publications that match no notice received so far.
    unmatched: u32,
}

/// Owns the board's notices within the purge window.
///
/// The active control node publishes them at once. The others keep them until they see them published, and publish them
/// when they become active before that, or when half the window has passed: the active node may have restarted, and not
/// have received them.
///
/// A publication covers every notice that is not later. For a standby node it also matches one notice that is later by
/// less than clocks may differ: one for one, so that a second purge of the same objects is not taken for the first. The
/// active node does not rely on such matches.
///
/// A control node that starts receives the backlog. It keeps it for the settling time, also if it is active, while the
/// streams bring what was published, and relies on matches there. Notices of the backlog that are past the window are
/// kept only to be matched, so that their publications do not match later notices.
#[derive(Clone, Debug)]
pub struct Publisher {
    window: Micros,
    settling: Micros,
    pending: BTreeMap<Purge, Vec<Notice>>,
    published: BTreeMap<Purge, PublishedPurge>,
}

impl Publisher {
    /// Without a settling time.
    pub fn new(window: Duration) -> Publisher {
        Publisher {
            window: as_micros(window),
            settling: 0,
            pending: BTreeMap::new(),
            published: BTreeMap::new(),
        }
    }

    /// With a settling time, for which a backlog waits for what the streams bring.
    pub fn settling(self, settling: Duration) -> Publisher {
        Publisher { settling: as_micros(settling), ..self }
    }

    /// The board announces a purge that was made `age` ago.
    pub fn on_purge_notice(&mut self, now: Duration, purge: Purge, age: Duration) {
        self.insert(now, purge, age, NoticeOrigin::New);
    }

    /// The board repeats a purge that was made `age` ago by the board's clock.
    pub fn on_backlog_notice(&mut self, now: Duration, purge: Purge, age: Duration) {
        self.insert(now, purge, age, NoticeOrigin::Backlog);
    }

    /// Another control node has published a purge that was made `age` ago.
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

    /// What is to be published now; at a standby node only what the active one has had the time for.
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

    /// Notices that wait and purges seen published.
    pub fn entry_count(&self) -> usize {
        self.pending.values().map(Vec::len).sum::<usize>() + self.published.len()
    }

    fn insert(&mut self, now: Duration, purge: Purge, age: Duration, origin: NoticeOrigin) {
        let received = as_micros(now);
        let mut notice = Notice { created: received - as_micros(age), received, origin, is_matched: false };
        let is_expired = notice.was_expired(self.window);
        let is_ignored = is_expired && !notice.is_backlog();
        if is_ignored || notice.created < self.oldest_match(now) || self.is_published(purge, &notice) {
            return;
        }
        if self.pending.len() >= MAX_PENDING_PURGES && !self.pending.contains_key(&purge) {
            if !is_expired {
                let all =
                    Notice { created: received, received, origin: NoticeOrigin::New, is_matched: false };
                self.pending = BTreeMap::from([(Purge::Everything, vec![all])]);
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

    /// No publication matches a notice of an older purge.
    fn oldest_match(&self, now: Duration) -> Micros {
        let skew = self.window / CLOCK_SKEW_DIVISOR;
        as_micros(now) - self.window - skew - as_micros(BACKLOG_AGE_UNCERTAINTY)
    }

    fn is_published(&self, purge: Purge, notice: &Notice) -> bool {
        let is_covered =
            |by: &Purge| self.published.get(by).is_some_and(|published| notice.is_covered(published.created));
        is_covered(&purge) || is_covered(&Purge::Everything)
    }

    /// Matches a new notice with a publication that has matched none. Returns whether there is one.
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

    /// Removes the notices that a publication covers, or else matches one that it may be. Returns whether there was one.
    fn match_notice(&mut self, purge: Purge, created: Micros) -> bool {
        let Some(notices) = self.pending.get_mut(&purge) else { return false };
        let before = notices.len();
        notices.retain(|notice| !notice.is_covered(created));
        let has_covered = notices.len() < before;
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

    /// Drops notices that need not be published any more. One that nobody has published is kept however old it becomes.
    fn expire_notices(&mut self, now: Duration, role: PublisherRole) {
        let window = self.window;
        let oldest = as_micros(now) - window;
        let oldest_match = self.oldest_match(now);
        for notices in self.pending.values_mut() {
            notices.retain(|notice| {
                if notice.was_expired(window) {
                    return notice.created >= oldest_match;
                }
                let relies_on_match = role == PublisherRole::Standby || notice.is_backlog();
                let is_unpublished = !(notice.is_matched && relies_on_match);
                is_unpublished || notice.created >= oldest
            });
        }
        self.pending.retain(|_, notices| !notices.is_empty());
    }

    fn is_due(&self, now: Duration, notice: &Notice, role: PublisherRole) -> bool {
        if notice.was_expired(self.window) {
            return false;
        }
        let overdue = as_micros(now) - self.window / OVERDUE_DIVISOR;
        let settled = as_micros(now) - self.settling;
        let is_due_here = match (role, notice.origin) {
            (PublisherRole::Standby, _) => false,
            (PublisherRole::Active, NoticeOrigin::New) => true,
            (PublisherRole::Active, NoticeOrigin::Backlog) => {
                !notice.is_matched && notice.received <= settled
            }
        };
        is_due_here || (!notice.is_matched && notice.received <= overdue)
    }

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

fn as_micros(span: Duration) -> Micros {
    span.as_micros() as i128
}
