//! Frames that somebody spoiled, for the tests of both carriers' frames.

use rockflow_transport::{DatagramError, MAX_DATAGRAM_BYTES};

/// With its checksum made to fit again.
pub fn resealed(mut bytes: Vec<u8>) -> Vec<u8> {
    let length = bytes.len() - 4;
    let sum = crc32fast::hash(&bytes[..length]);
    bytes[length..].copy_from_slice(&sum.to_le_bytes());
    bytes
}

/// What is not whole, whichever carrier's frame it was, and why it is not taken.
pub fn not_whole(frame: &[u8]) -> Vec<(&'static str, Vec<u8>, DatagramError)> {
    let spoil = |name, fault, how: fn(&mut Vec<u8>)| {
        let mut bytes = frame.to_vec();
        how(&mut bytes);
        (name, bytes, fault)
    };
    vec![
        spoil("cut in its head", DatagramError::Foreign, |bytes| bytes.truncate(3)),
        spoil("another mark", DatagramError::Foreign, |bytes| bytes[0] = 0),
        spoil("a flipped bit", DatagramError::Checksum, |bytes| {
            let middle = bytes.len() / 2;
            bytes[middle] ^= 1;
        }),
        spoil("cut", DatagramError::Checksum, |bytes| bytes.truncate(bytes.len() - 1)),
        spoil("longer than any", DatagramError::TooLarge, |bytes| bytes.resize(MAX_DATAGRAM_BYTES + 1, 0)),
        spoil("more behind it", DatagramError::Unreadable, |bytes| {
            bytes.insert(bytes.len() - 4, 0);
            *bytes = resealed(bytes.clone());
        }),
    ]
}

/// Any bytes at all, and any change of good ones with a checksum that fits: 100,000 of each are read or refused, never
/// a panic. `reads` says whether a frame is taken.
pub fn none_makes_it_panic(good: &[Vec<u8>], reads: impl Fn(&[u8]) -> bool) {
    let mut chance = oorandom::Rand64::new(1);
    let mut read = 0;
    for turn in 0..100_000 {
        let mut bytes = good[turn % good.len()].clone();
        for _ in 0..=chance.rand_range(0..4) {
            let at = chance.rand_range(0..bytes.len() as u64) as usize;
            bytes[at] = chance.rand_u64() as u8;
        }
        read += usize::from(reads(&resealed(bytes)));
        let length = chance.rand_range(0..64) as usize;
        let noise: Vec<u8> = (0..length).map(|_| chance.rand_u64() as u8).collect();
        assert!(!reads(&noise));
    }
    assert!(read > 0);
}
