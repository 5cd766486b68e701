use super::simulated::Simulated;
use super::*;

/// A small source of numbers for fates.
fn dice(seed: u64) -> impl FnMut(usize) -> usize {
    let mut state = seed.wrapping_mul(0x9e37_79b9_7f4a_7c15) | 1;
    move |n| {
        state ^= state << 13;
        state ^= state >> 7;
        state ^= state << 17;
        (state >> 16) as usize % n.max(1)
    }
}

/// All values written, in order, whatever form they have on the disk.
fn values(found: &Recovered) -> Vec<u8> {
    let mut all = found.snapshot.clone().unwrap_or_default();
    all.extend(found.records.iter().map(|(_, body)| body[0]));
    all
}

/// A history of appends and snapshots; what was acknowledged and what was tried, up to the first failure.
fn play(disk: &Simulated, steps: usize) -> (Vec<u8>, Vec<u8>) {
    let (mut kept, mut tried) = (Vec::new(), Vec::new());
    let Ok((mut store, _)) = Store::open(disk.clone(), values) else { return (kept, tried) };
    for step in 0..steps {
        if step % 3 == 2 {
            if store.replace(&kept).is_err() {
                break;
            }
        } else {
            let batch: Vec<[u8; 1]> = (0..=step % 2).map(|n| [(tried.len() + n) as u8 + 1]).collect();
            tried.extend(batch.iter().map(|b| b[0]));
            if store.append(&batch).is_err() {
                break;
            }
            kept.clone_from(&tried);
        }
    }
    (kept, tried)
}

#[test]
fn power_lost_at_every_call_leaves_the_state_before_or_after() {
    let whole = Simulated::new();
    play(&whole, 8);
    for call in 1..=whole.calls() + 1 {
        for seed in 0..60 {
            let disk = Simulated::new();
            disk.fail_at(Some(call));
            let (kept, tried) = play(&disk, 8);
            disk.lose_power(&mut dice(seed));
            let (_, found) = Store::open(disk, values).unwrap();
            let got = values(&found);
            assert!(
                got.starts_with(&kept) && tried.starts_with(&got),
                "call {call}, seed {seed}: kept {kept:?}, tried {tried:?}, found {got:?} {:?}",
                found.dropped
            );
            assert!(
                !found.damaged,
                "call {call}, seed {seed}: a crash was taken for damage: {:?}",
                found.dropped
            );
        }
    }
}

#[test]
fn long_histories_with_many_losses_of_power_keep_what_was_acknowledged() {
    for seed in 0..40 {
        let mut fate = dice(seed + 1000);
        let disk = Simulated::new();
        let mut kept: Vec<u8> = Vec::new();
        for _ in 0..25 {
            disk.fail_at(Some(disk.calls() + 1 + fate(40) as u64));
            let mut tried = kept.clone();
            if let Ok((mut store, found)) = Store::open(disk.clone(), values) {
                assert!(values(&found).starts_with(&kept), "seed {seed}");
                kept = values(&found);
                tried.clone_from(&kept);
                while tried.len() < 200 {
                    tried.push(fate(250) as u8);
                    if store.append(&[[tried[tried.len() - 1]]]).is_err() {
                        break;
                    }
                    kept.clone_from(&tried);
                    if fate(5) == 0 && store.replace(&kept).is_err() {
                        break;
                    }
                }
            }
            disk.lose_power(&mut fate);
        }
    }
}

/// The counter-proof: a store that syncs neither the file nor the folder is found to lose what it acknowledged.
#[test]
fn without_syncs_the_same_check_finds_a_loss() {
    #[derive(Clone)]
    struct Unsynced(Simulated);
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
        let disk = Simulated::new();
        let (mut store, _) = Store::open(Unsynced(disk.clone()), values).unwrap();
        store.append(&[[7u8]]).unwrap();
        disk.lose_power(&mut dice(seed));
        values(&Store::open(disk, values).unwrap().1) != [7]
    });
    assert!(lost);
}

#[test]
fn rot_before_whole_records_is_told_from_a_torn_tail() {
    let disk = Simulated::new();
    let (mut store, _) = Store::open(disk.clone(), values).unwrap();
    for n in 1..=5u8 {
        store.append(&[[n; 20]]).unwrap();
    }
    let torn = disk.copy();
    disk.rot("log.1", HEAD + 20 + 6);
    let (_, found) = Store::open(disk, values).unwrap();
    assert!(found.damaged && values(&found) == [1], "{found:?}");
    let length = torn.lengths().iter().find(|(name, _)| name == "log.1").unwrap().1;
    torn.rot("log.1", length - 1);
    let (_, found) = Store::open(torn, values).unwrap();
    assert!(!found.damaged && values(&found) == [1, 2, 3, 4] && found.dropped.len() == 1, "{found:?}");
}

#[test]
fn a_rotten_snapshot_is_damage_and_the_store_opens_all_the_same() {
    let disk = Simulated::new();
    let (mut store, _) = Store::open(disk.clone(), values).unwrap();
    store.append(&[[1u8]]).unwrap();
    store.replace(&[1]).unwrap();
    disk.rot("snapshot", MAGIC.len() + HEAD);
    let (_, found) = Store::open(disk, values).unwrap();
    assert!(found.damaged && found.snapshot.is_none(), "{found:?}");
}

#[test]
fn a_full_disk_spends_the_store_and_opening_it_anew_when_there_is_room_loses_nothing() {
    let disk = Simulated::new();
    let (mut store, _) = Store::open(disk.clone(), values).unwrap();
    store.append(&[[1u8]]).unwrap();
    disk.set_full(true);
    assert!(matches!(store.append(&[[2u8]]), Err(Failure::Disk { .. })));
    disk.set_full(false);
    assert!(matches!(store.append(&[[3u8]]), Err(Failure::Spent)), "it went on after a failed write");
    let (mut store, found) = Store::open(disk.clone(), values).unwrap();
    assert_eq!(values(&found), [1]);
    store.append(&[[4u8]]).unwrap();
    assert_eq!(values(&Store::open(disk, values).unwrap().1), [1, 4]);
}

#[test]
fn a_folder_of_the_system_keeps_records_and_keeps_a_second_process_off() {
    let path = std::env::temp_dir().join(format!("durable-log-{}", std::process::id()));
    let _ = std::fs::remove_dir_all(&path);
    let (mut store, found) = Store::open(Folder::lock(&path).unwrap(), values).unwrap();
    assert_eq!(found, Recovered::default());
    store.append(&[[1u8], [2]]).unwrap();
    store.replace(&[1, 2]).unwrap();
    store.append(&[[3u8]]).unwrap();
    assert!(Folder::lock(&path).is_err());
    drop(store);
    let (_, found) = Store::open(Folder::lock(&path).unwrap(), values).unwrap();
    assert_eq!(values(&found), [1, 2, 3]);
    std::fs::remove_dir_all(&path).unwrap();
}
