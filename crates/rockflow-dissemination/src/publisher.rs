//! Which of the board's purges a control node publishes, so that another goes on where one has failed.

use crate::outs::Publication;
use crate::words::Purge;
use std::collections::BTreeMap;
use std::time::Duration;

/// Purges heard from the board and not seen published, by their names. When full, a purge of everything stands for all
/// of them.
pub const MAX_WAITING: usize = 16_384;
/// Words of the board for one purge that wait; the latest of them cover those before.
pub const MAX_WORDS: usize = 8;
/// Purges seen published within the window, by their names. When full, all are forgotten: some may be published twice,
/// which is harmless.
pub const MAX_SEEN: usize = 16_384;
/// Control nodes' clocks may differ by this part of the window, by which a purge's age is told there.
const CLOCKS: i128 = 4;
/// A purge in the backlog may be younger by so much than it is taken for, where a clock is wrong.
pub const TOLD_WITHIN: Duration = Duration::from_secs(7);

/// When it was made, in microseconds by this machine's clock; may be before its start.
type Moment = i128;

#[derive(Clone, Copy, Debug)]
struct Word {
    made: Moment,
    heard: Moment,
    /// Of the backlog, which a control node that begins is told: it may have been published long since.
    backlog: bool,
    /// One that was seen published may be this one.
    matched: bool,
}

impl Word {
    /// Surely made by then.
    fn is_covered(&self, by: Moment) -> bool {
        let doubt = if self.backlog { micros(TOLD_WITHIN) } else { 0 };
        self.made + doubt <= by
    }
}

#[derive(Clone, Copy, Debug)]
struct Seen {
    made: Moment,
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
    waiting: BTreeMap<Purge, Vec<Word>>,
    seen: BTreeMap<Purge, Seen>,
}

fn micros(span: Duration) -> i128 {
    span.as_micros() as i128
}

impl Publisher {
    pub fn new(window: Duration) -> Publisher {
        Publisher { window: micros(window), settle: 0, waiting: BTreeMap::new(), seen: BTreeMap::new() }
    }

    /// For so long a backlog waits for what the streams bring.
    pub fn settling(self, settle: Duration) -> Publisher {
        Publisher { settle: micros(settle), ..self }
    }

    /// The board says so.
    pub fn heard(&mut self, now: Duration, purge: Purge, age: Duration) {
        self.hear(now, purge, age, false);
    }

    /// The board says so as part of what it said before. Past the window only if it is so by the board's clock alone.
    pub fn heard_backlog(&mut self, now: Duration, purge: Purge, age: Duration) {
        self.hear(now, purge, age, true);
    }

    fn hear(&mut self, now: Duration, purge: Purge, age: Duration, backlog: bool) {
        let (heard, is_over) = (micros(now), micros(age) > self.window);
        let mut word = Word { made: heard - micros(age), heard, backlog, matched: false };
        if (is_over && !backlog) || word.made < self.oldest_match(now) || self.is_covered(purge, &word) {
            return;
        }
        if self.waiting.len() >= MAX_WAITING && !self.waiting.contains_key(&purge) {
            if !is_over {
                let all = Word { made: heard, heard, backlog: false, matched: false };
                self.waiting = BTreeMap::from([(Purge::Everything, vec![all])]);
            }
            return;
        }
        word.matched = self.match_seen(purge, word.made);
        let words = self.waiting.entry(purge).or_default();
        words.push(word);
        words.sort_by_key(|word| word.made);
        if words.len() > MAX_WORDS {
            words.remove(0);
        }
    }

    /// What is older than that no publication is taken for.
    fn oldest_match(&self, now: Duration) -> Moment {
        micros(now) - self.window - self.window / CLOCKS - micros(TOLD_WITHIN)
    }

    fn is_covered(&self, purge: Purge, word: &Word) -> bool {
        let covers = |other: &Purge| self.seen.get(other).is_some_and(|seen| word.is_covered(seen.made));
        covers(&purge) || covers(&Purge::Everything)
    }

    fn match_seen(&mut self, purge: Purge, made: Moment) -> bool {
        let latest = made - self.window / CLOCKS;
        let seen = self.seen.get_mut(&purge).filter(|seen| seen.spare > 0 && seen.made >= latest);
        match seen {
            Some(seen) => {
                seen.spare -= 1;
                true
            }
            None => false,
        }
    }

    /// Another control node has published it.
    pub fn seen(&mut self, now: Duration, purge: Purge, age: Duration) {
        let made = micros(now) - micros(age);
        if self.seen.len() >= MAX_SEEN && !self.seen.contains_key(&purge) {
            self.seen.clear();
        }
        let seen = self.seen.entry(purge).or_insert(Seen { made, spare: 0 });
        seen.made = seen.made.max(made);
        if !self.stands_for_one(purge, made) {
            if let Some(seen) = self.seen.get_mut(&purge) {
                seen.spare = seen.spare.saturating_add(1);
            }
        }
        if purge == Purge::Everything {
            self.waiting.values_mut().for_each(|words| words.retain(|word| !word.is_covered(made)));
            self.waiting.retain(|_, words| !words.is_empty());
        }
    }

    /// Takes the words that a publication covers from those that wait, or else marks the one that it may be. False: there
    /// was none.
    fn stands_for_one(&mut self, purge: Purge, made: Moment) -> bool {
        let Some(words) = self.waiting.get_mut(&purge) else { return false };
        let before = words.len();
        words.retain(|word| !word.is_covered(made));
        let covered = words.len() < before;
        let latest = made + self.window / CLOCKS;
        let same = words.iter_mut().find(|word| !word.matched && word.made <= latest).filter(|_| !covered);
        let matched = same.map(|word| word.matched = true).is_some();
        if words.is_empty() {
            self.waiting.remove(&purge);
        }
        covered || matched
    }

    /// What is to be published now; where it is another's to publish, only what that one has had the time for.
    pub fn tick(&mut self, now: Duration, publishing: bool) -> Vec<Publication> {
        let oldest = micros(now) - self.window;
        let oldest_match = self.oldest_match(now);
        let overdue = micros(now) - self.window / 2;
        let settled = micros(now) - self.settle;
        self.seen.retain(|_, seen| seen.made >= oldest - self.window / CLOCKS);
        let mut all = Vec::new();
        self.waiting.retain(|purge, words| {
            // What nobody has published is said however late. Of the rest, what is too old binds nobody any more.
            words.retain(|word| {
                let was_over = word.heard - word.made > self.window;
                let says = |word: &Word| !word.matched || (publishing && !word.backlog);
                if was_over {
                    word.made >= oldest_match
                } else {
                    says(word) || word.made >= oldest
                }
            });
            let Some(latest) = words.last().copied() else { return false };
            let say = words.iter().filter(|word| word.heard - word.made <= self.window).any(|word| {
                let own =
                    publishing && if word.backlog { !word.matched && word.heard <= settled } else { true };
                own || (!word.matched && word.heard <= overdue)
            });
            if say {
                all.push((*purge, latest.made));
            }
            !say
        });
        all.into_iter().map(|(purge, made)| self.say(now, purge, made)).collect()
    }

    fn say(&mut self, now: Duration, purge: Purge, made: Moment) -> Publication {
        let seen = self.seen.entry(purge).or_insert(Seen { made, spare: 0 });
        seen.made = seen.made.max(made);
        let age = Duration::from_micros(u64::try_from(micros(now) - made).unwrap_or(0));
        Publication::Purge { purge, age }
    }

    /// Words that wait and purges seen.
    pub fn held(&self) -> usize {
        self.waiting.values().map(Vec::len).sum::<usize>() + self.seen.len()
    }
}
