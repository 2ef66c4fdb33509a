//! Plays a scenario against a whole dispatcher on loopback sockets. A line is a party and what it does:
//!
//!     host NAME cache|parent|origin [shut] [unlisted]   listed at the start, at a port of its own; `shut`: its queue
//!                                       is full, so that what connects to it stays on its way
//!     start [unknown-class] [comments] [sockets=N] [/PATH=JSON]   the dispatcher, with a class that the decisions
//!                                       don't know, boards that comment while they are called, as the protocol has it, and
//!                                       other values in its configuration
//!     freeze | thaw                     nothing of the dispatcher runs in between, but for a planned stop's own thread; what
//!                                       is sent meanwhile is there, in its order, before anything runs
//!     until hosts|clients|held N | until rev N | until leaving|finishing   so many connections stand, or are on their way;
//!                                       the board's notice has been heard; a planned stop takes nothing more
//!     crowd N | burst N                 so many clients connect and say nothing; ask, and are gone
//!     a asks OBJECT id=HEX [patience=MS] [Header:value]   a client asks, connecting first if it has to
//!     a sends TEXT                      raw, with \r \n
//!     a gets STATUS WORD...             one answer, holding all words
//!     a pours N | a floods              sends so many bytes of no meaning; without end, beside what follows
//!     a closes | a resets | a ended     the client leaves; the dispatcher has closed
//!     a within MS ...                   what follows, by then
//!     c shuts | c opens                 its queue is full from now on, or not any more
//!     c untaken MS                      nobody connects to it in that time
//!     c quiet MS                        nothing is said to it in that time
//!     c takes [as NAME]                 host c accepts a connection, which is c's, or a party of its own, from then on
//!     c gets WORD...                    a line holding all words but those after `!`, a field below N with
//!                                       `FIELD<N`, or below N and the time since the last purge with `FIELD<N+since`, in
//!                                       milliseconds; its id is remembered
//!     c skips WORD...                   lines up to one holding these words are read and passed over
//!     c trails WORD...                  the same as `gets`, and the dispatcher began to write it a moment after the line that
//!                                       was got before
//!     c says WORD FIELDS [id=HEX] [body=TEXT]   answers the remembered id, or the one named
//!     c sends TEXT | c closes | c ended | c dies    a host's connection ends; the host is gone
//!     nodelay N                         so many of the dispatcher's sockets, at least, hold no small write back
//!     board takes LAST [by MS]          in that time
//!     board accepts                     takes the call and says nothing at all
//!     board down | board up             nobody listens there; somebody does again
//!     board takes LAST | board says JSON | board closes     likewise board2 once it is the board; in JSON `@NAME` is
//!                                       the address of a host, `@now` the Unix time in milliseconds
//!     reload board2                     a configuration that names another board
//!     mark NAME=draining|gone ... [until=MS]   operators' marks, in place of those before; the start said `marked`
//!     fleet NAME=draining|gone ... [! NAME=lastone ...]   the fleet's marks, in place of those before; behind `!` those that
//!                                       are kept apart, and why
//!     purge all|group=N|OBJECT [ago=MS] by way of the link, till the decisions have heard of it
//!     purges N [ago=MS]                 so many, each of another object, and nobody waits for them
//!     post mark|fleet|purge ...         the same as without `post`, and the play does not wait for it
//!     heeded WORD...                    the decisions go by what was posted, told in this order, each by its first word
//!     wait MS                           time passes
//!     stop [held] | release | over      a planned stop begins, and goes on to its next phase only once it is released; it has
//!                                       come to its end
//!     overdue N                         requests so far that the decisions left without an answer in time

mod party;
mod play;
mod sockets;
mod steps;
pub mod worker;

use play::Play;
use sockets::OURS;
use std::panic::{catch_unwind, resume_unwind, AssertUnwindSafe};
use std::time::Duration;

const PATIENCE: Duration = Duration::from_secs(5);
const MS: Duration = Duration::from_millis(1);

/// Plays a scenario to its end.
pub fn play(text: &str) {
    OURS.set(true);
    let mut play = Play::new();
    let lines = text.lines().map(str::trim).filter(|line| !line.is_empty() && !line.starts_with('#'));
    lines.for_each(|line| {
        println!("{line}");
        if let Err(what) = catch_unwind(AssertUnwindSafe(|| play.play(line))) {
            play.parties
                .iter_mut()
                .for_each(|(name, party)| println!("# {name} {}", party.describe_unread()));
            resume_unwind(what);
        }
    });
}
