//! Estimated sizes of encoded messages, used for rate limits and for splitting contents into messages.

use crate::entry::Entry;
use crate::message::Message;
use crate::setting::HostSetting;

/// Maximum bytes of entries or settings in one message.
pub(crate) const MAX_CONTENT_BYTES: usize = 1200;
/// Bytes of a stream id and a sequence number.
pub(crate) const STREAM_ID_BYTES: usize = 14;
/// Bytes of a node id and an address.
const PEER_BYTES: usize = 20;
/// Bytes of a purge entry.
const PURGE_BYTES: usize = 14;
/// Bytes of a setting without the host's name.
const SETTING_BYTES: usize = 24;
/// Bytes that the entry around a setting adds.
const SETTING_ENTRY_BYTES: usize = 5;
/// Bytes that the frame adds to the content of a message.
const FRAME_BYTES: usize = 48;

/// Estimates the bytes of a setting.
pub(crate) fn setting(setting: &HostSetting) -> usize {
    setting.host.len() + SETTING_BYTES
}

/// Estimates the bytes of an entry.
pub(crate) fn entry(entry: &Entry) -> usize {
    match entry {
        Entry::Purge(_) => PURGE_BYTES,
        Entry::Setting(host_setting) => setting(host_setting) + SETTING_ENTRY_BYTES,
    }
}

/// Estimates the bytes of a message on the wire.
pub(crate) fn message(message: &Message) -> usize {
    let content = match message {
        Message::Batch { entries, .. } => {
            STREAM_ID_BYTES + entries.iter().map(|aged| entry(&aged.entry)).sum::<usize>()
        }
        Message::Placement { parents, .. } => STREAM_ID_BYTES + parents.len() * PEER_BYTES,
        Message::SettingsPart { settings, .. } => {
            settings.iter().map(|version| setting(&version.setting) + STREAM_ID_BYTES).sum()
        }
        _ => STREAM_ID_BYTES,
    };
    content + FRAME_BYTES
}
