//! Costs without the mechanism, for comparison: every dispatcher polls the discovery service, and configuration is a file
//! and a signal for each process.

use super::layout::Layout;
use super::moments::{ScenarioResult, Times};
use super::world::FleetConfig;
use serde::Serialize;
use std::io::{Read, Write};
use std::net::{TcpListener, TcpStream};
use std::time::{Duration, Instant};

/// Heads of a TCP packet, with the time stamps that are usual.
const TCP_IP: usize = 52;
/// The least wait before TCP sends again.
const RETRANSMIT: Duration = Duration::from_millis(200);
/// Purges whose way to all is played.
const PLAYED: usize = 200;
/// A copy of a file over a session of its own: keys, heads and ends, as reckoned.
const SESSION: usize = 5_000;
/// Sessions that an operator's machine has open at a time, as reckoned, and round trips that one takes.
const AT_A_TIME: usize = 16;
const ROUND_TRIPS: u32 = 8;

/// Costs of distribution without the mechanism.
#[derive(Clone, Copy, Debug, Serialize)]
pub struct Against {
    /// A purge as the board words it, in bytes with its packet's heads, and its acknowledgement.
    pub purge_bytes: usize,
    /// Measured here: seconds that one write to one connection takes.
    pub write_seconds: f64,
    /// A second, at the board's machine.
    pub board_bytes_out: f64,
    /// Share of a core that the discovery service uses.
    pub board_core: f64,
    /// Bytes a second received by a member.
    pub member_bytes_in: f64,
    /// Bytes a second sent by a member.
    pub member_bytes_out: f64,
    /// From publication of a purge to its application by the last member.
    pub purges: Times,
    /// Reckoned: bytes of one change at the operator's machine, and how long until all have the file.
    pub file_bytes: f64,
    /// Seconds until a configuration change is applied by all members.
    pub file_seconds: f64,
}

/// As the board words it, with a number of eight places.
fn worded(n: u64) -> String {
    format!(
        "id: {n}\ndata: {{\"rev\":{n},\"flush\":{{\"asset\":\"{:016x}\",\"ms\":1764576000123}}}}\n\n",
        n.wrapping_mul(0x9E37_79B9_7F4A_7C15)
    )
}

/// Seconds that a write of one purge to one of many connections takes, on the loopback.
fn write_seconds(text: &str) -> std::io::Result<f64> {
    const CONNECTIONS: usize = 100;
    const ROUNDS: usize = 200;
    let listener = TcpListener::bind("127.0.0.1:0")?;
    let address = listener.local_addr()?;
    let mut far = Vec::new();
    let mut near = Vec::new();
    for _ in 0..CONNECTIONS {
        let stream = TcpStream::connect(address)?;
        stream.set_nodelay(true)?;
        near.push(stream);
        far.push(listener.accept()?.0);
    }
    let mut spent = Duration::ZERO;
    let mut taken = vec![0; text.len()];
    for _ in 0..ROUNDS {
        let clock = Instant::now();
        for stream in &mut near {
            stream.write_all(text.as_bytes())?;
        }
        spent += clock.elapsed();
        for stream in &mut far {
            stream.read_exact(&mut taken)?;
        }
    }
    Ok(spent.as_secs_f64() / (CONNECTIONS * ROUNDS) as f64)
}

/// The same fleet and load, as it is without the mechanism.
pub fn board(play: &FleetConfig) -> std::io::Result<Against> {
    let text = worded(10_000_000);
    let purge_bytes = text.len() + TCP_IP;
    let write = write_seconds(&text)?;
    let mut rng = oorandom::Rand64::new(u128::from(play.seed));
    let layout = Layout::new(play.shape, 0, &mut rng);
    let board = layout.control(0);
    let members = play.shape.members;
    let mut times = Vec::new();
    for _ in 0..PLAYED {
        let mut worst = Duration::ZERO;
        for member in 0..members {
            let way = layout.delay(board, member);
            let mut took = way + Duration::from_secs_f64(write * (member + 1) as f64);
            let mut again = RETRANSMIT + way * 2;
            while rng.rand_float() < play.faults.lost {
                took += again;
                again *= 2;
            }
            worst = worst.max(took);
        }
        times.push(worst);
    }
    times.sort();
    let rate = play.purges_per_second;
    let file = SESSION + play.hosts * 40;
    let mean: f64 =
        (0..members).map(|at| layout.delay(board, at).as_secs_f64()).sum::<f64>() / members as f64;
    Ok(Against {
        purge_bytes,
        write_seconds: write,
        board_bytes_out: rate * (purge_bytes * members) as f64,
        board_core: rate * write * members as f64,
        member_bytes_in: rate * purge_bytes as f64,
        member_bytes_out: rate * TCP_IP as f64,
        purges: Times::of(&times),
        file_bytes: (file * members) as f64,
        file_seconds: mean * 2.0 * f64::from(ROUND_TRIPS) * members.div_ceil(AT_A_TIME) as f64,
    })
}

/// Both beside each other.
pub fn table(came: &ScenarioResult, against: &Against, control: usize) -> String {
    let mut lines = vec![format!("{:<52}{:>14}{:>14}{:>10}", "", "board, file", "mechanism", "ratio")];
    let mut line = |what: &str, one: f64, other: f64| {
        let ratio = if other > 0.0 { one / other } else { 0.0 };
        lines.push(format!("{what:<52}{one:>14.3}{other:>14.3}{ratio:>10.2}"));
    };
    line(
        "bytes a second out of the one, of the busiest control",
        against.board_bytes_out,
        came.control_bytes_out.worst,
    );
    line(
        "bytes a second out of control in all",
        against.board_bytes_out,
        came.control_bytes_out.mean * control as f64,
    );
    line("core of the one, of the busiest control", against.board_core, came.control_core.worst);
    line("bytes a second into a member", against.member_bytes_in, came.bytes_in.mean);
    line("bytes a second out of a member", against.member_bytes_out, came.bytes_out.mean);
    line("purge in force everywhere, median s", against.purges.median, came.purges.median);
    line("purge in force everywhere, worst s", against.purges.worst, came.purges.worst);
    line("change in force everywhere s (file: reckoned)", against.file_seconds, came.changes.worst);
    lines.push(format!(
        "known to be in force everywhere: board and file never; mechanism after {:.2} s at the median",
        came.purges_known.median
    ));
    lines.join("\n")
}
