//! Types and values: their lexical form, their restrictions and their canonical text (RFC 7950, section 9).

use regex_lite::Regex;
use std::fmt;

/// A value in canonical form.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Scalar {
    Text(String),
    Unsigned(u64),
    Signed(i64),
    Bool(bool),
    /// Units of the last of so many digits behind the point.
    Decimal(i64, u8),
    Empty,
}

/// A list entry's key values, in the order of the list's keys.
pub type KeyValues = Vec<Scalar>;

impl fmt::Display for Scalar {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Scalar::Text(text) => f.write_str(text),
            Scalar::Unsigned(number) => write!(f, "{number}"),
            Scalar::Signed(number) => write!(f, "{number}"),
            Scalar::Bool(value) => write!(f, "{value}"),
            Scalar::Decimal(units, digits) => {
                let one = 10u64.pow(u32::from(*digits));
                let (whole, part) = (units.unsigned_abs() / one, units.unsigned_abs() % one);
                let sign = if *units < 0 { "-" } else { "" };
                let part = format!("{part:0width$}", width = usize::from(*digits));
                let part = part.trim_end_matches('0');
                write!(f, "{sign}{whole}.{}", if part.is_empty() { "0" } else { part })
            }
            Scalar::Empty => Ok(()),
        }
    }
}

impl Scalar {
    pub fn text(text: impl Into<String>) -> Scalar {
        Scalar::Text(text.into())
    }

    pub fn as_text(&self) -> Option<&str> {
        match self {
            Scalar::Text(text) => Some(text),
            _ => None,
        }
    }

    pub fn as_u64(&self) -> Option<u64> {
        match self {
            Scalar::Unsigned(number) => Some(*number),
            _ => None,
        }
    }

    pub fn as_bool(&self) -> Option<bool> {
        match self {
            Scalar::Bool(value) => Some(*value),
            _ => None,
        }
    }
}

/// Inclusive spans; empty: anything that the base type holds.
pub type Spans<T> = Vec<(T, T)>;

#[derive(Clone, Debug)]
pub enum LeafType {
    Text { lengths: Spans<u64>, patterns: Vec<(String, Regex)> },
    Unsigned { bits: u8, spans: Spans<u64> },
    Signed { bits: u8, spans: Spans<i64> },
    Decimal { digits: u8, spans: Spans<i64> },
    Bool,
    Enumeration(Vec<String>),
    Union(Vec<LeafType>),
    Empty,
}

fn within<T: PartialOrd + Copy>(spans: &[(T, T)], value: T) -> bool {
    spans.is_empty() || spans.iter().any(|(least, most)| *least <= value && value <= *most)
}

fn listed<T: fmt::Display>(spans: &[(T, T)]) -> String {
    let texts: Vec<_> = spans.iter().map(|(least, most)| format!("{least}..{most}")).collect();
    texts.join(" | ")
}

impl LeafType {
    /// Reads a value's lexical form; the fault says what is allowed.
    pub fn parse(&self, text: &str) -> Result<Scalar, String> {
        match self {
            LeafType::Text { lengths, patterns } => {
                if !within(lengths, text.chars().count() as u64) {
                    return Err(format!("must be {} characters long", listed(lengths)));
                }
                if text.chars().any(|c| c.is_control() && !matches!(c, '\t' | '\n' | '\r')) {
                    return Err("holds a control character".to_string());
                }
                match patterns.iter().find(|(_, regex)| !regex.is_match(text)) {
                    Some((pattern, _)) => Err(format!("must match {pattern}")),
                    None => Ok(Scalar::Text(text.to_string())),
                }
            }
            LeafType::Unsigned { bits, spans } => {
                let most = u64::MAX >> (64 - u32::from(*bits));
                let number = text.trim().strip_prefix('+').unwrap_or(text.trim()).parse::<u64>();
                let number = number.ok().filter(|number| *number <= most);
                match number.filter(|number| within(spans, *number)) {
                    Some(number) => Ok(Scalar::Unsigned(number)),
                    None if spans.is_empty() => Err(format!("must be a number from 0 to {most}")),
                    None => Err(format!("must be a number in {}", listed(spans))),
                }
            }
            LeafType::Signed { bits, spans } => {
                let most = i64::MAX >> (64 - u32::from(*bits));
                let number = text.trim().parse::<i64>().ok();
                let number = number.filter(|number| (-most - 1..=most).contains(number));
                match number.filter(|number| within(spans, *number)) {
                    Some(number) => Ok(Scalar::Signed(number)),
                    None if spans.is_empty() => Err(format!("must be a number from {} to {most}", -most - 1)),
                    None => Err(format!("must be a number in {}", listed(spans))),
                }
            }
            LeafType::Decimal { digits, spans } => match decimal(text.trim(), *digits) {
                Some(units) if within(spans, units) => Ok(Scalar::Decimal(units, *digits)),
                _ if spans.is_empty() => {
                    Err(format!("must be a number with {digits} digits behind the point at most"))
                }
                _ => {
                    let texts: Spans<Scalar> = spans
                        .iter()
                        .map(|(least, most)| {
                            (Scalar::Decimal(*least, *digits), Scalar::Decimal(*most, *digits))
                        })
                        .collect();
                    Err(format!("must be a number in {}", listed(&texts)))
                }
            },
            LeafType::Bool => match text.trim() {
                "true" => Ok(Scalar::Bool(true)),
                "false" => Ok(Scalar::Bool(false)),
                _ => Err("must be true or false".to_string()),
            },
            LeafType::Enumeration(names) => match names.iter().find(|name| *name == text.trim()) {
                Some(name) => Ok(Scalar::Text(name.clone())),
                None => Err(format!("must be one of {}", names.join(", "))),
            },
            LeafType::Union(members) => {
                let mut faults = Vec::new();
                for member in members {
                    match member.parse(text) {
                        Ok(value) => return Ok(value),
                        Err(fault) => faults.push(fault),
                    }
                }
                Err(faults.join(", or "))
            }
            LeafType::Empty => match text.trim() {
                "" => Ok(Scalar::Empty),
                _ => Err("must be empty".to_string()),
            },
        }
    }

    /// Whether JSON writes it in quotes: text, and numbers of 64 bits (RFC 7951, section 6.1).
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

/// A decimal64 value in units of its last digit; none where it has more digits, or is too large.
pub fn decimal(text: &str, digits: u8) -> Option<i64> {
    let (negative, plain) = match text.strip_prefix('-') {
        Some(rest) => (true, rest),
        None => (false, text.strip_prefix('+').unwrap_or(text)),
    };
    let (whole, part) = plain.split_once('.').unwrap_or((plain, "0"));
    let plain_digits = |text: &str| !text.is_empty() && text.bytes().all(|byte| byte.is_ascii_digit());
    if !plain_digits(whole) || !plain_digits(part) || part.len() > usize::from(digits) {
        return None;
    }
    let part = format!("{part:0<width$}", width = usize::from(digits));
    let units = format!("{whole}{part}").parse::<i64>().ok()?;
    Some(if negative { -units } else { units })
}

#[cfg(test)]
mod tests {
    use super::*;
    use test_case::test_case;

    #[test_case("0.500", 3, Some("0.5"))]
    #[test_case("-12", 2, Some("-12.0"))]
    #[test_case("1.2345", 3, None; "more digits than told")]
    #[test_case("1e3", 3, None)]
    #[test_case("", 3, None; "nothing")]
    #[test_case("99999999999999999999", 1, None; "too large")]
    fn decimals_have_one_form(text: &str, digits: u8, canonical: Option<&str>) {
        let read = decimal(text, digits).map(|units| Scalar::Decimal(units, digits).to_string());
        assert_eq!(read.as_deref(), canonical);
    }

    #[test_case(8, "255", true)]
    #[test_case(8, "256", false)]
    #[test_case(64, "18446744073709551615", true)]
    #[test_case(16, "-1", false)]
    #[test_case(16, "0x10", false)]
    fn numbers_keep_to_their_bits(bits: u8, text: &str, fits: bool) {
        assert_eq!(LeafType::Unsigned { bits, spans: Vec::new() }.parse(text).is_ok(), fits);
    }
}
