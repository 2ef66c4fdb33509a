//! Runs scenario scripts against a whole dispatcher on loopback sockets.
//!
//! A script consists of comment lines that begin with `#` and of command lines. A command begins with its name, or with
//! the name of a peer of the dispatcher: a host, a client, or a discovery service (`discovery`, `discovery2`). Below,
//! `a` stands for a client, `c` for a host, and `peer` for either of them or a discovery service.
//!
//! Setup and control of the dispatcher:
//!
//!     host NAME cache|parent|origin [full-backlog] [small-backlog] [unlisted]
//!                               Listens on a free port and is in the initial endpoint list unless `unlisted`. With
//!                               `full-backlog` connections to it are not established until `empties-backlog`. A host
//!                               that runs `fills-backlog` later needs `small-backlog`.
//!     start [unknown-class] [comments] [overrides] [sockets=N] [/PATH=JSON]
//!                               Starts the dispatcher: with a class that the decisions don't know, with discovery
//!                               services that send comments periodically as the protocol requires, with support for
//!                               overrides, and with other values in its configuration.
//!     reload discovery2         Loads a configuration with another discovery address.
//!     pause-worker | resume-worker
//!                               Stops the thread that runs all of the dispatcher but a graceful shutdown. Bytes sent
//!                               meanwhile arrive in the order of the commands before the dispatcher runs again.
//!     shutdown [paused] | continue-shutdown | shutdown-completed
//!                               Begins a graceful shutdown, which with `paused` stays in its first phase until it is
//!                               continued; waits until it is complete.
//!     wait-until NAME N         Waits until this capped resource (clients, hosts, held, module-words) is at N.
//!     wait-until rev N          Waits until the discovery event with this revision is in effect.
//!     wait-until draining|closing
//!                               Waits for this phase of a shutdown.
//!     wait MS                   Sleeps.
//!     expect-overdue N          So many requests in total were not answered by the decisions in time.
//!     expect-nodelay N          TCP_NODELAY was set on at least so many sockets of the dispatcher.
//!
//! Overrides and purges through the service handle. Each waits until it is in effect:
//!
//!     operator-overrides NAME=draining|gone ... [until=MS] | operator-overrides none
//!                               Replaces the operators' overrides.
//!     control-overrides [NAME=draining|gone ...] [rejects NAME=last-ready|too-many ...]
//!                               Replaces the overrides of the control nodes; exactly those behind `rejects` are
//!                               rejected, for these reasons.
//!     purge all|group=N|OBJECT [ago=MS]
//!     unawaited-purges N [ago=MS]
//!                               Purges N objects without waiting.
//!     async operator-overrides|control-overrides|purge ...
//!                               The same as without `async`, without waiting.
//!     expect-applied COMMAND... The `async` commands with these names have taken effect, in this order.
//!
//! Clients:
//!
//!     a requests OBJECT id=HEX [patience=MS] [Header:value]
//!                               Connects if necessary and sends a request.
//!     a receives STATUS WORD... Reads one response that contains all words.
//!     a sends-filler N          Sends N meaningless bytes.
//!     a sends-endlessly         Sends meaningless bytes in the background until the connection ends.
//!     a resets                  Resets the connection.
//!     idle-clients N            N clients connect and send nothing.
//!     abandoned-requests N      N clients send a request and disconnect.
//!
//! Hosts:
//!
//!     c accepts [as NAME]       Accepts a connection, which replaces that of `c`, or is used by the new peer NAME.
//!     c expects-no-connection MS
//!     c expects-silence MS      Nothing arrives on the connection in that time.
//!     c receives WORD...        Reads a line that contains all words except those after `!`. `FIELD<N` is a field below
//!                               N, and `FIELD<N+since` one below N plus the milliseconds since the last purge. The
//!                               request id of the line is remembered.
//!     c receives-after-delay WORD...
//!                               The same, and the dispatcher wrote the line more than 1 ms after the one received before.
//!     c skips-to WORD...        Discards lines up to one that contains all words, whose request id is remembered.
//!     c responds WORD FIELDS [id=HEX] [body=TEXT]
//!                               Responds to the remembered request id, or to the given one.
//!     c fills-backlog | c empties-backlog
//!                               From now on connections to the host are not established, or are established again.
//!     c terminates              Closes the connection and stops listening.
//!
//! Discovery services:
//!
//!     discovery accepts LAST [within MS]
//!                               Accepts a connection that requests events after revision LAST, and sends a response head.
//!     discovery accepts-silently
//!                               Accepts a connection without a response.
//!     discovery sends-event JSON
//!                               `"@NAME"` stands for the address of a host, `@now` for the Unix time in milliseconds.
//!     discovery down | discovery up
//!                               Stops listening and disconnects; listens again on the same port.
//!
//! Any peer:
//!
//!     peer sends TEXT           Sends text with `\r` and `\n` as escape sequences.
//!     peer closes               Closes the connection.
//!     peer expects-close        The dispatcher closes the connection without sending anything more.
//!     peer within MS COMMAND... Runs a command of this peer with this read timeout.

mod peer;
mod processor;
mod scenario;
mod sockets;
mod steps;
pub mod worker;

use processor::total_wait;
use scenario::Scenario;
use sockets::IS_TEST_THREAD;
use std::panic::{catch_unwind, resume_unwind, AssertUnwindSafe};
use std::time::{Duration, Instant};

/// Default timeout of a command.
const TIMEOUT: Duration = Duration::from_secs(5);
const MS: Duration = Duration::from_millis(1);

/// Runs a scenario script. If a command fails, prints the data that the peers have not read. Each command is printed with
/// the time since the script began, and the time for which threads of the process have waited for a processor.
pub fn run_scenario(text: &str) {
    IS_TEST_THREAD.set(true);
    let mut scenario = Scenario::new();
    let lines = text.lines().map(str::trim).filter(|line| !line.is_empty() && !line.starts_with('#'));
    let (started_at, waited_before) = (Instant::now(), total_wait());
    lines.for_each(|line| {
        let waited = total_wait().saturating_sub(waited_before);
        println!("{:.3?} ({waited:.3?} without a processor) {line}", started_at.elapsed());
        if let Err(panic) = catch_unwind(AssertUnwindSafe(|| scenario.run_command(line))) {
            scenario
                .peers
                .iter_mut()
                .for_each(|(name, peer)| println!("# {name} {}", peer.describe_unread()));
            resume_unwind(panic);
        }
    });
}
