use super::*;

fn served(result: &[u8]) -> Progress {
    Progress::Served(Some(result.into()))
}

fn name(key: &str) -> KeyName {
    KeyName { class: 0, tenant: None, key: key.into() }
}

#[test]
fn a_try_is_linked_by_its_arrival_not_by_when_it_is_read() {
    let mut keys = Keys::new(100, 9);
    keys.remember(&name("a"), RequestId(1), 0, 10.0);
    keys.ended(&name("a"), RequestId(1), served(b"done"));
    keys.sweep(12.0);
    assert_eq!(keys.linked(&name("a"), 9.9), Some(RequestId(1)));
    assert_eq!(keys.linked(&name("a"), 10.1), None);
    keys.sweep(17.0);
    assert!(keys.is_empty());
}

#[test]
fn an_open_run_is_linked_beyond_its_time() {
    let mut keys = Keys::new(100, 9);
    keys.remember(&name("a"), RequestId(1), 0, 10.0);
    keys.sweep(30.0);
    assert_eq!(keys.linked(&name("a"), 30.0), Some(RequestId(1)));
}

#[test]
fn results_beyond_the_room_go_oldest_first_and_their_links_stay() {
    let mut keys = Keys::new(10, 9);
    for (i, key) in ["a", "b"].iter().enumerate() {
        keys.remember(&name(key), RequestId(i as u64), 0, 10.0);
        keys.ended(&name(key), RequestId(i as u64), served(b"sevenby"));
    }
    assert_eq!(keys.linked(&name("a"), 1.0), Some(RequestId(0)));
    assert!(matches!(keys.get_mut(&name("a")).unwrap().progress, Progress::Served(None)));
    assert!(matches!(keys.get_mut(&name("b")).unwrap().progress, Progress::Served(Some(_))));
}

#[test]
fn a_key_is_only_known_within_its_class_and_tenant() {
    let mut keys = Keys::new(10, 9);
    keys.remember(&name("a"), RequestId(1), 0, 10.0);
    let other = KeyName { tenant: Some(2), ..name("a") };
    assert_eq!(keys.linked(&other, 1.0), None);
}
