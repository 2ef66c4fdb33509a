//! Checks which values the leaf types accept, and their canonical text.

use rockflow_yang::types::parse_decimal_units;
use rockflow_yang::{LeafType, Scalar};
use test_case::test_case;

#[test_case("0.500", 3, Some("0.5"))]
#[test_case("-12", 2, Some("-12.0"))]
#[test_case("1.2345", 3, None; "more fraction digits than the type has")]
#[test_case("1e3", 3, None)]
#[test_case("", 3, None; "empty text")]
#[test_case("99999999999999999999", 1, None; "too large")]
fn decimal_has_one_canonical_text(text: &str, digits: u8, canonical: Option<&str>) {
    let written = parse_decimal_units(text, digits).map(|units| Scalar::Decimal(units, digits).to_string());
    assert_eq!(written.as_deref(), canonical);
}

#[test_case(8, "255", true)]
#[test_case(8, "256", false)]
#[test_case(64, "18446744073709551615", true)]
#[test_case(16, "-1", false)]
#[test_case(16, "0x10", false)]
fn number_fits_the_bits_of_its_type(bits: u8, text: &str, fits: bool) {
    assert_eq!(LeafType::Unsigned { bits, ranges: Vec::new() }.parse(text).is_ok(), fits);
}
