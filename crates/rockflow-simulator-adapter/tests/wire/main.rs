//! The simulator's wire: frames, and every event and action by its literal bytes.

mod actions;
mod common;
mod events;
mod frames;
