//! Pairs of events that cross, in the order that hurts, forced by gates and scripted peers: docs/crossings.md lists them.

mod common;

use std::sync::{Mutex, PoisonError};
use test_case::test_case;

/// One at a time: `freeze` stops every dispatcher of the process.
static ALONE: Mutex<()> = Mutex::new(());

#[test_case(include_str!("scenarios/crossings/drain-connecting.txt"); "a drain while a leg waits for its connection")]
#[test_case(include_str!("scenarios/crossings/gone-connecting.txt"); "a host gone while a leg waits for its connection")]
#[test_case(include_str!("scenarios/crossings/source-drains.txt"); "a source's drain while a leg waits for its connection")]
#[test_case(include_str!("scenarios/crossings/purge-connecting.txt"); "a purge while a leg waits for its connection")]
#[test_case(include_str!("scenarios/crossings/purge-of-a-group.txt"); "a group's purge while a leg waits for its connection")]
#[test_case(include_str!("scenarios/crossings/purge-of-everything.txt"); "a purge of everything while a leg waits for its connection")]
#[test_case(include_str!("scenarios/crossings/purge-by-link.txt"); "purges by the link while a leg waits for its connection")]
#[test_case(include_str!("scenarios/crossings/purges-too-many.txt"); "more purges than may wait")]
#[test_case(include_str!("scenarios/crossings/purges-too-many-told.txt"); "more purges than may wait and many who wait for them")]
#[test_case(include_str!("scenarios/crossings/mark-without-effect.txt"); "a mark without effect behind one that waits")]
#[test_case(include_str!("scenarios/crossings/left-connecting.txt"); "a client leaves while its leg waits for a connection")]
#[test_case(include_str!("scenarios/crossings/left-before.txt"); "a client leaves before it is heard")]
#[test_case(include_str!("scenarios/crossings/left-behind-much.txt"); "a client leaves behind more than is held")]
#[test_case(include_str!("scenarios/crossings/second-absent.txt"); "a second answer under an id that is out again")]
#[test_case(include_str!("scenarios/crossings/window-passes.txt"); "the window passes while a repeat waits")]
#[test_case(include_str!("scenarios/crossings/stop-rests.txt"); "a stop beside clients that rest and clients that come")]
#[test_case(include_str!("scenarios/crossings/stop-crosses.txt"); "a request in the moment of its connection's close")]
#[test_case(include_str!("scenarios/crossings/end-in-the-middle.txt"); "an event cut in two, and both calls tell")]
#[test_case(include_str!("scenarios/crossings/gap-before-a-whole-list.txt"); "a gap before a whole list")]
#[test_case(include_str!("scenarios/crossings/orphan-answer.txt"); "an answer that nobody waits for goes on")]
#[test_case(include_str!("scenarios/crossings/late-beside-live.txt"); "a connection that comes up late beside one that lives")]
#[test_case(include_str!("scenarios/crossings/idle-fill-the-seats.txt"); "idle clients fill the seats while discovery is down")]
#[test_case(include_str!("scenarios/crossings/stop-between-attempts.txt"); "a stop between two attempts, and beside half an answer")]
#[test_case(include_str!("scenarios/crossings/left-as-it-fails.txt"); "a client leaves as its attempt fails")]
#[test_case(include_str!("scenarios/crossings/cancel-meets-answer.txt"); "a call-off meets its answer")]
#[test_case(include_str!("scenarios/crossings/endless.txt"); "answers without end")]
#[test_case(include_str!("scenarios/crossings/silent-at-first.txt"); "a board that is silent from the start")]
#[test_case(include_str!("scenarios/crossings/down-and-back.txt"); "a drain right after the return of discovery")]
#[test_case(include_str!("scenarios/crossings/drain-in-the-pool.txt"); "a drain beside a connection that rests")]
#[test_case(include_str!("scenarios/crossings/leave-in-a-burst.txt"); "many clients leave at once")]
#[test_case(include_str!("scenarios/crossings/no-delay.txt"); "small writes are not held back")]
#[test_case(include_str!("scenarios/crossings/behind-a-request.txt"); "what lies behind a request")]
#[test_case(include_str!("scenarios/crossings/behind-at-stop.txt"); "what lies behind a request at a stop")]
#[test_case(include_str!("scenarios/crossings/behind-in-a-crowd.txt"); "what lies behind a request in a crowd")]
fn crossing(text: &str) {
    let _alone = ALONE.lock().unwrap_or_else(PoisonError::into_inner);
    common::play(text);
}
