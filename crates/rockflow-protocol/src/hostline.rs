//! The lines between a dispatcher and its hosts: requests out, answers in.

use crate::MAX_BODY;
use std::time::Duration;

/// The longest line of an answer that is read.
pub const MAX_LINE: usize = 4096;
/// What a connection to a host must be able to hold: one answer.
pub const MAX_ANSWER: usize = MAX_LINE + MAX_BODY + 2;

/// What a attempt asks of a host, in the protocol's terms.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Want<'a> {
    pub id: &'a str,
    pub class: &'a str,
    pub object: &'a str,
    pub part: u32,
    pub wait: Duration,
    pub source: Option<&'a str>,
    pub rank: u8,
    pub oldest: Option<Duration>,
    pub coalesce: bool,
    pub shallow: bool,
    pub transit: bool,
    pub freshen: bool,
    pub seen: Option<&'a str>,
}

impl Want<'_> {
    pub fn encode(&self) -> Vec<u8> {
        let millis = |span: Duration| span.as_millis().max(1);
        let mut line = format!("want {} c={},k={},p={}", self.id, self.class, self.object, self.part);
        line += &format!(",w={}", millis(self.wait));
        if let Some(source) = self.source {
            line += &format!(",from={source}");
        }
        if self.rank > 0 {
            line += &format!(",rank={}", self.rank);
        }
        if let Some(oldest) = self.oldest {
            // Rounded down, but not to 0, which would stand for the fresh time.
            line += &format!(",oldest={}", millis(oldest));
        }
        let words = [
            (self.coalesce, "coalesce"),
            (self.shallow, "shallow"),
            (self.transit, "transit"),
            (self.freshen, "freshen"),
        ];
        let words: Vec<_> = words.iter().filter(|(on, _)| *on).map(|(_, word)| *word).collect();
        if !words.is_empty() {
            line += &format!(",mode={}", words.join("+"));
        }
        if let Some(seen) = self.seen {
            line += &format!(",seen={seen}");
        }
        (line + " 0\r\n\r\n").into_bytes()
    }
}

pub fn never_mind(id: &str) -> Vec<u8> {
    format!("never_mind {id}\r\n").into_bytes()
}

/// Asks whether a host is there; with its load report where there is one.
pub fn probe(tag: &str, load: bool) -> Vec<u8> {
    format!("{} {tag}\r\n", if load { "busy" } else { "there" }).into_bytes()
}

#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Word {
    Data,
    Unchanged,
    Absent,
    Full,
    Failed,
    Moot,
    Well,
    Ill,
}

#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Note {
    Warm,
    Fill,
    DeepFill,
    Piggy,
    Aged,
    Bounced,
    Dropped,
    Lacking,
    Jammed,
    Backfire,
}

const WORDS: [(&str, Word); 8] = [
    ("data", Word::Data),
    ("unchanged", Word::Unchanged),
    ("absent", Word::Absent),
    ("full", Word::Full),
    ("failed", Word::Failed),
    ("moot", Word::Moot),
    ("well", Word::Well),
    ("ill", Word::Ill),
];

const NOTES: [(&str, Note); 10] = [
    ("warm", Note::Warm),
    ("fill", Note::Fill),
    ("deep_fill", Note::DeepFill),
    ("piggy", Note::Piggy),
    ("aged", Note::Aged),
    ("bounced", Note::Bounced),
    ("dropped", Note::Dropped),
    ("lacking", Note::Lacking),
    ("jammed", Note::Jammed),
    ("backfire", Note::Backfire),
];

#[derive(Clone, Debug, PartialEq)]
pub struct Answer {
    pub id: String,
    pub word: Word,
    pub note: Option<Note>,
    pub waited: Duration,
    pub tag: String,
    /// Unix milliseconds at which the origin gave the copy out.
    pub born: Option<u64>,
    pub load: Vec<(String, f32)>,
    pub body: Vec<u8>,
}

fn find<T: Copy>(table: &[(&str, T)], text: &str) -> Option<T> {
    table.iter().find(|(word, _)| *word == text).map(|(_, value)| *value)
}

/// Reads one answer and says how many bytes it took. None: it has not come whole yet.
pub fn decode(bytes: &[u8]) -> Result<Option<(usize, Answer)>, String> {
    let Some(line_end) = bytes.iter().take(MAX_LINE).position(|byte| *byte == b'\n') else {
        return if bytes.len() < MAX_LINE { Ok(None) } else { Err("a line without end".to_string()) };
    };
    let line = bytes[..line_end].strip_suffix(b"\r").ok_or("a line that does not end in CR LF")?;
    let line = std::str::from_utf8(line).map_err(|_| "a line that is no text")?;
    let mut words = line.split(' ');
    let (Some(id), Some(word), Some(fields), Some(length), None) =
        (words.next(), words.next(), words.next(), words.next(), words.next())
    else {
        return Err(format!("not four words: {line:?}"));
    };
    let word = find(&WORDS, word).ok_or_else(|| format!("unknown word {word:?}"))?;
    let digits = !length.is_empty() && length.bytes().all(|byte| byte.is_ascii_digit());
    let length: usize = length.parse().ok().filter(|_| digits).ok_or_else(|| format!("length {length:?}"))?;
    if length > MAX_BODY {
        return Err(format!("a body of {length} bytes"));
    }
    let (from, to) = (line_end + 1, line_end + 1 + length);
    let Some(end) = bytes.get(to..to + 2) else { return Ok(None) };
    if end != b"\r\n" {
        return Err("a body that is longer than its length".to_string());
    }
    let mut answer = Answer {
        id: id.to_string(),
        word,
        note: None,
        waited: Duration::ZERO,
        tag: String::new(),
        born: None,
        load: Vec::new(),
        body: bytes[from..to].to_vec(),
    };
    for field in fields.split(',').filter(|_| fields != "-") {
        let (name, value) = field.split_once('=').ok_or_else(|| format!("field {field:?}"))?;
        let bad = || format!("field {field:?}");
        match name {
            "note" => answer.note = Some(find(&NOTES, value).ok_or_else(bad)?),
            "waited" => {
                let millis = value.parse::<f64>().map_err(|_| bad())?;
                answer.waited = Duration::try_from_secs_f64(millis / 1e3).map_err(|_| bad())?;
            }
            "ver" => answer.tag = value.to_string(),
            "born" => {
                answer.born =
                    Some(value.parse::<f64>().ok().filter(|born| *born >= 0.0).ok_or_else(bad)? as u64)
            }
            "load" => {
                for value in value.split(';') {
                    let (name, value) = value.split_once(':').ok_or_else(bad)?;
                    answer.load.push((name.to_string(), value.parse().map_err(|_| bad())?));
                }
            }
            _ => {}
        }
    }
    Ok(Some((to + 2, answer)))
}
