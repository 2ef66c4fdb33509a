//! Starts the long-running actors of the dispatcher, and restarts those that panic.

use crate::timer;
use may::coroutine::Builder;
use std::panic::{catch_unwind, AssertUnwindSafe};
use std::time::Duration;
use tracing::error;

/// Stack size of an actor, in words of eight bytes.
pub(crate) const STACK_WORDS: usize = 0x2000;
/// Stack size of an actor that parses JSON or makes routing decisions, in words of eight bytes.
pub(crate) const LARGE_STACK_WORDS: usize = 0x20000;
/// Delay between the end of an actor and its restart.
const RESTART_DELAY: Duration = Duration::from_millis(10);

/// Starts an actor in a coroutine, and restarts it whenever it panics or returns: the dispatcher can't work without it.
/// Fails if the coroutine can't be created.
pub(crate) fn spawn(
    name: &'static str,
    stack_words: usize,
    mut actor: impl FnMut() + Send + 'static,
) -> std::io::Result<()> {
    let run_forever = move || loop {
        let result = catch_unwind(AssertUnwindSafe(&mut actor));
        error!(actor = name, panicked = result.is_err(), "actor ended, restarting it");
        timer::sleep(RESTART_DELAY);
    };
    let builder = Builder::new().name(name.to_string()).stack_size(stack_words);
    // SAFETY: actors keep no thread-local values across a wait and don't exceed their stacks.
    unsafe { builder.spawn::<_, ()>(run_forever).map(|_| ()) }
}
