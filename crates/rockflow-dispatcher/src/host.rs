//! The actor of a host: its connection, the legs that are out on it, and what becomes of them.

use crate::clock::Clock;
use crate::mailbox::{Mailbox, Wake};
use crate::module::Word;
use may::coroutine;
use may::io::WaitIo;
use may::net::TcpStream;
use rockflow::interface::{LegNo, Outcome, QueryId};
use rockflow_protocol::{hostline, Buffer};
use std::collections::HashMap;
use std::io::{ErrorKind, Read, Write};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use tracing::{debug, info, warn};

/// A leg as the module knows it.
pub type LegKey = (QueryId, LegNo);

pub enum Order {
    Want { key: LegKey, id: String, line: Vec<u8> },
    NeverMind { key: LegKey, id: String },
    Retire,
}

pub struct Host {
    pub name: String,
    pub address: SocketAddr,
    pub connect_limit: Duration,
    /// A connection idle for longer is not used again: the host may close it at any moment.
    pub idle_limit: Duration,
    pub clock: Clock,
    pub module: Arc<Mailbox<Word>>,
    pub mail: Arc<Mailbox<Order>>,
}

enum Over {
    Idle,
    Retired,
    Broken,
}

impl Host {
    pub fn run(self) {
        let mut waiting = Vec::new();
        loop {
            self.mail.wake_by(Wake::Park(coroutine::current()));
            while let Some(order) = self.mail.take() {
                match order {
                    Order::Want { .. } => waiting.push(order),
                    Order::NeverMind { key, .. } => waiting.retain(|order| !order.is(key)),
                    Order::Retire if waiting.is_empty() => return,
                    Order::Retire => {}
                }
            }
            if waiting.is_empty() {
                coroutine::park();
                continue;
            }
            match TcpStream::connect_timeout(&self.address, self.connect_limit) {
                Ok(stream) => {
                    debug!(host = self.name, "connected");
                    let _ = stream.set_nodelay(true);
                    let mut line = Line {
                        host: &self,
                        stream,
                        out: Vec::new(),
                        open: HashMap::new(),
                        buffer: Buffer::new(hostline::MOST_ANSWER),
                        used: self.clock.now(),
                        retired: false,
                    };
                    let over = line.serve(std::mem::take(&mut waiting));
                    let legs = line.open.into_values();
                    legs.for_each(|(key, _)| self.module.send(Word::Fell { key, outcome: Outcome::Broken }));
                    if let Over::Retired = over {
                        return;
                    }
                }
                Err(what) => {
                    info!(host = self.name, %what, "not connected");
                    while let Some(order) = self.mail.take() {
                        waiting.push(order);
                    }
                    for order in waiting.drain(..) {
                        if let Order::Want { key, .. } = order {
                            self.module.send(Word::Fell { key, outcome: Outcome::NotConnected });
                        }
                    }
                }
            }
        }
    }
}

impl Order {
    fn is(&self, leg: LegKey) -> bool {
        matches!(self, Order::Want { key, .. } if *key == leg)
    }
}

struct Line<'a> {
    host: &'a Host,
    stream: TcpStream,
    out: Vec<u8>,
    /// Legs out by their id on the line.
    open: HashMap<String, (LegKey, ())>,
    buffer: Buffer,
    used: Duration,
    retired: bool,
}

impl Line<'_> {
    fn serve(&mut self, waiting: Vec<Order>) -> Over {
        self.host.mail.wake_by(Wake::Io(self.stream.waker()));
        waiting.into_iter().for_each(|order| self.carry(order));
        loop {
            let mut moved = false;
            while let Some(order) = self.host.mail.take() {
                self.carry(order);
                moved = true;
            }
            let result = self.write().and_then(|wrote| Ok(wrote | self.read()?));
            match result {
                Ok(more) => moved |= more,
                Err(what) if self.open.is_empty() => {
                    debug!(host = self.host.name, what, "connection over");
                    return Over::Idle;
                }
                Err(what) => {
                    warn!(host = self.host.name, what, legs = self.open.len(), "connection broke");
                    return Over::Broken;
                }
            }
            if self.retired && self.open.is_empty() {
                return Over::Retired;
            }
            if !moved {
                self.stream.wait_io();
            }
        }
    }

    fn carry(&mut self, order: Order) {
        match order {
            Order::Want { key, id, line } => {
                self.out.extend_from_slice(&line);
                self.open.insert(id, (key, ()));
            }
            Order::NeverMind { key, id } => {
                if self.open.get(&id).is_some_and(|(open, _)| *open == key) {
                    self.open.remove(&id);
                    self.out.extend_from_slice(&hostline::never_mind(&id));
                }
            }
            Order::Retire => self.retired = true,
        }
        self.used = self.host.clock.now();
    }

    fn write(&mut self) -> Result<bool, String> {
        let mut done = 0;
        let result = loop {
            if done == self.out.len() {
                break Ok(done > 0);
            }
            match self.stream.inner().write(&self.out[done..]) {
                Ok(n) => done += n,
                Err(what) if what.kind() == ErrorKind::WouldBlock => break Ok(done > 0),
                Err(what) if what.kind() == ErrorKind::Interrupted => {}
                Err(what) => break Err(what.to_string()),
            }
        };
        self.out.drain(..done);
        result
    }

    fn read(&mut self) -> Result<bool, String> {
        let Some(room) = self.buffer.room() else {
            return Err("an answer that fills the buffer".to_string());
        };
        match self.stream.inner().read(room) {
            Ok(0) => return Err("end of stream".to_string()),
            Ok(n) => self.buffer.add(n),
            Err(what) if what.kind() == ErrorKind::WouldBlock => return Ok(false),
            Err(what) if what.kind() == ErrorKind::Interrupted => return Ok(true),
            Err(what) => return Err(what.to_string()),
        }
        while let Some((length, answer)) = hostline::decode(self.buffer.filled())? {
            self.buffer.consume(length);
            match self.open.remove(&answer.id) {
                Some((key, _)) => self.host.module.send(Word::Answered { key, answer }),
                None => debug!(host = self.host.name, id = answer.id, "answer to what is over"),
            }
        }
        Ok(true)
    }
}
