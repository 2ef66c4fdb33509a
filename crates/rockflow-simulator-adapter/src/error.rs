//! Errors of the adapter: malformed input, with the byte offset of the fault, and failures to read or write.

use std::io;
use thiserror::Error;

/// Why the adapter stopped. Offsets are in bytes from the start of the whole input.
#[derive(Debug, Error)]
pub enum AdapterError {
    /// The input could not be read.
    #[error("input not read: {0}")]
    Read(#[source] io::Error),
    /// A reply could not be written.
    #[error("reply not written: {0}")]
    Write(#[source] io::Error),
    /// The input ended within a frame.
    #[error("frame cut short at byte {offset}")]
    FrameCutShort {
        /// Offset of the end of the input.
        offset: u64,
    },
    /// The length of a frame is too short to include its clock.
    #[error("length {length} does not hold the clock at byte {offset}")]
    LengthTooShort {
        /// The length in the header, in bytes.
        length: usize,
        /// Offset of the length in the header.
        offset: u64,
    },
    /// A record is longer than the rest of its frame.
    #[error("record runs past the end of its frame at byte {offset}")]
    RecordCutShort {
        /// Offset of the first field that does not fit.
        offset: u64,
    },
    /// A frame is longer than its records.
    #[error("bytes left over after the last record at byte {offset}")]
    BytesLeftOver {
        /// Offset of the end of the last record.
        offset: u64,
    },
    /// No event has this code.
    #[error("unknown event code {code} at byte {offset}")]
    UnknownEventCode {
        /// The unknown code.
        code: u16,
        /// Offset of the code.
        offset: u64,
    },
    /// An event precedes the first record that names an instance.
    #[error("event {code} before any instance was named at byte {offset}")]
    NoInstanceNamed {
        /// The code of the event.
        code: u16,
        /// Offset of the event.
        offset: u64,
    },
    /// An event for an instance that was never created or has been retired.
    #[error("event {code} for instance {instance} that does not run at byte {offset}")]
    InstanceNotRunning {
        /// The code of the event.
        code: u16,
        /// The number of the instance.
        instance: u32,
        /// Offset of the event.
        offset: u64,
    },
    /// The number of an endpoint list is too high.
    #[error("list number {list} is over {max} at byte {offset}")]
    ListNumberTooHigh {
        /// The number of the list.
        list: usize,
        /// The highest valid number.
        max: usize,
        /// Offset of the list's number.
        offset: u64,
    },
    /// An event refers to an endpoint list that was not sent.
    #[error("list {list} was never sent at byte {offset}")]
    ListNeverSent {
        /// The number of the list.
        list: u8,
        /// Offset of the event's first field.
        offset: u64,
    },
    /// An entry of a list has a location or a kind of host that is not in the settings.
    #[error("list {list} names an unknown zone or kind at byte {offset}")]
    UnknownLocationOrKind {
        /// The number of the list.
        list: u8,
        /// Offset of the first field of the event that refers to the list.
        offset: u64,
    },
    /// A request has a class that is not in the settings.
    #[error("class {class} is not in the settings at byte {offset}")]
    UnknownClass {
        /// The index of the class.
        class: usize,
        /// Offset of the request's first field.
        offset: u64,
    },
    /// A field of a record has a code without a meaning.
    #[error("unknown {field} {code} at byte {offset}")]
    UnknownCode {
        /// The field that has the code, for example `outcome`.
        field: &'static str,
        /// The unknown code.
        code: u16,
        /// Offset of the code.
        offset: u64,
    },
}
