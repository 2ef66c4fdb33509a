//! Snapshots after a crash or a disk failure at every step of a save, and after damage to the files.

use rockflow_store::faulty::{FaultyDisk, UnsyncedBytes};
use rockflow_store::{Folder, Opened, SaveError, Store};
use test_case::test_case;

const MAX_BYTES: usize = 4096;

fn open(disk: FaultyDisk) -> Opened<FaultyDisk> {
    Store::open(disk, "marks", 1, MAX_BYTES).unwrap()
}

/// The payload of the newest readable snapshot of a disk.
fn newest_payload(disk: FaultyDisk) -> Option<Vec<u8>> {
    open(disk).snapshot.map(|snapshot| snapshot.payload)
}

fn payload(number: usize) -> Vec<u8> {
    format!("commit {number} ").repeat(20).into_bytes()
}

/// A disk after `saves` saves, with nothing left to sync.
fn disk_after(saves: usize) -> FaultyDisk {
    let mut store = open(FaultyDisk::default()).store;
    (0..saves).for_each(|number| {
        store.save(&payload(number)).unwrap();
    });
    store.disk().clone().after_crash(usize::MAX, UnsyncedBytes::All)
}

/// Guards against a torn snapshot and a lost acknowledged one. The process dies at each step of two saves; each time,
/// every possible number of unsynced changes of names and every case of unsynced bytes survives the crash.
#[test]
fn crash_leaves_old_or_new_snapshot_complete_and_loses_nothing_acknowledged() {
    let mut crash_points = 0;
    for saves_before in 0..4 {
        for step in 0.. {
            let mut store = open(disk_after(saves_before).dying_at(step)).store;
            let mut acknowledged = saves_before.checked_sub(1);
            for number in saves_before..saves_before + 2 {
                if store.save(&payload(number)).is_ok() {
                    acknowledged = Some(number);
                }
            }
            let disk = store.disk().clone();
            for name_changes in 0..=disk.unsynced_names() {
                for unsynced in UnsyncedBytes::EACH {
                    crash_points += 1;
                    let Opened { store: mut restarted, snapshot, .. } =
                        open(disk.after_crash(name_changes, unsynced));
                    let last_acknowledged = acknowledged.map(payload);
                    let following = payload(acknowledged.map_or(0, |acknowledged| acknowledged + 1));
                    let found = snapshot.map(|snapshot| snapshot.payload);
                    let is_expected = found == last_acknowledged || found.as_ref() == Some(&following);
                    assert!(
                        is_expected,
                        "{saves_before} saves before, step {step}, {name_changes} name changes, {unsynced:?}: {found:?}"
                    );
                    // The files that the crash left behind don't keep the next save from being durable.
                    restarted.save(b"next").unwrap();
                    let disk = restarted.disk().after_crash(0, UnsyncedBytes::Lost);
                    assert_eq!(newest_payload(disk), Some(b"next".to_vec()));
                }
            }
            if !disk.has_died() {
                break;
            }
        }
    }
    println!("{crash_points} crash points, 0 torn, 0 lost");
    assert!(crash_points > 300, "{crash_points}");
}

#[test]
fn failed_step_leaves_last_snapshot_and_next_save_succeeds() {
    for step in 0..5 {
        let mut store = open(disk_after(3).failing_at([step])).store;
        let saved = store.save(&payload(3));
        let disk = store.disk().clone();
        for name_changes in 0..=disk.unsynced_names() {
            for unsynced in UnsyncedBytes::EACH {
                let found = newest_payload(disk.after_crash(name_changes, unsynced)).unwrap();
                let acknowledged = if saved.is_ok() { payload(3) } else { payload(2) };
                assert_eq!(found, acknowledged, "step {step}, {name_changes} name changes, {unsynced:?}");
            }
        }
        store.save(&payload(4)).unwrap();
        assert_eq!(newest_payload(store.disk().clone()).unwrap(), payload(4));
    }
}

#[test]
fn reports_uncertain_save_where_folder_can_not_be_synced() {
    // The write, the sync and the rename (steps 0 to 2) succeed; the sync of the folder and the removal that undoes the
    // save fail.
    let mut store = open(disk_after(1).failing_at([3, 4])).store;
    assert!(matches!(store.save(&payload(1)), Err(SaveError::Uncertain(_))));
    store.save(&payload(2)).unwrap();
    let disk = store.disk().after_crash(0, UnsyncedBytes::Lost);
    assert_eq!(newest_payload(disk).unwrap(), payload(2));
}

#[test]
fn full_disk_retains_last_snapshot_and_frees_the_temporary_file() {
    let disk = disk_after(2);
    let used: usize = disk.names().iter().map(|name| disk.bytes(name).unwrap().len()).sum();
    let mut store = open(disk.with_capacity(used + 10)).store;
    assert!(matches!(store.save(&payload(9)), Err(SaveError::NotSaved(_))));
    assert!(!store.disk().names().iter().any(|name| name.ends_with("aside")));
    assert_eq!(newest_payload(store.disk().clone()).unwrap(), payload(1));
}

#[test]
fn read_only_disk_still_reads() {
    let Opened { mut store, snapshot, .. } = open(disk_after(2).read_only());
    assert_eq!(snapshot.unwrap().payload, payload(1));
    assert!(matches!(store.save(&payload(2)), Err(SaveError::NotSaved(_))));
}

#[test]
fn detects_every_flipped_bit() {
    let disk = disk_after(2);
    let newest_file = disk.names().into_iter().max().unwrap();
    let bytes = disk.bytes(&newest_file).unwrap().to_vec();
    for bit in 0..bytes.len() * 8 {
        let (mut damaged, mut disk) = (bytes.clone(), disk.clone());
        damaged[bit / 8] ^= 1 << (bit % 8);
        disk.insert_synced(&newest_file, &damaged);
        let Opened { snapshot, unreadable, .. } = open(disk);
        assert_eq!(snapshot.unwrap().payload, payload(0), "bit {bit}");
        assert_eq!(unreadable.len(), 1);
    }
}

#[test_case(&[], "shorter"; "empty")]
#[test_case(&[7; 400], "not a file"; "foreign")]
#[test_case(&[0; MAX_BYTES * 2], "large"; "larger than the cap")]
fn skips_foreign_files_and_does_not_change_them(bytes: &[u8], expected_reason: &str) {
    let mut disk = disk_after(2);
    let foreign = format!("marks.{:020}", 77);
    disk.insert_synced(&foreign, bytes);
    let Opened { mut store, snapshot, unreadable } = open(disk);
    assert_eq!(snapshot.unwrap().payload, payload(1));
    assert!(unreadable[0].to_string().contains(expected_reason), "{unreadable:?}");
    assert_eq!(store.save(&payload(5)).unwrap(), 78);
    assert_eq!(store.disk().bytes(&foreign), Some(bytes));
    assert_eq!(newest_payload(store.disk().clone()).unwrap(), payload(5));
}

#[test]
fn skips_newer_format_and_leaves_it_for_the_newer_program() {
    let mut newer = Store::open(disk_after(2), "marks", 9, MAX_BYTES).unwrap().store;
    newer.save(b"newer").unwrap();
    let Opened { snapshot, unreadable, .. } = open(newer.disk().clone());
    assert_eq!(snapshot.unwrap().payload, payload(1));
    assert!(unreadable[0].to_string().contains("newer"), "{unreadable:?}");
}

#[test]
fn rejects_payload_too_large_to_be_read_back() {
    let mut store = open(FaultyDisk::default()).store;
    assert!(matches!(store.save(&[0; MAX_BYTES + 1]), Err(SaveError::TooLarge { .. })));
    assert_eq!(store.disk().steps(), 0);
}

#[test]
fn folder_reads_back_its_snapshots_and_can_not_be_opened_twice() {
    let path = std::env::temp_dir().join(format!("rockflow-store-{}", std::process::id()));
    let Opened { mut store, snapshot, .. } =
        Store::open(Folder::open(&path).unwrap(), "marks", 1, MAX_BYTES).unwrap();
    assert!(snapshot.is_none());
    (0..4).for_each(|number| {
        store.save(&payload(number)).unwrap();
    });
    let error = Folder::open(&path).err().unwrap();
    assert_eq!(error.kind(), std::io::ErrorKind::ResourceBusy);
    drop(store);
    let Opened { snapshot, .. } = Store::open(Folder::open(&path).unwrap(), "marks", 1, MAX_BYTES).unwrap();
    assert_eq!(snapshot.unwrap().payload, payload(3));
    // The lock file and the two retained snapshots.
    assert_eq!(std::fs::read_dir(&path).unwrap().count(), 3);
    std::fs::remove_dir_all(&path).unwrap();
}
