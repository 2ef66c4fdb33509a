//! Settings and helpers for the tests of the wire protocol.

/// Settings of one class, for one instance in location 1.
pub const SETTINGS: &str = "az=1\ndcs=hub,edge\ndiscovery=pushed\nmodels=box,parent,origin\npeersTotal=1\nslotNo=0\n\
    familyInfo.midKind=1\nfamilyInfo.rootKind=2\nfamilyInfo.seatsByZone=0,1\nfamilyInfo.lifetimeByClassUs=0\n\
    familyInfo.staleForUs=0\nfamilyInfo.uncached=false\nfamilyInfo.noteLevel=all\nfamilyInfo.sharesFills=true\n\
    familyInfo.straight=false\nfamilyInfo.streamKbPerS=1000.0\nfamilyInfo.purgeDoneUs=6000000\n\
    familyInfo.upperColdFrom=0.1\nfamilyInfo.parentColdUs=20000000\nfamilyInfo.parentFallMultiple=2.0\n\
    grades.count=1\ngrades.0.repeat=idempotent\ngrades.0.objectiveUs=500000\ngrades.0.deadlineUs=5000000\n\
    grades.0.importance=1.0\ngrades.0.lateValue=0.2\nlimits.secondCopies=true\nlimits.cancel=true\n\
    limits.probes=false\nlimits.tryLimit=6\nlimits.mostHeld=1000\nlimits.retryAfter=false\nweights=nominal\n\
    rules.startCapacity=0.25\nrules.rampTimeUs=9000000\nrules.fallMultiple=2.0\nrules.tipAfterUs=2000000\nnew.key=1\n";

/// Bytes from hexadecimal digits; spaces are skipped.
pub fn hex(text: &str) -> Vec<u8> {
    let digits: Vec<u8> = text.bytes().filter(|byte| !byte.is_ascii_whitespace()).collect();
    let byte = |pair: &[u8]| u8::from_str_radix(std::str::from_utf8(pair).unwrap(), 16).unwrap();
    digits.chunks(2).map(byte).collect()
}
