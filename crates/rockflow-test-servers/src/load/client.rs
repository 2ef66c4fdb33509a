//! One client of a load, which sends requests on a kept-alive connection.

use super::response::Response;
use super::{LoadPhase, LoadSummary, Progress};
use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::sync::watch;

/// The number of objects that clients request at random.
const OBJECTS: u64 = 400;
/// A request that has no complete answer after this long counts as unanswered.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(8);
/// The pause after a failed connection attempt.
const RECONNECT_PAUSE: Duration = Duration::from_millis(10);
/// How long a stopped client watches for a second answer, which is an error.
const SECOND_ANSWER_WAIT: Duration = Duration::from_millis(20);

/// A client that sends one request after another, and keeps its connection between them if the server does.
pub(super) struct Client {
    /// The index of the client in the counts of `progress`.
    number: usize,
    address: SocketAddr,
    pause: Duration,
    rng: oorandom::Rand64,
    progress: Arc<watch::Sender<Progress>>,
    connection: Option<TcpStream>,
    summary: LoadSummary,
}

impl Client {
    /// Creates a client that is not connected yet. `number` is its index in the counts of `progress`.
    pub(super) fn new(
        number: usize,
        address: SocketAddr,
        pause: Duration,
        seed: u64,
        progress: Arc<watch::Sender<Progress>>,
    ) -> Client {
        let rng = oorandom::Rand64::new(u128::from(seed));
        Client { number, address, pause, rng, progress, connection: None, summary: LoadSummary::default() }
    }

    /// Sends requests until `stopped` holds true, and returns their outcomes.
    pub(super) async fn run(mut self, stopped: watch::Receiver<bool>) -> LoadSummary {
        while !*stopped.borrow() {
            let Ok(stream) = self.connect().await else {
                tokio::time::sleep(RECONNECT_PAUSE).await;
                continue;
            };
            self.send_request(stream).await;
        }
        self.check_for_second_answer().await;
        self.summary
    }

    /// Takes the kept connection, or opens a new one.
    async fn connect(&mut self) -> io::Result<TcpStream> {
        if let Some(stream) = self.connection.take() {
            return Ok(stream);
        }
        let stream = TcpStream::connect(self.address).await?;
        let _ = stream.set_nodelay(true);
        Ok(stream)
    }

    /// Sends one request, waits for its answer, and then pauses for a random time around `pause`. Drops the connection
    /// if it fails or the server closes it.
    async fn send_request(&mut self, mut stream: TcpStream) {
        let (random, object) = (self.rng.rand_u64(), self.rng.rand_range(0..OBJECTS));
        let phase = self.progress.borrow().phase;
        let id = phase.request_id(random);
        let request = format!(
            "GET /invoke/pages/{object:016x}?part=0 HTTP/1.1\r\nHost: h\r\nX-Call-Id: {id:016x}\r\n\
             X-Patience-Ms: 4000\r\nX-Group: 1\r\n\r\n"
        );
        let sent_at = Instant::now();
        if stream.write_all(request.as_bytes()).await.is_err() {
            // The server has closed the idle connection. The request was not sent; the next one opens a new connection.
            return;
        }
        let response = tokio::time::timeout(ANSWER_TIMEOUT, Response::read(&mut stream)).await;
        let response = response.ok().and_then(Result::ok);
        self.record_progress(phase, response.as_ref());
        match response {
            Some(response) => {
                self.summary.record_answer(response.status, sent_at.elapsed());
                self.summary.duplicated += u64::from(response.has_trailing_bytes);
                if !response.closes_connection {
                    self.connection = Some(stream);
                }
            }
            None => self.summary.unanswered += 1,
        }
        if !self.pause.is_zero() {
            tokio::time::sleep(self.pause.mul_f64(0.5 + self.rng.rand_float())).await;
        }
    }

    /// Counts a finished request as succeeded or not, if its phase is still the current one.
    fn record_progress(&self, phase: LoadPhase, response: Option<&Response>) {
        let is_served = response.is_some_and(|response| matches!(response.status, 200 | 304));
        self.progress.send_modify(|progress| {
            let is_current = progress.phase == phase;
            let counts = if is_served { &mut progress.succeeded } else { &mut progress.unsuccessful };
            counts[self.number] += u64::from(is_current);
        });
    }

    /// Counts a second answer to the last request as a duplicate, if one arrives on the kept connection.
    async fn check_for_second_answer(&mut self) {
        let Some(mut stream) = self.connection.take() else { return };
        let mut buffer = [0; 64];
        let read = tokio::time::timeout(SECOND_ANSWER_WAIT, stream.read(&mut buffer)).await;
        let has_more = matches!(read, Ok(Ok(length)) if length > 0);
        self.summary.duplicated += u64::from(has_more);
    }
}
