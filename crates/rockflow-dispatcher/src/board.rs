//! The actor that reads the notice board and passes each notice on once, in order.

use crate::mailbox::Mailbox;
use may::coroutine;
use may::net::TcpStream;
use rockflow_protocol::board::{self, Notice, Stream};
use rockflow_protocol::Buffer;
use std::io::{Read, Write};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use tracing::{info, warn};

/// A comment comes each second: a board that says nothing for three has gone.
const SILENCE: Duration = Duration::from_secs(3);
const CONNECT: Duration = Duration::from_secs(1);
/// The wait before the next call: from the first to the second, doubled with each failure, less by chance.
const WAIT: (Duration, Duration) = (Duration::from_millis(50), Duration::from_secs(1));

pub struct Board {
    pub address: SocketAddr,
    pub last: u64,
    pub list: Arc<Mailbox<Notice>>,
    pub chance: oorandom::Rand64,
}

impl Board {
    pub fn run(&mut self) {
        let mut wait = WAIT.0;
        // A gap is asked for again once; what is missing after that is not to be had.
        let mut gap_borne = None;
        loop {
            let before = self.last;
            let what = self.poll(&mut gap_borne).unwrap_or_else(|what| what);
            wait = if self.last > before { WAIT.0 } else { (2 * wait).min(WAIT.1) };
            info!(what, last = self.last, "board connection over");
            coroutine::sleep(wait.mul_f64(0.5 + 0.5 * self.chance.rand_float()));
        }
    }

    fn poll(&mut self, gap_borne: &mut Option<u64>) -> Result<String, String> {
        let fault = |what: std::io::Error| what.to_string();
        let mut stream = TcpStream::connect_timeout(&self.address, CONNECT).map_err(fault)?;
        stream.set_read_timeout(Some(SILENCE)).map_err(fault)?;
        stream.set_write_timeout(Some(SILENCE)).map_err(fault)?;
        stream.write_all(&board::call(&self.address.to_string(), self.last)).map_err(fault)?;
        let (mut buffer, mut notices, mut sent) =
            (Buffer::new(board::MOST_EVENT), Vec::new(), Stream::default());
        loop {
            let room = buffer.room().ok_or("a head or chunk size without end")?;
            let n = stream.read(room).map_err(fault)?;
            if n == 0 {
                return Ok("ended".to_string());
            }
            buffer.add(n);
            // What came whole ahead of a fault still counts.
            let taken = sent.take(buffer.filled(), &mut notices);
            for notice in notices.drain(..) {
                let (rev, next) = (notice.rev, self.last + 1);
                if rev < next {
                    continue;
                }
                let whole = notice.pool.as_ref().is_some_and(|pool| pool.reset);
                if rev > next && !whole && *gap_borne != Some(next) {
                    *gap_borne = Some(next);
                    return Err(format!("notices {next} to {} are missing", rev - 1));
                }
                if rev > next {
                    warn!(from = next, to = rev - 1, "notices lost");
                }
                self.last = rev;
                self.list.send(notice);
            }
            buffer.consume(taken?);
        }
    }
}
