//! Which of the board's purges a control node publishes, so that another goes on where one has failed.

use crate::entry::Purge;
use crate::output::Publication;
use std::collections::BTreeMap;
use std::time::Duration;

/// Purges heard from the board and not seen published, by their names. When full, a purge of everything stands for all
/// of them.
pub const MAX_PENDING_PURGES: usize = 16_384;
/// Words of the board for one purge that wait; the latest of them cover those before.
pub const MAX_NOTICES_PER_PURGE: usize = 8;
/// Purges seen published within the window, by their names. When full, all are forgotten: some may be published twice,
/// which is harmless.
pub const MAX_PUBLISHED_PURGES: usize = 16_384;
/// Control nodes' clocks may differ by this part of the window, by which a purge's age is told there.
const CLOCK_SKEW_DIVISOR: i128 = 4;
/// A purge in the backlog may be younger by so much than it is taken for, where a clock is wrong.
pub const BACKLOG_AGE_UNCERTAINTY: Duration = Duration::from_secs(7);

/// When it was made, in microseconds by this machine's clock; may be before its start.
type MicrosSinceStart = i128;

#[derive(Clone, Copy, Debug)]
struct PendingPurge {
    created: MicrosSinceStart,
    received: MicrosSinceStart,
    /// Of the backlog, which a control node that begins is told: it may have been published long since.
    is_backlog: bool,
    /// One that was seen published may be this one.
    matched: bool,
}

impl PendingPurge {
    /// Surely made by then.
    fn is_covered(&self, by: MicrosSinceStart) -> bool {
        let doubt = if self.is_backlog { micros(BACKLOG_AGE_UNCERTAINTY) } else { 0 };
        self.created + doubt <= by
    }
}

#[derive(Clone, Copy, Debug)]
struct PublishedPurge {
    created: MicrosSinceStart,
    /// Publications that stand for no word heard here so far.
    spare: u32,
}

/// Holds what the board said within the window. The node that publishes says it at once; the others keep it until they
/// see it published, and say it when it is theirs to publish before that, or when half the window has passed: who is to
/// publish may have begun anew since, and not have heard it.
///
/// A publication stands for every word of the board that is not later. To who is not to publish, it also stands for one
/// that is later by less than clocks may differ: one for one, so that a second purge of the same name doesn't pass for the
/// first. Who is to publish goes by no such guess.
///
/// A control node that begins is told again what was said before. Such a backlog it keeps for `settle` also where it is to
/// publish, while the streams bring what was published, and goes by the guess there. Words of the backlog that are past the
/// window are kept only to be matched, so that their publications don't pass for those of later ones.
#[derive(Clone, Debug)]
pub struct Publisher {
    window: i128,
    settle: i128,
    waiting: BTreeMap<Purge, Vec<PendingPurge>>,
    published: BTreeMap<Purge, PublishedPurge>,
}

fn micros(span: Duration) -> i128 {
    span.as_micros() as i128
}

impl Publisher {
    pub fn new(window: Duration) -> Publisher {
        Publisher { window: micros(window), settle: 0, waiting: BTreeMap::new(), published: BTreeMap::new() }
    }

    /// For so long a backlog waits for what the streams bring.
    pub fn settling(self, settle: Duration) -> Publisher {
        Publisher { settle: micros(settle), ..self }
    }

    /// The board says so.
    pub fn on_purge_notice(&mut self, now: Duration, purge: Purge, age: Duration) {
        self.record_notice(now, purge, age, false);
    }

    /// The board says so as part of what it said before. Past the window only if it is so by the board's clock alone.
    pub fn on_backlog_notice(&mut self, now: Duration, purge: Purge, age: Duration) {
        self.record_notice(now, purge, age, true);
    }

    fn record_notice(&mut self, now: Duration, purge: Purge, age: Duration, is_backlog: bool) {
        let (received, is_over) = (micros(now), micros(age) > self.window);
        let mut notice =
            PendingPurge { created: received - micros(age), received, is_backlog, matched: false };
        if (is_over && !is_backlog)
            || notice.created < self.oldest_match(now)
            || self.is_covered(purge, &notice)
        {
            return;
        }
        if self.waiting.len() >= MAX_PENDING_PURGES && !self.waiting.contains_key(&purge) {
            if !is_over {
                let all = PendingPurge { created: received, received, is_backlog: false, matched: false };
                self.waiting = BTreeMap::from([(Purge::Everything, vec![all])]);
            }
            return;
        }
        notice.matched = self.match_published(purge, notice.created);
        let notices = self.waiting.entry(purge).or_default();
        notices.push(notice);
        notices.sort_by_key(|notice| notice.created);
        if notices.len() > MAX_NOTICES_PER_PURGE {
            notices.remove(0);
        }
    }

    /// What is older than that no publication is taken for.
    fn oldest_match(&self, now: Duration) -> MicrosSinceStart {
        micros(now) - self.window - self.window / CLOCK_SKEW_DIVISOR - micros(BACKLOG_AGE_UNCERTAINTY)
    }

    fn is_covered(&self, purge: Purge, notice: &PendingPurge) -> bool {
        let covers =
            |other: &Purge| self.published.get(other).is_some_and(|seen| notice.is_covered(seen.created));
        covers(&purge) || covers(&Purge::Everything)
    }

    fn match_published(&mut self, purge: Purge, created: MicrosSinceStart) -> bool {
        let latest = created - self.window / CLOCK_SKEW_DIVISOR;
        let seen = self.published.get_mut(&purge).filter(|seen| seen.spare > 0 && seen.created >= latest);
        match seen {
            Some(seen) => {
                seen.spare -= 1;
                true
            }
            None => false,
        }
    }

    /// Another control node has published it.
    pub fn on_published(&mut self, now: Duration, purge: Purge, age: Duration) {
        let created = micros(now) - micros(age);
        if self.published.len() >= MAX_PUBLISHED_PURGES && !self.published.contains_key(&purge) {
            self.published.clear();
        }
        let seen = self.published.entry(purge).or_insert(PublishedPurge { created, spare: 0 });
        seen.created = seen.created.max(created);
        if !self.absorb_notice(purge, created) {
            if let Some(seen) = self.published.get_mut(&purge) {
                seen.spare = seen.spare.saturating_add(1);
            }
        }
        if purge == Purge::Everything {
            self.waiting
                .values_mut()
                .for_each(|notices| notices.retain(|notice| !notice.is_covered(created)));
            self.waiting.retain(|_, notices| !notices.is_empty());
        }
    }

    /// Takes the words that a publication covers from those that wait, or else marks the one that it may be. False: there
    /// was none.
    fn absorb_notice(&mut self, purge: Purge, created: MicrosSinceStart) -> bool {
        let Some(notices) = self.waiting.get_mut(&purge) else { return false };
        let before = notices.len();
        notices.retain(|notice| !notice.is_covered(created));
        let covered = notices.len() < before;
        let latest = created + self.window / CLOCK_SKEW_DIVISOR;
        let same = notices
            .iter_mut()
            .find(|notice| !notice.matched && notice.created <= latest)
            .filter(|_| !covered);
        let matched = same.map(|notice| notice.matched = true).is_some();
        if notices.is_empty() {
            self.waiting.remove(&purge);
        }
        covered || matched
    }

    /// What is to be published now; where it is another's to publish, only what that one has had the time for.
    pub fn tick(&mut self, now: Duration, is_publishing: bool) -> Vec<Publication> {
        let oldest = micros(now) - self.window;
        let oldest_match = self.oldest_match(now);
        let overdue = micros(now) - self.window / 2;
        let settled = micros(now) - self.settle;
        self.published.retain(|_, seen| seen.created >= oldest - self.window / CLOCK_SKEW_DIVISOR);
        let mut all = Vec::new();
        self.waiting.retain(|purge, notices| {
            // What nobody has published is said however late. Of the rest, what is too old binds nobody any more.
            notices.retain(|notice| {
                let was_over = notice.received - notice.created > self.window;
                let may_publish =
                    |notice: &PendingPurge| !notice.matched || (is_publishing && !notice.is_backlog);
                if was_over {
                    notice.created >= oldest_match
                } else {
                    may_publish(notice) || notice.created >= oldest
                }
            });
            let Some(latest) = notices.last().copied() else { return false };
            let publish_now = notices
                .iter()
                .filter(|notice| notice.received - notice.created <= self.window)
                .any(|notice| {
                    let own = is_publishing
                        && if notice.is_backlog {
                            !notice.matched && notice.received <= settled
                        } else {
                            true
                        };
                    own || (!notice.matched && notice.received <= overdue)
                });
            if publish_now {
                all.push((*purge, latest.created));
            }
            !publish_now
        });
        all.into_iter().map(|(purge, created)| self.publish(now, purge, created)).collect()
    }

    fn publish(&mut self, now: Duration, purge: Purge, created: MicrosSinceStart) -> Publication {
        let seen = self.published.entry(purge).or_insert(PublishedPurge { created, spare: 0 });
        seen.created = seen.created.max(created);
        let age = Duration::from_micros(u64::try_from(micros(now) - created).unwrap_or(0));
        Publication::Purge { purge, age }
    }

    /// Words that wait and purges seen.
    pub fn entry_count(&self) -> usize {
        self.waiting.values().map(Vec::len).sum::<usize>() + self.published.len()
    }
}
