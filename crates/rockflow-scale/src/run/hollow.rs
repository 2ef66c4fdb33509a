//! Hollow dispatchers: the dissemination node with a socket of its own, without clients or routing decisions. All share one
//! thread and one event loop.

use super::ledger::Ledger;
use crate::Fault;
use rockflow_dissemination::Output;
use rockflow_transport::dissemination::{Command, Handle, NodeOptions, TransportStatus};
use std::collections::BTreeMap;
use std::future::Future;
use std::pin::Pin;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::mpsc::{sync_channel, SyncSender};
use std::sync::{Arc, Mutex, PoisonError};
use std::task::{Context, Poll, Waker};
use std::thread::JoinHandle;
use std::time::{Duration, Instant};
use tokio::sync::mpsc;

/// The thread's name, by which its processor time is told.
pub const THREAD: &str = "hollow";
/// The longest that the thread may take to answer.
const PATIENCE: Duration = Duration::from_secs(20);

enum Order {
    Start {
        member: usize,
        plan: Box<NodeOptions>,
    },
    /// Ends it without a word.
    Kill(usize),
    /// A planned stop.
    End(usize),
    /// It stands still, as by SIGSTOP, or goes on.
    Stop(usize, bool),
    NodeStatus(SyncSender<BTreeMap<usize, TransportStatus>>),
}

/// All hollow dispatchers, and the way to them.
pub struct Hollow {
    orders: Option<mpsc::UnboundedSender<Order>>,
    thread: Option<JoinHandle<()>>,
}

impl Hollow {
    /// Starts the thread of the hollow dispatchers.
    pub fn start(ledger: Arc<Mutex<Ledger>>) -> Result<Hollow, Fault> {
        let (orders, taken) = mpsc::unbounded_channel();
        let runtime = tokio::runtime::Builder::new_current_thread().enable_io().enable_time().build();
        let runtime = runtime.map_err(|what| format!("hollow dispatchers: {what}"))?;
        let run = move || tokio::task::LocalSet::new().block_on(&runtime, serve(taken, ledger));
        let thread = std::thread::Builder::new().name(THREAD.to_string()).spawn(run);
        let thread = thread.map_err(|what| format!("hollow dispatchers: {what}"))?;
        Ok(Hollow { orders: Some(orders), thread: Some(thread) })
    }

    fn order(&self, order: Order) {
        if let Some(orders) = &self.orders {
            let _ = orders.send(order);
        }
    }

    /// Starts a hollow dispatcher.
    pub fn begin(&self, member: usize, plan: NodeOptions) {
        self.order(Order::Start { member, plan: Box::new(plan) });
    }

    /// Ends a hollow dispatcher at once.
    pub fn kill(&self, member: usize) {
        self.order(Order::Kill(member));
    }

    /// Shuts a hollow dispatcher down.
    pub fn end(&self, member: usize) {
        self.order(Order::End(member));
    }

    /// Suspends or resumes a hollow dispatcher.
    pub fn stop(&self, member: usize, stopped: bool) {
        self.order(Order::Stop(member, stopped));
    }

    /// Those that run and do not stand still, as they are now.
    pub fn transport_status(&self) -> Result<BTreeMap<usize, TransportStatus>, Fault> {
        let (reply, tallies) = sync_channel(1);
        self.order(Order::NodeStatus(reply));
        tallies.recv_timeout(PATIENCE).map_err(|_| Fault("the hollow dispatchers do not answer".to_string()))
    }
}

impl Drop for Hollow {
    fn drop(&mut self) {
        self.orders = None;
        if let Some(thread) = self.thread.take() {
            let _ = thread.join();
        }
    }
}

struct Running {
    link: Handle,
    task: tokio::task::JoinHandle<()>,
    pause: Arc<Pause>,
}

#[derive(Default)]
struct Pause {
    stopped: AtomicBool,
    waker: Mutex<Option<Waker>>,
}

/// A future that can be made to stand still.
struct Pausable {
    inner: Pin<Box<dyn Future<Output = ()>>>,
    pause: Arc<Pause>,
}

impl Future for Pausable {
    type Output = ();

    fn poll(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<()> {
        if self.pause.stopped.load(Ordering::Relaxed) {
            let mut waker = self.pause.waker.lock().unwrap_or_else(PoisonError::into_inner);
            *waker = Some(context.waker().clone());
            return Poll::Pending;
        }
        self.inner.as_mut().poll(context)
    }
}

async fn serve(mut orders: mpsc::UnboundedReceiver<Order>, ledger: Arc<Mutex<Ledger>>) {
    let mut running: BTreeMap<usize, Running> = BTreeMap::new();
    while let Some(order) = orders.recv().await {
        match order {
            Order::Start { member, plan } => match begin(member, *plan, &ledger) {
                Ok(node) => drop(running.insert(member, node)),
                Err(what) => eprintln!("hollow dispatcher {member}: {what}"),
            },
            Order::Kill(member) => {
                if let Some(node) = running.remove(&member) {
                    node.task.abort();
                    // Its socket is to be free before the next order.
                    let _ = node.task.await;
                }
            }
            Order::End(member) => {
                if let Some(node) = running.remove(&member) {
                    if !node.link.send(Command::Stop) {
                        node.task.abort();
                    }
                    let _ = node.task.await;
                }
            }
            Order::Stop(member, stopped) => {
                if let Some(node) = running.get(&member) {
                    node.pause.stopped.store(stopped, Ordering::Relaxed);
                    let waker = node.pause.waker.lock().unwrap_or_else(PoisonError::into_inner).take();
                    if let Some(waker) = waker {
                        waker.wake();
                    }
                }
            }
            Order::NodeStatus(reply) => {
                let _ = reply.send(transport_status(&running).await);
            }
        }
    }
    for node in running.into_values() {
        node.task.abort();
    }
}

fn begin(member: usize, plan: NodeOptions, ledger: &Arc<Mutex<Ledger>>) -> std::io::Result<Running> {
    ledger.lock().unwrap_or_else(PoisonError::into_inner).begin(Instant::now(), member);
    let ledger = ledger.clone();
    let (link, node) = Handle::shared(plan, move |words, out| {
        let token = match out {
            Output::Purge { purges, token } => {
                let mut ledger = ledger.lock().unwrap_or_else(PoisonError::into_inner);
                let now = Instant::now();
                purges.into_iter().for_each(|(purge, age)| ledger.purge(now, member, purge, age));
                token
            }
            Output::Configure { settings, token, .. } => {
                let mut ledger = ledger.lock().unwrap_or_else(PoisonError::into_inner);
                ledger.configure(Instant::now(), member, settings.keys());
                token
            }
            Output::Send { .. } | Output::ReplicatedToAll { .. } | Output::IncarnationSuperseded { .. } => {
                return
            }
        };
        words.send(Command::ConfirmApplied(token));
    })?;
    let pause = Arc::new(Pause::default());
    let task = tokio::task::spawn_local(Pausable { inner: Box::pin(node), pause: pause.clone() });
    Ok(Running { link, task, pause })
}

async fn transport_status(running: &BTreeMap<usize, Running>) -> BTreeMap<usize, TransportStatus> {
    let mut tallies = BTreeMap::new();
    for (member, node) in running {
        if node.pause.stopped.load(Ordering::Relaxed) {
            continue;
        }
        let (reply, tally) = tokio::sync::oneshot::channel();
        let reply = Box::new(|tally| drop(reply.send(tally)));
        if node.link.send(Command::Status(reply)) {
            if let Ok(tally) = tally.await {
                tallies.insert(*member, tally);
            }
        }
    }
    tallies
}
