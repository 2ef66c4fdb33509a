//! Errors of the adapter: malformed input, with the byte offset of the fault, and failures to read or write.

use std::io;
use thiserror::Error;

/// Why the adapter stopped. `at` is an offset in bytes from the start of the whole input.
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
        /// Offset of the end of the input.
        at: u64,
    },
    /// The length of a frame is too short to include its clock.
    #[error("length {length} does not hold the clock at byte {at}")]
    LengthTooShort {
        /// The length in the header, in bytes.
        length: usize,
        /// Offset of the length in the header.
        at: u64,
    },
    /// A record is longer than the rest of its frame.
    #[error("record runs past the end of its frame at byte {at}")]
    RecordCutShort {
        /// Offset of the first field that does not fit.
        at: u64,
    },
    /// A frame is longer than its records.
    #[error("bytes left over after the last record at byte {at}")]
    BytesLeftOver {
        /// Offset of the end of the last record.
        at: u64,
    },
    /// No event has this code.
    #[error("unknown event code {code} at byte {at}")]
    UnknownEventCode {
        /// The unknown code.
        code: u16,
        /// Offset of the code.
        at: u64,
    },
    /// An event precedes the first record that names an instance.
    #[error("event {code} before any instance was named at byte {at}")]
    NoInstanceNamed {
        /// The code of the event.
        code: u16,
        /// Offset of the event.
        at: u64,
    },
    /// An event for an instance that was never created or has been retired.
    #[error("event {code} for instance {instance} that does not run at byte {at}")]
    InstanceNotRunning {
        /// The code of the event.
        code: u16,
        /// The number of the instance.
        instance: u32,
        /// Offset of the event.
        at: u64,
    },
    /// The number of an endpoint list is too high.
    #[error("list number {list} is over {max} at byte {at}")]
    ListNumberTooHigh {
        /// The number of the list.
        list: usize,
        /// The highest valid number.
        max: usize,
        /// Offset of the list's number.
        at: u64,
    },
    /// An event refers to an endpoint list that was not sent.
    #[error("list {list} was never sent at byte {at}")]
    ListNeverSent {
        /// The number of the list.
        list: u8,
        /// Offset of the event's first field.
        at: u64,
    },
    /// An entry of a list has a location or a kind of host that is not in the settings.
    #[error("list {list} names an unknown zone or kind at byte {at}")]
    UnknownLocationOrKind {
        /// The number of the list.
        list: u8,
        /// Offset of the first field of the event that refers to the list.
        at: u64,
    },
    /// A request has a class that is not in the settings.
    #[error("class {class} is not in the settings at byte {at}")]
    UnknownClass {
        /// The index of the class.
        class: usize,
        /// Offset of the request's first field.
        at: u64,
    },
    /// A field of a record has a code without a meaning.
    #[error("unknown {what} {code} at byte {at}")]
    UnknownCode {
        /// The field that has the code, for example `outcome`.
        what: &'static str,
        /// The unknown code.
        code: u16,
        /// Offset of the code.
        at: u64,
    },
}
