//! How large frames are, about: what is paced and cut by it needs no more.

use crate::messages::Message;
use crate::words::{Entry, Setting};

/// Bytes of entries in one frame.
pub const MAX_BYTES: usize = 1200;
/// A stream's name and a number.
pub const ID: usize = 14;
/// A node's name and address.
pub const PEER: usize = 20;
/// What a frame has before and around its content, as it travels.
pub const FRAME: usize = 48;

pub fn setting(setting: &Setting) -> usize {
    setting.host.len() + 24
}

pub fn entry(entry: &Entry) -> usize {
    match entry {
        Entry::Purge(_) => 14,
        Entry::Setting(of) => setting(of) + 5,
    }
}

pub fn message(message: &Message) -> usize {
    let content = match message {
        Message::Batch { entries, .. } => ID + entries.iter().map(|aged| entry(&aged.entry)).sum::<usize>(),
        Message::Near { parents, .. } => ID + parents.len() * PEER,
        Message::Settings { settings, .. } => settings.iter().map(|v| setting(&v.setting) + ID).sum(),
        _ => ID,
    };
    content + FRAME
}
