//! How large frames are, about: what is paced and cut by it needs no more.

use crate::entry::Entry;
use crate::message::Message;
use crate::setting::HostSetting;

/// Bytes of entries in one frame.
pub const MAX_CONTENT_BYTES: usize = 1200;
/// A stream's name and a number.
pub const STREAM_ID_BYTES: usize = 14;
/// A node's name and address.
pub const PEER_BYTES: usize = 20;
/// What a frame has before and around its content, as it travels.
pub const FRAME_BYTES: usize = 48;

pub fn setting(setting: &HostSetting) -> usize {
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
        Message::Batch { entries, .. } => {
            STREAM_ID_BYTES + entries.iter().map(|aged| entry(&aged.entry)).sum::<usize>()
        }
        Message::Placement { parents, .. } => STREAM_ID_BYTES + parents.len() * PEER_BYTES,
        Message::SettingsPart { settings, .. } => {
            settings.iter().map(|v| setting(&v.setting) + STREAM_ID_BYTES).sum()
        }
        _ => STREAM_ID_BYTES,
    };
    content + FRAME_BYTES
}
