//! Malformed datagrams, for the tests of both codecs.

use rockflow_transport::{DatagramError, MAX_DATAGRAM_BYTES};

const CHECKSUM_BYTES: usize = 4;
/// How many modified datagrams, and how many datagrams of random bytes, [`assert_decode_never_panics`] decodes.
const RANDOM_DATAGRAMS: usize = 100_000;

/// A datagram that has to be rejected.
pub struct Malformed {
    /// What is wrong with it.
    pub name: &'static str,
    pub bytes: Vec<u8>,
    /// The error that decoding has to return.
    pub error: DatagramError,
}

/// Replaces the checksum by that of the changed content, so that the checksum does not hide a fault of the content.
pub fn with_valid_checksum(mut bytes: Vec<u8>) -> Vec<u8> {
    let length = bytes.len() - CHECKSUM_BYTES;
    let checksum = crc32fast::hash(&bytes[..length]);
    bytes[length..].copy_from_slice(&checksum.to_le_bytes());
    bytes
}

/// Truncated, extended and corrupted variants of a valid datagram, which every codec has to reject.
pub fn malformed_variants(valid: &[u8]) -> Vec<Malformed> {
    let variant = |name, error, modify: fn(&mut Vec<u8>)| {
        let mut bytes = valid.to_vec();
        modify(&mut bytes);
        Malformed { name, bytes, error }
    };
    vec![
        variant("truncated header", DatagramError::Foreign, |bytes| bytes.truncate(3)),
        variant("other magic bytes", DatagramError::Foreign, |bytes| bytes[0] = 0),
        variant("flipped bit", DatagramError::Checksum, |bytes| {
            let middle = bytes.len() / 2;
            bytes[middle] ^= 1;
        }),
        variant("last byte missing", DatagramError::Checksum, |bytes| bytes.truncate(bytes.len() - 1)),
        variant("above the maximum size", DatagramError::TooLarge, |bytes| {
            bytes.resize(MAX_DATAGRAM_BYTES + 1, 0)
        }),
        variant("trailing byte before a valid checksum", DatagramError::Unreadable, |bytes| {
            bytes.insert(bytes.len() - CHECKSUM_BYTES, 0);
            *bytes = with_valid_checksum(bytes.clone());
        }),
    ]
}

/// Decodes [`RANDOM_DATAGRAMS`] random modifications of valid datagrams, each with a valid checksum, and as many datagrams
/// of random bytes. None may cause a panic, and random bytes must be rejected. `is_accepted` decodes a datagram and returns
/// whether that succeeded.
pub fn assert_decode_never_panics(valid: &[Vec<u8>], is_accepted: impl Fn(&[u8]) -> bool) {
    let mut rng = oorandom::Rand64::new(1);
    let mut accepted = 0;
    for round in 0..RANDOM_DATAGRAMS {
        let mut bytes = valid[round % valid.len()].clone();
        for _ in 0..=rng.rand_range(0..4) {
            let index = rng.rand_range(0..bytes.len() as u64) as usize;
            bytes[index] = rng.rand_u64() as u8;
        }
        accepted += usize::from(is_accepted(&with_valid_checksum(bytes)));
        let length = rng.rand_range(0..64) as usize;
        let noise: Vec<u8> = (0..length).map(|_| rng.rand_u64() as u8).collect();
        assert!(!is_accepted(&noise));
    }
    assert!(accepted > 0);
}
