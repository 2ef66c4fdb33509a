//! Leaf types and leaf values: their lexical form, restrictions and canonical text (RFC 7950, section 9).

use crate::error::ValueError;
use regex_lite::Regex;
use std::fmt;

/// A leaf's value in canonical form.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Scalar {
    /// A value of a string type, or a name of an enumeration.
    Text(String),
    /// A value of an unsigned integer type.
    Unsigned(u64),
    /// A value of a signed integer type.
    Signed(i64),
    /// A value of type `boolean`.
    Bool(bool),
    /// A `decimal64`: the value in units of its last fraction digit, and the number of fraction digits.
    Decimal(i64, u8),
    /// The value of a leaf of type `empty`.
    Empty,
}

/// The key values that identify a list entry, in the order of the list's keys. In a path step, also the single value
/// that identifies an entry of a leaf-list.
pub type KeyValues = Vec<Scalar>;

impl fmt::Display for Scalar {
    /// Writes the canonical form of the value (RFC 7950, section 9.1).
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Scalar::Text(text) => f.write_str(text),
            Scalar::Unsigned(number) => write!(f, "{number}"),
            Scalar::Signed(number) => write!(f, "{number}"),
            Scalar::Bool(value) => write!(f, "{value}"),
            Scalar::Decimal(units, digits) => {
                let units_per_one = 10u64.pow(u32::from(*digits));
                let integer = units.unsigned_abs() / units_per_one;
                let fraction = units.unsigned_abs() % units_per_one;
                let sign = if *units < 0 { "-" } else { "" };
                let fraction = format!("{fraction:0width$}", width = usize::from(*digits));
                let fraction = fraction.trim_end_matches('0');
                write!(f, "{sign}{integer}.{}", if fraction.is_empty() { "0" } else { fraction })
            }
            Scalar::Empty => Ok(()),
        }
    }
}

impl Scalar {
    /// Builds a [`Scalar::Text`].
    pub fn text(text: impl Into<String>) -> Scalar {
        Scalar::Text(text.into())
    }

    /// The string of a [`Scalar::Text`]; `None` for other variants.
    pub fn as_text(&self) -> Option<&str> {
        match self {
            Scalar::Text(text) => Some(text),
            _ => None,
        }
    }

    /// The number of a [`Scalar::Unsigned`]; `None` for other variants.
    pub fn as_u64(&self) -> Option<u64> {
        match self {
            Scalar::Unsigned(number) => Some(*number),
            _ => None,
        }
    }

    /// The value of a [`Scalar::Bool`]; `None` for other variants.
    pub fn as_bool(&self) -> Option<bool> {
        match self {
            Scalar::Bool(value) => Some(*value),
            _ => None,
        }
    }
}

/// Inclusive ranges of allowed values. An empty list allows every value of the base type.
pub type Ranges<T> = Vec<(T, T)>;

/// The type of a leaf or leaf-list, with its restrictions.
#[derive(Clone, Debug)]
pub enum LeafType {
    /// The built-in type `string`.
    Text {
        /// The allowed lengths in characters.
        lengths: Ranges<u64>,
        /// The patterns, each as written in the module and as a compiled expression. A value has to match all of them.
        patterns: Vec<(String, Regex)>,
    },
    /// The built-in types `uint8` to `uint64`.
    Unsigned {
        /// Width of the built-in type in bits.
        bits: u8,
        /// The allowed values.
        ranges: Ranges<u64>,
    },
    /// The built-in types `int8` to `int64`.
    Signed {
        /// Width of the built-in type in bits.
        bits: u8,
        /// The allowed values.
        ranges: Ranges<i64>,
    },
    /// The built-in type `decimal64`.
    Decimal {
        /// Number of digits after the decimal point.
        digits: u8,
        /// The allowed values, in units of the last fraction digit.
        ranges: Ranges<i64>,
    },
    /// The built-in type `boolean`.
    Bool,
    /// The built-in type `enumeration`, with its allowed names.
    Enumeration(Vec<String>),
    /// The built-in type `union`, with its member types. A value is of the first member type that accepts its text.
    Union(Vec<LeafType>),
    /// The built-in type `empty`.
    Empty,
}

impl LeafType {
    /// Parses the lexical form of a value. The error describes the allowed values.
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

    /// Whether the value is a string in JSON, as text, `decimal64` and 64-bit numbers are (RFC 7951, section 6.1).
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

/// Parses a `decimal64` into units of its last fraction digit. `None` for a text that is no decimal number, has more
/// than `digits` fraction digits or is out of range.
pub fn parse_decimal_units(text: &str, digits: u8) -> Option<i64> {
    let (negative, unsigned) = match text.strip_prefix('-') {
        Some(rest) => (true, rest),
        None => (false, text.strip_prefix('+').unwrap_or(text)),
    };
    let (integer, fraction) = unsigned.split_once('.').unwrap_or((unsigned, "0"));
    let is_digits = |text: &str| !text.is_empty() && text.bytes().all(|byte| byte.is_ascii_digit());
    if !is_digits(integer) || !is_digits(fraction) || fraction.len() > usize::from(digits) {
        return None;
    }
    let fraction = format!("{fraction:0<width$}", width = usize::from(digits));
    let units = format!("{integer}{fraction}").parse::<i64>().ok()?;
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
