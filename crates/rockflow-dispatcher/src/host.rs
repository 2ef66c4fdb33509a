//! The actor of a host: chooses the line on which each order goes, and opens another where none will do.

use crate::connection_pool::{AttemptQueue, ConnectionPool, UpstreamConnection};
use crate::mailbox::{Mailbox, Wake};
use crate::messages::{DecisionMessage, EndedAttempts, HostMessage, OutgoingAttempt, UpstreamMessage};
use crate::timer;
use crate::upstream;
use may::coroutine;
use rockflow::{Outcome, RequestId};
use std::cmp::Reverse;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use tracing::debug;

/// How long after a connection broke its host's others are looked at, and how often while none is up.
const OTHERS_FOLLOW: Duration = Duration::from_millis(4);
const LOOKS: usize = 25;
/// Guards against a `never_mind` that arrives behind the next attempt of its request, which goes on another connection
/// under the same id: the host would drop that one. So long the next is kept back.
const CROSSING: Duration = Duration::from_millis(5);
/// Part of the cap on connections up to which an attempt gets one to itself.
const OWN_PART: f64 = 0.75;

pub struct Host {
    pub name: String,
    pub address: SocketAddr,
    pub pool: Arc<ConnectionPool>,
    pub mail: Arc<Mailbox<HostMessage>>,
}

impl Host {
    pub fn run(self) {
        self.mail.wake_by(Wake::Park(coroutine::current()));
        let (mut lines, mut retired): (Vec<Arc<UpstreamConnection>>, bool) = (Vec::new(), false);
        let queue = Arc::new(AttemptQueue::default());
        let (mut given_up, mut kept_back) = (BTreeMap::<RequestId, Duration>::new(), BTreeMap::new());
        while !retired || !lines.is_empty() {
            let Some(order) = self.mail.take() else {
                coroutine::park();
                continue;
            };
            lines.retain(|line| !line.is_over());
            match order {
                HostMessage::Send(wanted) => {
                    let wait = given_up
                        .get(&wanted.key.0)
                        .map_or(Duration::ZERO, |at| (*at + CROSSING).saturating_sub(self.pool.clock.now()));
                    if wait > Duration::ZERO {
                        let (mail, key) = (self.mail.clone(), wanted.key);
                        kept_back.insert(key, wanted);
                        may::go!(move || {
                            timer::sleep(wait);
                            mail.send(HostMessage::Release(key));
                        });
                        continue;
                    }
                    self.want(wanted, &mut lines, &queue);
                }
                HostMessage::Release(key) => {
                    if let Some(wanted) = kept_back.remove(&key) {
                        self.want(wanted, &mut lines, &queue);
                    }
                }
                HostMessage::CheckHealth { tag, load } => {
                    match self.line_for("", &lines).or_else(|| self.open(&mut lines, &queue)) {
                        Some(on) => on.send(UpstreamMessage::CheckHealth { tag, load }),
                        None => self.pool.module.send(DecisionMessage::HealthCheckFailed {
                            tag,
                            outcome: Outcome::ConnectFailed,
                        }),
                    }
                }
                HostMessage::Cancel { key, unheard } => {
                    let now = self.pool.clock.now();
                    given_up.retain(|_, at| now < *at + CROSSING);
                    given_up.insert(key.0, now);
                    kept_back.remove(&key);
                    queue.remove(key);
                    lines.iter().for_each(|line| line.send(UpstreamMessage::Cancel { key, unheard }));
                }
                HostMessage::CloseIdle => lines.iter().for_each(|line| line.send(UpstreamMessage::CloseIdle)),
                HostMessage::Retire => {
                    retired = true;
                    // None of these goes out any more.
                    let left = std::iter::from_fn(|| queue.pop())
                        .chain(std::mem::take(&mut kept_back).into_values());
                    left.for_each(|wanted| self.fell(&wanted, Outcome::NotSent));
                    lines.iter().for_each(|line| line.send(UpstreamMessage::Retire));
                }
                HostMessage::ConnectionEnded { mut fallen, again, failed } => {
                    again.into_iter().for_each(|wanted| self.want(wanted, &mut lines, &queue));
                    if let Some(unsent) = fallen.last_mut().filter(|_| failed) {
                        // The one that has waited longest for a connection did so for this one.
                        let connecting = lines.iter().filter(|line| line.is_connecting()).count();
                        let over = queue.len().saturating_sub(connecting).min(1);
                        unsent
                            .attempts
                            .extend((0..over).filter_map(|_| queue.pop()).map(|wanted| wanted.key));
                    }
                    fallen.into_iter().for_each(|fallen| self.fall(fallen, &mut lines, &queue));
                    self.serve_queue(&mut lines, &queue);
                }
            }
        }
    }

    fn fell(&self, wanted: &OutgoingAttempt, outcome: Outcome) {
        self.pool.module.send(DecisionMessage::AttemptFailed { key: wanted.key, outcome });
    }

    fn want(
        &self,
        wanted: OutgoingAttempt,
        lines: &mut Vec<Arc<UpstreamConnection>>,
        queue: &Arc<AttemptQueue>,
    ) {
        // No connection is opened for what may not go out on it any more.
        if !wanted.pass.holds(self.pool.clock.now()) {
            return self.fell(&wanted, Outcome::NotSent);
        }
        match self.line_for(&wanted.id, lines) {
            Some(on) => on.want(wanted, &self.pool),
            None => {
                queue.push(wanted);
                self.serve_queue(lines, queue);
            }
        }
    }

    /// Opens as many connections as wants wait; with none to be had, none waits in vain.
    fn serve_queue(&self, lines: &mut Vec<Arc<UpstreamConnection>>, queue: &Arc<AttemptQueue>) {
        let connecting =
            |lines: &[Arc<UpstreamConnection>]| lines.iter().filter(|line| line.is_connecting()).count();
        while connecting(lines) < queue.len() && self.open(lines, queue).is_some() {}
        if lines.iter().all(|line| line.is_over()) {
            std::iter::from_fn(|| queue.pop()).for_each(|wanted| self.fell(&wanted, Outcome::ConnectFailed));
        }
    }

    /// Tells of attempts that ended with their line. Guards against taking a reset of one connection for the death
    /// of the process, which resets all and takes no new one for a while: a connection that is up by then, old
    /// or new, shows that the host lives.
    fn fall(
        &self,
        fallen: EndedAttempts,
        lines: &mut Vec<Arc<UpstreamConnection>>,
        queue: &Arc<AttemptQueue>,
    ) {
        let EndedAttempts { attempts, unless_heard, if_gone, if_it_lives } = fallen;
        if attempts.is_empty() {
            return;
        }
        let module = self.pool.module.clone();
        let tell = move |outcome| {
            attempts.into_iter().for_each(|key| module.send(DecisionMessage::AttemptFailed { key, outcome }))
        };
        if let Some(then) = unless_heard {
            let lives = lines.iter().any(|line| line.heard_since(then));
            return tell(if lives { if_it_lives } else { if_gone });
        }
        if if_it_lives == if_gone {
            return tell(if_gone);
        }
        if !lines.iter().any(|line| line.is_up()) {
            self.open(lines, queue);
        }
        let others = lines.to_vec();
        may::go!(move || {
            let mut lives = false;
            for _ in 0..LOOKS {
                timer::sleep(OTHERS_FOLLOW);
                lives = others.iter().any(|line| line.is_up());
                if lives || others.iter().all(|line| line.is_over()) {
                    break;
                }
            }
            tell(if lives { if_it_lives } else { if_gone });
        });
    }

    /// The line for an attempt, if one is free. What a peer spoils or leaves unanswered takes its whole connection with it, so an attempt
    /// gets one to itself as long as there are plenty; the one used last, so that what is too many ages.
    fn line_for(&self, id: &str, lines: &[Arc<UpstreamConnection>]) -> Option<Arc<UpstreamConnection>> {
        let fits = lines.iter().filter(|line| line.takes(id, &self.pool));
        let best = fits.min_by_key(|line| (line.out(), Reverse(line.used()))).cloned();
        let many = self.pool.lines().len() as f64 >= OWN_PART * self.pool.max_lines as f64;
        best.filter(|line| line.out() == 0 || many)
    }

    /// Another line; none past the cap. Those that will take nothing more close when their attempts are over.
    fn open(
        &self,
        lines: &mut Vec<Arc<UpstreamConnection>>,
        queue: &Arc<AttemptQueue>,
    ) -> Option<Arc<UpstreamConnection>> {
        if self.pool.lines().len() >= self.pool.max_lines {
            debug!(host = self.name, cap = self.pool.max_lines, "no connection left for hosts");
            return None;
        }
        lines
            .iter()
            .filter(|line| line.is_spent(&self.pool))
            .for_each(|line| line.send(UpstreamMessage::Retire));
        let (pool, mail) = (self.pool.clone(), self.mail.clone());
        let line = upstream::start(self.name.clone(), self.address, pool, mail, queue.clone());
        lines.push(line.clone());
        Some(line)
    }
}
