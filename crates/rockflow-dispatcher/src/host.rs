//! The actor of a host: chooses the line on which each order goes, and opens another where none will do.

use crate::clock::Clock;
use crate::line::{Line, LineWord};
use crate::mailbox::{Mailbox, Wake};
use crate::module::Word;
use may::coroutine;
use rockflow::interface::{LegNo, Outcome, QueryId};
use std::net::SocketAddr;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::Arc;
use std::time::Duration;
use tracing::warn;

/// A leg as the module knows it.
pub type LegKey = (QueryId, LegNo);

#[derive(Clone, Debug)]
pub enum Order {
    Want {
        key: LegKey,
        id: String,
        line: Vec<u8>,
    },
    /// `unheard`: its time was up, so that a line which has brought nothing since may be dead.
    NeverMind {
        key: LegKey,
        unheard: bool,
    },
    Probe {
        tag: u64,
        load: bool,
    },
    CloseIdle,
    /// The host is gone: what is out may end, nothing new comes.
    Retire,
    LineOver,
}

/// What all lines to hosts share.
pub struct Wires {
    pub clock: Clock,
    pub module: Arc<Mailbox<Word>>,
    pub connect_limit: Duration,
    /// A host closes a connection that was idle for this time.
    pub idle_limit: Duration,
    /// Legs that one connection carries at once.
    pub most_streams: usize,
    /// Bytes that may wait to be written on one connection.
    pub line_out: usize,
    /// Connections to all hosts, and their cap.
    pub lines: AtomicUsize,
    pub most_lines: usize,
}

pub struct Host {
    pub name: String,
    pub address: SocketAddr,
    pub wires: Arc<Wires>,
    pub mail: Arc<Mailbox<Order>>,
}

impl Host {
    pub fn run(self) {
        self.mail.wake_by(Wake::Park(coroutine::current()));
        let (mut lines, mut retired): (Vec<Arc<Line>>, bool) = (Vec::new(), false);
        while !retired || !lines.is_empty() {
            let Some(order) = self.mail.take() else {
                coroutine::park();
                continue;
            };
            lines.retain(|line| !line.is_over());
            match order {
                Order::Want { key, id, line } => {
                    let fits = |line: &&Arc<Line>| line.takes(&id, &self.wires);
                    let known = lines.iter().find(fits).cloned();
                    let Some(on) = known.or_else(|| self.open(&mut lines)) else {
                        self.wires.module.send(Word::Fell { key, outcome: Outcome::NotConnected });
                        continue;
                    };
                    on.send(LineWord::Want { key, id, line });
                }
                Order::Probe { tag, load } => {
                    let known = lines.iter().find(|line| line.takes("", &self.wires)).cloned();
                    match known.or_else(|| self.open(&mut lines)) {
                        Some(on) => on.send(LineWord::Probe { tag, load }),
                        None => {
                            self.wires.module.send(Word::ProbeFell { tag, outcome: Outcome::NotConnected })
                        }
                    }
                }
                Order::NeverMind { key, unheard } => {
                    lines.iter().for_each(|line| line.send(LineWord::NeverMind { key, unheard }));
                }
                Order::CloseIdle => lines.iter().for_each(|line| line.send(LineWord::CloseIdle)),
                Order::Retire => {
                    retired = true;
                    lines.iter().for_each(|line| line.send(LineWord::Retire));
                }
                Order::LineOver => {}
            }
        }
    }

    /// Another line; none past the cap. Those that will take nothing more close when their legs are over.
    fn open(&self, lines: &mut Vec<Arc<Line>>) -> Option<Arc<Line>> {
        if self.wires.lines.load(Ordering::Relaxed) >= self.wires.most_lines {
            warn!(host = self.name, cap = self.wires.most_lines, "no connection left for hosts");
            return None;
        }
        lines.iter().filter(|line| line.is_spent(&self.wires)).for_each(|line| line.send(LineWord::Retire));
        let line = Line::start(self.name.clone(), self.address, self.wires.clone(), self.mail.clone());
        lines.push(line.clone());
        Some(line)
    }
}
