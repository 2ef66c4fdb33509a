//! The final answers that a member retains for clients that send a request again.

use crate::identity::RequestId;
use crate::record::Answer;
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

/// The maximum number of answers that a member retains.
const MAX_ANSWERS: usize = 4096;

#[derive(Clone, Debug)]
struct RetainedAnswer {
    answer: Answer,
    expires: Duration,
}

/// The final answers of this member's requests, by request.
#[derive(Clone, Debug, Default)]
pub(super) struct AnswerCache {
    answers: BTreeMap<RequestId, RetainedAnswer>,
    expiry: BTreeSet<(Duration, RequestId)>,
}

impl AnswerCache {
    /// The final answer of a request, or `None` if none is retained.
    pub fn get(&self, request: RequestId) -> Option<&Answer> {
        self.answers.get(&request).map(|retained| &retained.answer)
    }

    /// Retains an answer until `expires`. If there are too many, the one that expires first is removed.
    pub fn insert(&mut self, request: RequestId, answer: Answer, expires: Duration) {
        while self.answers.len() >= MAX_ANSWERS {
            let Some((earliest_expiry, first_to_expire)) = self.expiry.pop_first() else { break };
            debug_assert!(earliest_expiry <= expires);
            self.answers.remove(&first_to_expire);
        }
        if let Some(replaced) = self.answers.insert(request, RetainedAnswer { answer, expires }) {
            self.expiry.remove(&(replaced.expires, request));
        }
        self.expiry.insert((expires, request));
    }

    /// Removes the answers that have expired.
    pub fn expire(&mut self, now: Duration) {
        while let Some((at, request)) = self.expiry.first().copied().filter(|(at, _)| *at <= now) {
            self.expiry.remove(&(at, request));
            self.answers.remove(&request);
        }
    }

    /// When the next answer expires.
    pub fn next_expiry(&self) -> Option<Duration> {
        self.expiry.first().map(|(at, _)| *at)
    }
}
