//! A proxy for datagrams between told members, with faults. Each member has a socket of the proxy, its front, in front of
//! it: whoever speaks to the member speaks to its front, and what arrives at a front from a member's own socket goes on from
//! the sender's front. So an answer to the address from which a frame came passes through the proxy too, and one socket a
//! member holds for both directions. What comes from no member's socket is counted and left alone.
//!
//! A thread of its own; what is late waits in a queue with a cap.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap, HashMap};
use std::io;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::thread::JoinHandle;
use std::time::{Duration, Instant};
use tokio::net::UdpSocket;
use tokio::sync::{oneshot, Notify};

/// Datagrams that are late at once; more are dropped, and counted.
pub const MAX_LATE: usize = 65_536;
/// Datagrams taken from one front before the others have their turn.
const MAX_AT_ONCE: usize = 32;
/// The largest datagram that is carried.
const MAX_BYTES: usize = 64 * 1024;

/// What a path does to its datagrams. By itself nothing.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Path {
    /// All are lost.
    pub cut: bool,
    /// Shares that are lost, and that come twice; 0 to 1.
    pub lost: f64,
    pub doubled: f64,
    pub late: Duration,
    /// More delay by chance, up to this: one may overtake another.
    pub jitter: Duration,
}

/// Which members.
#[derive(Clone, Debug, PartialEq)]
pub enum Who {
    All,
    One(usize),
    /// By place: those with `true`.
    Some(Arc<Vec<bool>>),
}

impl Who {
    /// These of so many.
    pub fn these(of: usize, places: impl IntoIterator<Item = usize>) -> Who {
        let mut named = vec![false; of];
        places.into_iter().for_each(|place| named[place] = true);
        Who::Some(Arc::new(named))
    }

    /// All but these of so many.
    pub fn but(of: usize, places: impl IntoIterator<Item = usize>) -> Who {
        let mut named = vec![true; of];
        places.into_iter().for_each(|place| named[place] = false);
        Who::Some(Arc::new(named))
    }

    fn names(&self, member: usize) -> bool {
        match self {
            Who::All => true,
            Who::One(one) => *one == member,
            Who::Some(named) => named.get(member).copied().unwrap_or(false),
        }
    }
}

/// One way only, from these to those.
#[derive(Clone, Debug, PartialEq)]
pub struct Rule {
    pub from: Who,
    pub to: Who,
    pub path: Path,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct RuleId(u64);

/// What a member sent, before any fault, and what reached it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Carried {
    pub frames_out: u64,
    pub bytes_out: u64,
    pub frames_in: u64,
    pub bytes_in: u64,
}

/// What became of the datagrams, over all paths.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Tally {
    pub carried: u64,
    pub lost: u64,
    pub cut: u64,
    pub doubled: u64,
    pub late: u64,
    /// The queue of late ones was full.
    pub over: u64,
    /// From no member's socket.
    pub foreign: u64,
    /// A socket would not take it.
    pub refused: u64,
}

struct Shared {
    rules: BTreeMap<RuleId, Rule>,
    next: u64,
    members: Vec<Carried>,
    tally: Tally,
    late: BinaryHeap<Reverse<Late>>,
    order: u64,
    chance: oorandom::Rand64,
}

/// By the time at which it is due, then by its order.
#[derive(PartialEq, Eq, PartialOrd, Ord)]
struct Late {
    due: Instant,
    order: u64,
    from: usize,
    to: usize,
    bytes: Vec<u8>,
}

impl Shared {
    /// The path from one to another, all rules that name both together.
    fn path(&self, from: usize, to: usize) -> Path {
        let rules = self.rules.values().filter(|rule| rule.from.names(from) && rule.to.names(to));
        rules.fold(Path::default(), |path, rule| Path {
            cut: path.cut || rule.path.cut,
            lost: 1.0 - (1.0 - path.lost) * (1.0 - rule.path.lost),
            doubled: 1.0 - (1.0 - path.doubled) * (1.0 - rule.path.doubled),
            late: path.late + rule.path.late,
            jitter: path.jitter + rule.path.jitter,
        })
    }

    /// How often it is to be sent on at once. What is late is queued.
    fn judge(&mut self, from: usize, to: usize, bytes: &[u8]) -> usize {
        let path = self.path(from, to);
        if path.cut {
            self.tally.cut += 1;
            return 0;
        }
        if path.lost > 0.0 && self.chance.rand_float() < path.lost {
            self.tally.lost += 1;
            return 0;
        }
        let mut copies = 1;
        if path.doubled > 0.0 && self.chance.rand_float() < path.doubled {
            self.tally.doubled += 1;
            copies = 2;
        }
        if path.late.is_zero() && path.jitter.is_zero() {
            return copies;
        }
        for _ in 0..copies {
            if self.late.len() >= MAX_LATE {
                self.tally.over += 1;
                continue;
            }
            self.tally.late += 1;
            self.order += 1;
            let due = Instant::now() + path.late + path.jitter.mul_f64(self.chance.rand_float());
            self.late.push(Reverse(Late { due, order: self.order, from, to, bytes: bytes.to_vec() }));
        }
        0
    }
}

type Held = Arc<Mutex<Shared>>;

fn lock(shared: &Held) -> MutexGuard<'_, Shared> {
    shared.lock().unwrap_or_else(PoisonError::into_inner)
}

pub struct Proxy {
    fronts: Vec<SocketAddr>,
    shared: Held,
    stop: Option<oneshot::Sender<()>>,
    thread: Option<JoinHandle<()>>,
}

/// What the thread has: the fronts by place, the members' own addresses, and their places.
struct Carrier {
    fronts: Vec<UdpSocket>,
    members: Vec<SocketAddr>,
    places: HashMap<SocketAddr, usize>,
    shared: Held,
    queued: Notify,
}

impl Proxy {
    /// Stands in front of members that listen, and send from, there.
    pub fn start(members: &[SocketAddr], seed: u64) -> io::Result<Proxy> {
        let mut sockets = Vec::new();
        for _ in members {
            let socket = std::net::UdpSocket::bind("127.0.0.1:0")?;
            socket.set_nonblocking(true)?;
            sockets.push(socket);
        }
        let fronts: Vec<_> =
            sockets.iter().map(std::net::UdpSocket::local_addr).collect::<io::Result<_>>()?;
        let shared = Arc::new(Mutex::new(Shared {
            rules: BTreeMap::new(),
            next: 0,
            members: vec![Carried::default(); members.len()],
            tally: Tally::default(),
            late: BinaryHeap::new(),
            order: 0,
            chance: oorandom::Rand64::new(u128::from(seed)),
        }));
        let (stop, stopped) = oneshot::channel();
        let runtime = tokio::runtime::Builder::new_current_thread().enable_io().enable_time().build()?;
        let places = members.iter().enumerate().map(|(place, at)| (*at, place)).collect();
        let (members, held) = (members.to_vec(), shared.clone());
        let thread = std::thread::Builder::new().name("proxy".to_string()).spawn(move || {
            runtime.block_on(async move {
                // Each belongs to this runtime from here on.
                let fronts: io::Result<Vec<_>> = sockets.into_iter().map(UdpSocket::from_std).collect();
                let fronts = fronts.expect("sockets that do not block");
                let carrier =
                    Arc::new(Carrier { fronts, members, places, shared: held, queued: Notify::new() });
                for front in 0..carrier.fronts.len() {
                    tokio::spawn(carrier.clone().front(front));
                }
                tokio::select! {
                    _ = stopped => {}
                    () = carrier.deliver_late() => {}
                }
            });
        })?;
        Ok(Proxy { fronts, shared, stop: Some(stop), thread: Some(thread) })
    }

    /// Where others reach a member.
    pub fn front(&self, place: usize) -> SocketAddr {
        self.fronts[place]
    }

    /// In force from now on, beside those before it.
    pub fn add(&self, rule: Rule) -> RuleId {
        let mut shared = lock(&self.shared);
        shared.next += 1;
        let id = RuleId(shared.next);
        shared.rules.insert(id, rule);
        id
    }

    pub fn remove(&self, id: RuleId) {
        lock(&self.shared).rules.remove(&id);
    }

    pub fn carried(&self, place: usize) -> Carried {
        lock(&self.shared).members[place]
    }

    /// The same of all, by place.
    pub fn carried_by_all(&self) -> Vec<Carried> {
        lock(&self.shared).members.clone()
    }

    pub fn tally(&self) -> Tally {
        lock(&self.shared).tally
    }
}

impl Drop for Proxy {
    fn drop(&mut self) {
        if let Some(stop) = self.stop.take() {
            let _ = stop.send(());
        }
        if let Some(thread) = self.thread.take() {
            let _ = thread.join();
        }
    }
}

impl Carrier {
    /// Carries all that arrives at one front.
    async fn front(self: Arc<Self>, to: usize) {
        let socket = &self.fronts[to];
        let mut buffer = vec![0; MAX_BYTES];
        loop {
            if socket.readable().await.is_err() {
                return;
            }
            for _ in 0..MAX_AT_ONCE {
                match socket.try_recv_from(&mut buffer) {
                    Ok((length, from)) => self.take(from, to, &buffer[..length]),
                    // Of a member that is not there just now.
                    Err(what) if what.kind() == io::ErrorKind::ConnectionRefused => {}
                    Err(_) => break,
                }
            }
            tokio::task::yield_now().await;
        }
    }

    fn take(&self, from: SocketAddr, to: usize, bytes: &[u8]) {
        let mut shared = lock(&self.shared);
        let Some(from) = self.places.get(&from).copied() else {
            shared.tally.foreign += 1;
            return;
        };
        shared.members[from].frames_out += 1;
        shared.members[from].bytes_out += bytes.len() as u64;
        let waiting = shared.late.len();
        for _ in 0..shared.judge(from, to, bytes) {
            self.deliver(&mut shared, from, to, bytes);
        }
        if shared.late.len() > waiting {
            self.queued.notify_one();
        }
    }

    fn deliver(&self, shared: &mut Shared, from: usize, to: usize, bytes: &[u8]) {
        match self.fronts[from].try_send_to(bytes, self.members[to]) {
            Ok(_) => {
                shared.tally.carried += 1;
                shared.members[to].frames_in += 1;
                shared.members[to].bytes_in += bytes.len() as u64;
            }
            Err(_) => shared.tally.refused += 1,
        }
    }

    async fn deliver_late(&self) {
        loop {
            let next = {
                let mut shared = lock(&self.shared);
                let now = Instant::now();
                while shared.late.peek().is_some_and(|Reverse(late)| late.due <= now) {
                    if let Some(Reverse(late)) = shared.late.pop() {
                        self.deliver(&mut shared, late.from, late.to, &late.bytes);
                    }
                }
                shared.late.peek().map(|Reverse(late)| late.due)
            };
            match next {
                None => self.queued.notified().await,
                Some(due) => tokio::select! {
                    () = self.queued.notified() => {}
                    () = tokio::time::sleep_until(due.into()) => {}
                },
            }
        }
    }
}
