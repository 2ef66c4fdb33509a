//! A process killed, or failed by its disk, at every step of a save.

use rockflow_store::faulty::{Disk, EVERY_BYTES};
use rockflow_store::{Fault, Folder, Found, Store};
use test_case::test_case;

const MOST: usize = 4096;

fn open(disk: Disk) -> (Store<Disk>, Option<Found>, Vec<String>) {
    Store::open(disk, "marks", 1, MOST).unwrap()
}

fn payload(number: usize) -> Vec<u8> {
    format!("commit {number} ").repeat(20).into_bytes()
}

/// A disk on which so many were saved, with nothing pending.
fn after(saves: usize) -> Disk {
    let (mut store, ..) = open(Disk::default());
    (0..saves).for_each(|number| {
        store.save(&payload(number)).unwrap();
    });
    store.disk().clone().after_crash(usize::MAX, rockflow_store::faulty::Bytes::All)
}

/// Every step of the saves that follow, every part of the unsynced names, every fate of unsynced bytes.
#[test]
fn a_crash_leaves_the_old_or_the_new_whole_and_loses_nothing_told() {
    let mut points = 0;
    for before in 0..4 {
        for step in 0.. {
            let (mut store, ..) = open(after(before).dying_at(step));
            let mut told = before.checked_sub(1);
            for number in before..before + 2 {
                if store.save(&payload(number)).is_ok() {
                    told = Some(number);
                }
            }
            let disk = store.disk().clone();
            for names in 0..=disk.pending() {
                for bytes in EVERY_BYTES {
                    points += 1;
                    let (mut again, found, _) = open(disk.after_crash(names, bytes));
                    let least = told.map(payload);
                    let next = payload(told.map_or(0, |told| told + 1));
                    let found = found.map(|found| found.payload);
                    let whole = found == least || found.as_ref() == Some(&next);
                    assert!(whole, "before {before} step {step} names {names} {bytes:?}: {found:?}");
                    // Whatever was left behind, the next save holds.
                    again.save(b"next").unwrap();
                    let disk = again.disk().after_crash(0, rockflow_store::faulty::Bytes::Synced);
                    assert_eq!(open(disk).1.map(|found| found.payload), Some(b"next".to_vec()));
                }
            }
            if !disk.died() {
                break;
            }
        }
    }
    println!("{points} crash points, 0 torn, 0 lost");
    assert!(points > 300, "{points}");
}

#[test]
fn a_failed_step_leaves_what_was_and_the_next_save_holds() {
    for step in 0..5 {
        let (mut store, ..) = open(after(3).failing_at([step]));
        let saved = store.save(&payload(3));
        let disk = store.disk().clone();
        for names in 0..=disk.pending() {
            for bytes in EVERY_BYTES {
                let found = open(disk.after_crash(names, bytes)).1.unwrap().payload;
                let told = if saved.is_ok() { payload(3) } else { payload(2) };
                assert_eq!(found, told, "step {step} names {names} {bytes:?}");
            }
        }
        store.save(&payload(4)).unwrap();
        assert_eq!(open(store.disk().clone()).1.unwrap().payload, payload(4));
    }
}

#[test]
fn a_folder_that_can_not_be_synced_is_told_as_unsure() {
    // The write, the sync and the rename pass; the folder's sync and the taking back fail.
    let (mut store, ..) = open(after(1).failing_at([3, 4]));
    assert!(matches!(store.save(&payload(1)), Err(Fault::Unsure(_))));
    store.save(&payload(2)).unwrap();
    let disk = store.disk().after_crash(0, rockflow_store::faulty::Bytes::Synced);
    assert_eq!(open(disk).1.unwrap().payload, payload(2));
}

#[test]
fn a_full_disk_keeps_the_last_and_frees_what_it_took() {
    let full = after(2);
    let used: usize = full.names().iter().map(|name| full.bytes(name).unwrap().len()).sum();
    let (mut store, ..) = open(full.with_room(used + 10));
    assert!(matches!(store.save(&payload(9)), Err(Fault::NotSaved(_))));
    assert!(!store.disk().names().iter().any(|name| name.ends_with("aside")));
    assert_eq!(open(store.disk().clone()).1.unwrap().payload, payload(1));
}

#[test]
fn a_disk_that_takes_no_writes_still_reads() {
    let (mut store, found, _) = open(after(2).read_only());
    assert_eq!(found.unwrap().payload, payload(1));
    assert!(matches!(store.save(&payload(2)), Err(Fault::NotSaved(_))));
}

#[test]
fn every_flipped_bit_is_seen() {
    let disk = after(2);
    let newest = disk.names().into_iter().max().unwrap();
    let bytes = disk.bytes(&newest).unwrap().to_vec();
    for bit in 0..bytes.len() * 8 {
        let (mut bad, mut disk) = (bytes.clone(), disk.clone());
        bad[bit / 8] ^= 1 << (bit % 8);
        disk.plant(&newest, &bad);
        let (_, found, complaints) = open(disk);
        assert_eq!(found.unwrap().payload, payload(0), "bit {bit}");
        assert_eq!(complaints.len(), 1);
    }
}

#[test_case(&[], "shorter"; "empty")]
#[test_case(&[7; 400], "not a file"; "foreign")]
#[test_case(&[0; MOST * 2], "large"; "larger than the cap")]
fn what_is_not_ours_is_passed_over_and_left_alone(bytes: &[u8], complaint: &str) {
    let mut disk = after(2);
    let foreign = format!("marks.{:020}", 77);
    disk.plant(&foreign, bytes);
    let (mut store, found, complaints) = open(disk);
    assert_eq!(found.unwrap().payload, payload(1));
    assert!(complaints[0].contains(complaint), "{complaints:?}");
    assert_eq!(store.save(&payload(5)).unwrap(), 78);
    assert_eq!(store.disk().bytes(&foreign), Some(bytes));
    assert_eq!(open(store.disk().clone()).1.unwrap().payload, payload(5));
}

#[test]
fn a_newer_form_is_left_for_the_newer_program() {
    let (mut newer, ..) = Store::open(after(2), "marks", 9, MOST).unwrap();
    newer.save(b"from tomorrow").unwrap();
    let (_, found, complaints) = open(newer.disk().clone());
    assert_eq!(found.unwrap().payload, payload(1));
    assert!(complaints[0].contains("newer"), "{complaints:?}");
}

#[test]
fn what_can_not_be_read_back_is_not_written() {
    let (mut store, ..) = open(Disk::default());
    assert!(matches!(store.save(&[0; MOST + 1]), Err(Fault::TooLarge { .. })));
    assert_eq!(store.disk().steps(), 0);
}

#[test]
fn a_folder_of_the_file_system_comes_back_and_is_held_once() {
    let path = std::env::temp_dir().join(format!("rockflow-store-{}", std::process::id()));
    let (mut store, found, _) = Store::open(Folder::open(&path).unwrap(), "marks", 1, MOST).unwrap();
    assert!(found.is_none());
    (0..4).for_each(|number| {
        store.save(&payload(number)).unwrap();
    });
    let busy = Folder::open(&path).err().unwrap();
    assert_eq!(busy.kind(), std::io::ErrorKind::ResourceBusy);
    drop(store);
    let (_, found, _) = Store::open(Folder::open(&path).unwrap(), "marks", 1, MOST).unwrap();
    assert_eq!(found.unwrap().payload, payload(3));
    // The lock, and the snapshots that are kept.
    assert_eq!(std::fs::read_dir(&path).unwrap().count(), 3);
    std::fs::remove_dir_all(&path).unwrap();
}
