//! The encoding of the handshake between coordinators. Coordinators of different versions must understand each other.

use fleet_coordinator::coordinator::{PeerAnswer, PeerHello};
use fleet_coordinator::ids::MemberId;

#[test]
fn hello_encoding_keeps_its_keys() {
    let hello = PeerHello {
        name: "c2".to_owned(),
        fleet: "f".to_owned(),
        member: MemberId(4),
        last_index: 47,
        version: 2,
    };
    let text = r#"{"peer":"c2","fleet":"f","member":4,"last":47,"version":2}"#;
    assert_eq!(serde_json::to_string(&hello).unwrap(), text);
    assert_eq!(serde_json::from_str::<PeerHello>(text).unwrap(), hello);
}

#[test]
fn answer_encoding_keeps_its_keys_and_missing_keys_have_defaults() {
    let answer = PeerAnswer {
        member: MemberId(1),
        version: 2,
        caller_member: MemberId(4),
        caller_persisted: 25,
        caller_is_initial_member: true,
        exclusion: Some("member 2 has been replaced".to_owned()),
    };
    let text = r#"{"member":1,"version":2,"yours":4,"kept":25,"founder":true,"barred":"member 2 has been replaced"}"#;
    assert_eq!(serde_json::to_string(&answer).unwrap(), text);
    assert_eq!(serde_json::from_str::<PeerAnswer>(text).unwrap(), answer);
    assert_eq!(serde_json::from_str::<PeerAnswer>("{}").unwrap(), PeerAnswer::default());
}
