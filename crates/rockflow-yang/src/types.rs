//! Leaf types and leaf values: their lexical form, restrictions and canonical text (RFC 7950, section 9).

use crate::error::ValueError;
use regex_lite::Regex;
use std::fmt;

/// A leaf's value in canonical form.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Scalar {
    /// A string, or a name of an enumeration.
    Text(String),
    /// A number of an unsigned type.
    Unsigned(u64),
    /// A number of a signed type.
    Signed(i64),
    /// A boolean.
    Bool(bool),
    /// A `decimal64`: the number in units of its last digit, and how many digits stand behind the point.
    Decimal(i64, u8),
    /// The value of a leaf of type `empty`.
    Empty,
}

/// The key values that name a list entry, in the order of the list's keys.
pub type KeyValues = Vec<Scalar>;

impl fmt::Display for Scalar {
    /// Writes the canonical text.
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Scalar::Text(text) => f.write_str(text),
            Scalar::Unsigned(number) => write!(f, "{number}"),
            Scalar::Signed(number) => write!(f, "{number}"),
            Scalar::Bool(value) => write!(f, "{value}"),
            Scalar::Decimal(units, digits) => {
                let one = 10u64.pow(u32::from(*digits));
                let (whole, fraction) = (units.unsigned_abs() / one, units.unsigned_abs() % one);
                let sign = if *units < 0 { "-" } else { "" };
                let fraction = format!("{fraction:0width$}", width = usize::from(*digits));
                let fraction = fraction.trim_end_matches('0');
                write!(f, "{sign}{whole}.{}", if fraction.is_empty() { "0" } else { fraction })
            }
            Scalar::Empty => Ok(()),
        }
    }
}

impl Scalar {
    /// A text value.
    pub fn text(text: impl Into<String>) -> Scalar {
        Scalar::Text(text.into())
    }

    /// The text of a text value.
    pub fn as_text(&self) -> Option<&str> {
        match self {
            Scalar::Text(text) => Some(text),
            _ => None,
        }
    }

    /// The number of an unsigned value.
    pub fn as_u64(&self) -> Option<u64> {
        match self {
            Scalar::Unsigned(number) => Some(*number),
            _ => None,
        }
    }

    /// The truth of a boolean value.
    pub fn as_bool(&self) -> Option<bool> {
        match self {
            Scalar::Bool(value) => Some(*value),
            _ => None,
        }
    }
}

/// Inclusive ranges; empty: anything that the base type holds.
pub type Ranges<T> = Vec<(T, T)>;

/// The type of a leaf or leaf-list, with its restrictions.
#[derive(Clone, Debug)]
pub enum LeafType {
    /// `string`.
    Text {
        /// Allowed lengths in characters.
        lengths: Ranges<u64>,
        /// Patterns, each as written in the module and compiled; a value matches all.
        patterns: Vec<(String, Regex)>,
    },
    /// `uint8` to `uint64`.
    Unsigned {
        /// Bits of the built-in type.
        bits: u8,
        /// Allowed values.
        ranges: Ranges<u64>,
    },
    /// `int8` to `int64`.
    Signed {
        /// Bits of the built-in type.
        bits: u8,
        /// Allowed values.
        ranges: Ranges<i64>,
    },
    /// `decimal64`.
    Decimal {
        /// Digits behind the decimal point.
        digits: u8,
        /// Allowed values in units of the last digit.
        ranges: Ranges<i64>,
    },
    /// `boolean`.
    Bool,
    /// `enumeration`, with its names.
    Enumeration(Vec<String>),
    /// `union`, with its member types; the first that takes a text decides.
    Union(Vec<LeafType>),
    /// `empty`.
    Empty,
}

impl LeafType {
    /// Parses a value's lexical form. The error says what is allowed.
    pub fn parse(&self, text: &str) -> Result<Scalar, ValueError> {
        match self {
            LeafType::Text { lengths, patterns } => parse_text(text, lengths, patterns),
            LeafType::Unsigned { bits, ranges } => parse_unsigned(text.trim(), *bits, ranges),
            LeafType::Signed { bits, ranges } => parse_signed(text.trim(), *bits, ranges),
            LeafType::Decimal { digits, ranges } => parse_decimal(text.trim(), *digits, ranges),
            LeafType::Bool => match text.trim() {
                "true" => Ok(Scalar::Bool(true)),
                "false" => Ok(Scalar::Bool(false)),
                _ => Err(ValueError::NotABoolean),
            },
            LeafType::Enumeration(names) => match names.iter().find(|name| *name == text.trim()) {
                Some(name) => Ok(Scalar::Text(name.clone())),
                None => Err(ValueError::NotInEnumeration { allowed: names.join(", ") }),
            },
            LeafType::Union(members) => {
                let mut errors = Vec::new();
                for member in members {
                    match member.parse(text) {
                        Ok(value) => return Ok(value),
                        Err(error) => errors.push(error),
                    }
                }
                Err(ValueError::NoUnionMember(errors))
            }
            LeafType::Empty => match text.trim() {
                "" => Ok(Scalar::Empty),
                _ => Err(ValueError::NotEmpty),
            },
        }
    }

    /// Whether JSON writes the value in quotes: text, and numbers of 64 bits (RFC 7951, section 6.1).
    pub fn is_quoted_in_json(&self, value: &Scalar) -> bool {
        match (self, value) {
            (_, Scalar::Text(_)) | (LeafType::Decimal { .. }, _) => true,
            (LeafType::Unsigned { bits, .. } | LeafType::Signed { bits, .. }, _) => *bits == 64,
            (LeafType::Union(members), value) => {
                let text = value.to_string();
                let member = members.iter().find(|member| member.parse(&text).as_ref() == Ok(value));
                member.is_some_and(|member| member.is_quoted_in_json(value))
            }
            _ => false,
        }
    }
}

/// Parses a `decimal64` into units of its last digit; none where it has more digits, or is too large.
pub fn parse_decimal_units(text: &str, digits: u8) -> Option<i64> {
    let (negative, plain) = match text.strip_prefix('-') {
        Some(rest) => (true, rest),
        None => (false, text.strip_prefix('+').unwrap_or(text)),
    };
    let (whole, fraction) = plain.split_once('.').unwrap_or((plain, "0"));
    let is_digits = |text: &str| !text.is_empty() && text.bytes().all(|byte| byte.is_ascii_digit());
    if !is_digits(whole) || !is_digits(fraction) || fraction.len() > usize::from(digits) {
        return None;
    }
    let fraction = format!("{fraction:0<width$}", width = usize::from(digits));
    let units = format!("{whole}{fraction}").parse::<i64>().ok()?;
    Some(if negative { -units } else { units })
}

fn parse_text(text: &str, lengths: &Ranges<u64>, patterns: &[(String, Regex)]) -> Result<Scalar, ValueError> {
    if !is_within(lengths, text.chars().count() as u64) {
        return Err(ValueError::Length { allowed: list_ranges(lengths) });
    }
    if text.chars().any(|c| c.is_control() && !matches!(c, '\t' | '\n' | '\r')) {
        return Err(ValueError::ControlCharacter);
    }
    match patterns.iter().find(|(_, regex)| !regex.is_match(text)) {
        Some((pattern, _)) => Err(ValueError::Pattern { pattern: pattern.clone() }),
        None => Ok(Scalar::Text(text.to_string())),
    }
}

fn parse_unsigned(text: &str, bits: u8, ranges: &Ranges<u64>) -> Result<Scalar, ValueError> {
    let max = u64::MAX >> (64 - u32::from(bits));
    let number = text.strip_prefix('+').unwrap_or(text).parse::<u64>().ok();
    match number.filter(|number| *number <= max && is_within(ranges, *number)) {
        Some(number) => Ok(Scalar::Unsigned(number)),
        None if ranges.is_empty() => Err(ValueError::NotInType { min: 0, max: max.into() }),
        None => Err(ValueError::NotInRange { allowed: list_ranges(ranges) }),
    }
}

fn parse_signed(text: &str, bits: u8, ranges: &Ranges<i64>) -> Result<Scalar, ValueError> {
    let max = i64::MAX >> (64 - u32::from(bits));
    let min = -max - 1;
    let number = text.parse::<i64>().ok();
    match number.filter(|number| (min..=max).contains(number) && is_within(ranges, *number)) {
        Some(number) => Ok(Scalar::Signed(number)),
        None if ranges.is_empty() => Err(ValueError::NotInType { min: min.into(), max: max.into() }),
        None => Err(ValueError::NotInRange { allowed: list_ranges(ranges) }),
    }
}

fn parse_decimal(text: &str, digits: u8, ranges: &Ranges<i64>) -> Result<Scalar, ValueError> {
    match parse_decimal_units(text, digits) {
        Some(units) if is_within(ranges, units) => Ok(Scalar::Decimal(units, digits)),
        _ if ranges.is_empty() => Err(ValueError::NotADecimal { digits }),
        _ => {
            let decimal = |units: &i64| Scalar::Decimal(*units, digits);
            let ranges: Ranges<Scalar> =
                ranges.iter().map(|(min, max)| (decimal(min), decimal(max))).collect();
            Err(ValueError::NotInRange { allowed: list_ranges(&ranges) })
        }
    }
}

fn is_within<T: PartialOrd + Copy>(ranges: &[(T, T)], value: T) -> bool {
    ranges.is_empty() || ranges.iter().any(|(min, max)| *min <= value && value <= *max)
}

fn list_ranges<T: fmt::Display>(ranges: &[(T, T)]) -> String {
    let texts: Vec<_> = ranges.iter().map(|(min, max)| format!("{min}..{max}")).collect();
    texts.join(" | ")
}
