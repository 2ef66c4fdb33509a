//! Tests of the simulator's wire protocol: frames, and the literal bytes of every event and action.

mod actions;
mod common;
mod events;
mod frames;
