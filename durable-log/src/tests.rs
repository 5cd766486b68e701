use crate::layout::MAGIC;
use crate::record::HEADER_BYTES;
use crate::simulated::SimulatedDisk;
use crate::{Disk, Folder, Recovered, Store, StoreError};
use std::io;

/// Returns a seeded source (xorshift) of random numbers below its argument.
fn random_source(seed: u64) -> impl FnMut(usize) -> usize {
    let mut state = seed.wrapping_mul(0x9e37_79b9_7f4a_7c15) | 1;
    move |n| {
        state ^= state << 13;
        state ^= state >> 7;
        state ^= state << 17;
        (state >> 16) as usize % n.max(1)
    }
}

/// Returns all recovered values, in order, from the snapshot and the records.
fn values(recovered: &Recovered) -> Vec<u8> {
    let mut all = recovered.snapshot.clone().unwrap_or_default();
    all.extend(recovered.records.iter().map(|record| record.body[0]));
    all
}

/// Runs appends and snapshots until the first failure; returns the acknowledged and the attempted values.
fn run_history(disk: &SimulatedDisk, steps: usize) -> (Vec<u8>, Vec<u8>) {
    let mut acknowledged = Vec::new();
    let mut attempted = Vec::new();
    let Ok((mut store, _)) = Store::open(disk.clone(), values) else { return (acknowledged, attempted) };
    for step in 0..steps {
        if step % 3 == 2 {
            if store.replace(&acknowledged).is_err() {
                break;
            }
        } else {
            let batch: Vec<[u8; 1]> = (0..=step % 2).map(|n| [(attempted.len() + n) as u8 + 1]).collect();
            attempted.extend(batch.iter().map(|b| b[0]));
            if store.append(&batch).is_err() {
                break;
            }
            acknowledged.clone_from(&attempted);
        }
    }
    (acknowledged, attempted)
}

#[test]
fn a_power_loss_at_any_call_leaves_the_state_before_or_after() {
    let complete = SimulatedDisk::new();
    run_history(&complete, 8);
    for call in 1..=complete.calls() + 1 {
        for seed in 0..60 {
            let disk = SimulatedDisk::new();
            disk.fail_at(Some(call));
            let (acknowledged, attempted) = run_history(&disk, 8);
            disk.lose_power(&mut random_source(seed));
            let (_, recovered) = Store::open(disk, values).unwrap();
            let recovered_values = values(&recovered);
            assert!(
                recovered_values.starts_with(&acknowledged) && attempted.starts_with(&recovered_values),
                "call {call}, seed {seed}: acknowledged {acknowledged:?}, attempted {attempted:?}, recovered {recovered_values:?} {:?}",
                recovered.dropped
            );
            assert!(
                !recovered.damaged,
                "call {call}, seed {seed}: a crash was reported as damage: {:?}",
                recovered.dropped
            );
        }
    }
}

#[test]
fn repeated_power_losses_keep_acknowledged_data() {
    for seed in 0..40 {
        let mut random = random_source(seed + 1000);
        let disk = SimulatedDisk::new();
        let mut acknowledged: Vec<u8> = Vec::new();
        for _ in 0..25 {
            disk.fail_at(Some(disk.calls() + 1 + random(40) as u64));
            let mut attempted = acknowledged.clone();
            if let Ok((mut store, recovered)) = Store::open(disk.clone(), values) {
                assert!(values(&recovered).starts_with(&acknowledged), "seed {seed}");
                acknowledged = values(&recovered);
                attempted.clone_from(&acknowledged);
                while attempted.len() < 200 {
                    attempted.push(random(250) as u8);
                    if store.append(&[[attempted[attempted.len() - 1]]]).is_err() {
                        break;
                    }
                    acknowledged.clone_from(&attempted);
                    if random(5) == 0 && store.replace(&acknowledged).is_err() {
                        break;
                    }
                }
            }
            disk.lose_power(&mut random);
        }
    }
}

/// Shows that the simulated power loss reveals missing syncs: with a disk that ignores file syncs, acknowledged data is lost
/// for some seed.
#[test]
fn a_disk_that_ignores_file_syncs_loses_acknowledged_data() {
    #[derive(Clone)]
    struct Unsynced(SimulatedDisk);
    impl Disk for Unsynced {
        fn read(&mut self, name: &str) -> io::Result<Option<Vec<u8>>> {
            self.0.read(name)
        }
        fn list(&mut self) -> io::Result<Vec<String>> {
            self.0.list()
        }
        fn create(&mut self, name: &str) -> io::Result<()> {
            self.0.create(name)
        }
        fn append(&mut self, name: &str, bytes: &[u8]) -> io::Result<()> {
            self.0.append(name, bytes)
        }
        fn sync(&mut self, _: &str) -> io::Result<()> {
            Ok(())
        }
        fn rename(&mut self, from: &str, to: &str) -> io::Result<()> {
            self.0.rename(from, to)
        }
        fn remove(&mut self, name: &str) -> io::Result<()> {
            self.0.remove(name)
        }
        fn sync_folder(&mut self) -> io::Result<()> {
            self.0.sync_folder()
        }
    }
    let lost = (0..20).any(|seed| {
        let disk = SimulatedDisk::new();
        let (mut store, _) = Store::open(Unsynced(disk.clone()), values).unwrap();
        store.append(&[[7u8]]).unwrap();
        disk.lose_power(&mut random_source(seed));
        values(&Store::open(disk, values).unwrap().1) != [7]
    });
    assert!(lost);
}

#[test]
fn corruption_before_complete_records_is_distinguished_from_a_torn_tail() {
    let disk = SimulatedDisk::new();
    let (mut store, _) = Store::open(disk.clone(), values).unwrap();
    for n in 1..=5u8 {
        store.append(&[[n; 20]]).unwrap();
    }
    let torn_tail = disk.copy();
    disk.corrupt_byte("log.1", HEADER_BYTES + 20 + 6);
    let (_, recovered) = Store::open(disk, values).unwrap();
    assert!(recovered.damaged && values(&recovered) == [1], "{recovered:?}");
    let expected = "log.1: 176 bytes after record 1: corrupt record followed by complete ones";
    assert_eq!(recovered.dropped[0].to_string(), expected);
    let length = torn_tail.lengths().iter().find(|(name, _)| name == "log.1").unwrap().1;
    torn_tail.corrupt_byte("log.1", length - 1);
    let (_, recovered) = Store::open(torn_tail, values).unwrap();
    assert!(
        !recovered.damaged && values(&recovered) == [1, 2, 3, 4] && recovered.dropped.len() == 1,
        "{recovered:?}"
    );
    let expected = "log.1: 44 bytes after record 4: incomplete record";
    assert_eq!(recovered.dropped[0].to_string(), expected);
}

#[test]
fn a_corrupt_snapshot_is_reported_as_damage_and_the_store_opens() {
    let disk = SimulatedDisk::new();
    let (mut store, _) = Store::open(disk.clone(), values).unwrap();
    store.append(&[[1u8]]).unwrap();
    store.replace(&[1]).unwrap();
    disk.corrupt_byte("snapshot", MAGIC.len() + HEADER_BYTES);
    let (_, recovered) = Store::open(disk, values).unwrap();
    assert!(recovered.damaged && recovered.snapshot.is_none(), "{recovered:?}");
    let dropped: Vec<String> = recovered.dropped.iter().map(ToString::to_string).collect();
    assert_eq!(dropped, ["snapshot: 33 unreadable bytes"]);
}

#[test]
fn a_store_on_a_full_disk_rejects_writes_until_it_is_reopened_and_loses_nothing() {
    let disk = SimulatedDisk::new();
    let (mut store, _) = Store::open(disk.clone(), values).unwrap();
    store.append(&[[1u8]]).unwrap();
    disk.set_full(true);
    assert!(matches!(store.append(&[[2u8]]), Err(StoreError::Disk { .. })));
    disk.set_full(false);
    assert!(
        matches!(store.append(&[[3u8]]), Err(StoreError::PreviousWriteFailed)),
        "a write was accepted after a failed one"
    );
    let (mut store, recovered) = Store::open(disk.clone(), values).unwrap();
    assert_eq!(values(&recovered), [1]);
    store.append(&[[4u8]]).unwrap();
    assert_eq!(values(&Store::open(disk, values).unwrap().1), [1, 4]);
}

#[test]
fn a_folder_keeps_records_and_is_locked_against_a_second_process() {
    let path = std::env::temp_dir().join(format!("durable-log-{}", std::process::id()));
    let _ = std::fs::remove_dir_all(&path);
    let (mut store, recovered) = Store::open(Folder::lock(&path).unwrap(), values).unwrap();
    assert_eq!(recovered, Recovered::default());
    store.append(&[[1u8], [2]]).unwrap();
    store.replace(&[1, 2]).unwrap();
    store.append(&[[3u8]]).unwrap();
    assert!(Folder::lock(&path).is_err());
    drop(store);
    let (_, recovered) = Store::open(Folder::lock(&path).unwrap(), values).unwrap();
    assert_eq!(values(&recovered), [1, 2, 3]);
    std::fs::remove_dir_all(&path).unwrap();
}
