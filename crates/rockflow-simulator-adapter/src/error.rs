//! Errors of the adapter: faults of the input with the byte at which they are, and of reading and writing.

use std::io;
use thiserror::Error;

/// Why the adapter stopped. `at` is a byte of the whole input.
#[derive(Debug, Error)]
pub enum AdapterError {
    /// The input could not be read.
    #[error("input not read: {0}")]
    Read(#[source] io::Error),
    /// A reply could not be written.
    #[error("reply not written: {0}")]
    Write(#[source] io::Error),
    /// The input ended within a frame.
    #[error("frame cut short at byte {at}")]
    FrameCutShort {
        /// The end of the input.
        at: u64,
    },
    /// The length of a frame is less than that of its clock.
    #[error("length {length} does not hold the clock at byte {at}")]
    LengthTooShort {
        /// The length.
        length: usize,
        /// Where the length is.
        at: u64,
    },
    /// A record is longer than the rest of its frame.
    #[error("record runs past the end of its frame at byte {at}")]
    RecordCutShort {
        /// Where a field does not fit.
        at: u64,
    },
    /// A frame is longer than its records.
    #[error("bytes left over after the last record at byte {at}")]
    BytesLeftOver {
        /// Where the last record ends.
        at: u64,
    },
    /// No event has this code.
    #[error("unknown event code {code} at byte {at}")]
    UnknownEventCode {
        /// The code.
        code: u16,
        /// Where it is.
        at: u64,
    },
    /// An event before the record that names its instance.
    #[error("event {code} before any instance was named at byte {at}")]
    NoInstanceNamed {
        /// The code of the event.
        code: u16,
        /// Where it is.
        at: u64,
    },
    /// An event for an instance that was never created or has been retired.
    #[error("event {code} for instance {instance} that does not run at byte {at}")]
    InstanceNotRunning {
        /// The code of the event.
        code: u16,
        /// The number of the instance.
        instance: u32,
        /// Where the event is.
        at: u64,
    },
    /// The number of an endpoint list is too high.
    #[error("list number {list} is over {max} at byte {at}")]
    ListNumberTooHigh {
        /// The number.
        list: usize,
        /// The highest number.
        max: usize,
        /// Where the list is.
        at: u64,
    },
    /// An event refers to an endpoint list that was not sent.
    #[error("list {list} was never sent at byte {at}")]
    ListNeverSent {
        /// The number of the list.
        list: u8,
        /// Where the event is.
        at: u64,
    },
    /// An entry of a list has a location or a kind that the settings don't know.
    #[error("list {list} names an unknown zone or kind at byte {at}")]
    UnknownLocationOrKind {
        /// The number of the list.
        list: u8,
        /// Where the event is.
        at: u64,
    },
    /// A request of a class that the settings don't know.
    #[error("class {class} is not in the settings at byte {at}")]
    UnknownClass {
        /// The class.
        class: usize,
        /// Where the event is.
        at: u64,
    },
    /// A code within a record that stands for nothing.
    #[error("unknown {what} {code} at byte {at}")]
    UnknownCode {
        /// What it is a code of.
        what: &'static str,
        /// The code.
        code: u16,
        /// Where it is.
        at: u64,
    },
}
