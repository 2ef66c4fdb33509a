//! Starts the dispatcher's own actors, and restarts those that panic.

use crate::timer;
use may::coroutine::Builder;
use std::panic::{catch_unwind, AssertUnwindSafe};
use std::time::Duration;
use tracing::error;

/// Stack of an actor, in words of eight bytes.
pub(crate) const STACK_WORDS: usize = 0x2000;
/// Stack of an actor that parses JSON or runs the decisions.
pub(crate) const LARGE_STACK_WORDS: usize = 0x20000;
/// The wait before an actor that panicked is started again.
const RESTART_DELAY: Duration = Duration::from_millis(10);

/// Starts an actor. One that panics is started again: without it nothing is decided or passed on.
pub(crate) fn spawn(
    name: &'static str,
    stack_words: usize,
    mut actor: impl FnMut() + Send + 'static,
) -> std::io::Result<()> {
    let supervised = move || loop {
        let ended = catch_unwind(AssertUnwindSafe(&mut actor));
        error!(actor = name, panicked = ended.is_err(), "actor ended, restarting it");
        timer::sleep(RESTART_DELAY);
    };
    let builder = Builder::new().name(name.to_string()).stack_size(stack_words);
    // Safe as long as actors use no thread-local values across a wait and keep to their stacks.
    unsafe { builder.spawn::<_, ()>(supervised).map(|_| ()) }
}
