//! Frames between workers, operators' commands and coordinators.

use crate::{fixture_lines, from_hex, pair_with_fixture, to_hex};
use port_worker::fleet::frame::{
    decode, encode, CallOutcome, ClientMessage, Counters, FleetTotals, LeaseRef, OperatorQuery, RenewedLease,
    ServerMessage, MAX_CLIENT_FRAME_BYTES, MAX_SERVER_FRAME_BYTES, VERSION,
};
use port_worker::fleet::overload::level::SheddingLevel;
use port_worker::fleet::overload::{FleetDigest, LoadReport};
use serde::de::DeserializeOwned;
use serde::Serialize;
use std::fmt::Debug;

fn lease(task: &str, token: u64) -> LeaseRef {
    LeaseRef { task: task.to_owned(), token }
}

fn counts() -> Counters {
    Counters::from([("admitted".to_owned(), 1234), ("refused-full".to_owned(), u64::MAX)])
}

fn totals() -> FleetTotals {
    FleetTotals { counts: counts(), workers: 3, computed_by: "n1".to_owned(), age_ms: 250 }
}

fn load() -> LoadReport {
    LoadReport {
        number: 9,
        last_digest: 8,
        arrivals: vec![12.5, 0.1, 0.0],
        retries: 1.25,
        rejected: 0.75,
        capacity: 96.5,
        calls_succeeded: 33.0,
        calls_failed: 0.5,
        call_s: 0.125,
        wanted_calls: 2.0,
        weight: 3.5,
        circuit_open: true,
        lent_calls: 1.015_625,
    }
}

fn digest() -> FleetDigest {
    FleetDigest {
        number: 12,
        workers: 10,
        age_ms: 740,
        level: SheddingLevel { tier: 2, share: 0.3 },
        spread_s: 4.5,
        retry_share: 0.1,
        call_share: 0.5,
        circuit_open: true,
        is_prober: true,
        slice: 0.234_375,
    }
}

/// Registrations and heartbeats, with their optional fields absent and present.
fn session_requests() -> Vec<ClientMessage> {
    let minimal = ClientMessage::Heartbeat {
        seq: 1,
        wants: vec![],
        leases: vec![],
        counters: None,
        totals: None,
        load: None,
    };
    vec![
        ClientMessage::Hello {
            fleet: "polderlijn".to_owned(),
            version: VERSION,
            name: "n1".to_owned(),
            zone: String::new(),
            process: 0,
        },
        ClientMessage::Hello {
            fleet: "polderlijn".to_owned(),
            version: 1,
            name: "n1".to_owned(),
            zone: "east".to_owned(),
            process: u64::MAX,
        },
        minimal,
        ClientMessage::Heartbeat {
            seq: 2,
            wants: vec!["totals".to_owned(), "nightly-report".to_owned()],
            leases: vec![lease("totals", 7), lease("nightly-report", u64::MAX)],
            counters: Some(counts()),
            totals: Some(totals()),
            load: Some(load()),
        },
        ClientMessage::Heartbeat {
            seq: 3,
            wants: vec![],
            leases: vec![],
            counters: Some(Counters::new()),
            totals: Some(FleetTotals::default()),
            load: Some(LoadReport::default()),
        },
    ]
}

/// Messages from the holder of a lease.
fn lease_requests() -> Vec<ClientMessage> {
    let end =
        |outcome, period| ClientMessage::EndPeriod { lease: lease("nightly-report", 7), period, outcome };
    vec![
        ClientMessage::ReleaseLease { lease: lease("totals", 7), failed: false, pass_on: false },
        ClientMessage::ReleaseLease { lease: lease("totals", 7), failed: true, pass_on: true },
        ClientMessage::BeginPeriod {
            lease: lease("nightly-report", 7),
            every_ms: 60_000,
            idempotent: false,
            attempt: 1,
        },
        ClientMessage::BeginPeriod {
            lease: lease("nightly-report", 7),
            every_ms: 100,
            idempotent: true,
            attempt: 2,
        },
        end(CallOutcome::Done, 29_000_000),
        end(CallOutcome::NotDone, 29_000_001),
        end(CallOutcome::Unknown, 29_000_002),
    ]
}

/// Every kind of operators' query.
fn operator_queries() -> Vec<ClientMessage> {
    let query_message = |query| ClientMessage::Query { fleet: "polderlijn".to_owned(), query };
    vec![
        query_message(OperatorQuery::Status),
        query_message(OperatorQuery::Members),
        query_message(OperatorQuery::Leases),
        query_message(OperatorQuery::Tasks),
        query_message(OperatorQuery::Overload),
        query_message(OperatorQuery::Pin { tier: 1, share: 0.5, for_s: 60.0 }),
        query_message(OperatorQuery::Replace { coordinator: "c2".to_owned() }),
    ]
}

/// Every kind of message to a coordinator.
fn requests() -> Vec<ClientMessage> {
    let mut requests = session_requests();
    requests.extend(lease_requests());
    requests.push(ClientMessage::Goodbye);
    requests.extend(operator_queries());
    requests.push(ClientMessage::Unknown);
    requests
}

/// Every kind of message from a coordinator, with its optional fields absent and present.
fn responses() -> Vec<ServerMessage> {
    let minimal_ack = ServerMessage::HeartbeatAck {
        seq: 1,
        leases: vec![],
        totals: None,
        counters: vec![],
        overload: None,
    };
    vec![
        ServerMessage::Welcome {
            session: 41,
            session_ttl_ms: 3000,
            heartbeat_interval_ms: 500,
            version: VERSION,
        },
        ServerMessage::NotLeader { leader: None, reason: "no leader is known".to_owned() },
        ServerMessage::NotLeader { leader: Some("127.0.0.1:7102".to_owned()), reason: "c2 leads".to_owned() },
        minimal_ack,
        ServerMessage::HeartbeatAck {
            seq: 2,
            leases: vec![
                RenewedLease { lease: lease("totals", 7), ttl_ms: 3000 },
                RenewedLease { lease: lease("nightly-report", 8), ttl_ms: 2500 },
            ],
            totals: Some(totals()),
            counters: vec![(120, counts()).into(), (0, Counters::new()).into()],
            overload: Some(digest()),
        },
        ServerMessage::HeartbeatAck {
            seq: 3,
            leases: vec![],
            totals: Some(FleetTotals::default()),
            counters: vec![],
            overload: Some(FleetDigest::default()),
        },
        ServerMessage::LeaseGranted { lease: lease("totals", 7) },
        ServerMessage::PeriodBegun { lease: lease("nightly-report", 7), period: 29_000_000, attempt: 1 },
        ServerMessage::PeriodNotBegun {
            lease: lease("nightly-report", 7),
            retry_after_ms: 400,
            reason: "it is made".to_owned(),
        },
        ServerMessage::SessionExpired,
        ServerMessage::Rejected { reason: "a \"quoted\" reason, é".to_owned() },
        ServerMessage::QueryResult {
            answer: serde_json::json!({"leases": [{"task": "totals", "token": 7}], "term": null}),
        },
        ServerMessage::Unknown,
    ]
}

/// The values that `fleet_requests_tolerated.jsonl` decodes to: absent fields, unknown fields and unknown kinds.
fn tolerated_requests() -> Vec<ClientMessage> {
    let heartbeat = |load| ClientMessage::Heartbeat {
        seq: 4,
        wants: vec![],
        leases: vec![],
        counters: None,
        totals: None,
        load,
    };
    vec![
        ClientMessage::Hello {
            fleet: "polderlijn".to_owned(),
            version: 3,
            name: "n1".to_owned(),
            zone: String::new(),
            process: 5,
        },
        heartbeat(None),
        heartbeat(None),
        heartbeat(Some(LoadReport::default())),
        heartbeat(Some(LoadReport { number: 5, ..LoadReport::default() })),
        ClientMessage::Heartbeat {
            seq: 4,
            wants: vec![],
            leases: vec![lease("totals", 7)],
            counters: None,
            totals: Some(FleetTotals { workers: 2, ..FleetTotals::default() }),
            load: None,
        },
        ClientMessage::ReleaseLease { lease: lease("totals", 7), failed: false, pass_on: false },
        ClientMessage::Goodbye,
        ClientMessage::Unknown,
        ClientMessage::Unknown,
    ]
}

/// The values that `fleet_responses_tolerated.jsonl` decodes to.
fn tolerated_responses() -> Vec<ServerMessage> {
    let ack = |overload| ServerMessage::HeartbeatAck {
        seq: 4,
        leases: vec![],
        totals: None,
        counters: vec![],
        overload,
    };
    vec![
        ServerMessage::Welcome { session: 41, session_ttl_ms: 3000, heartbeat_interval_ms: 500, version: 3 },
        ServerMessage::NotLeader { leader: None, reason: String::new() },
        ack(None),
        ack(Some(FleetDigest::default())),
        ack(Some(FleetDigest { level: SheddingLevel { tier: 1, share: 0.25 }, ..FleetDigest::default() })),
        ServerMessage::LeaseGranted { lease: lease("totals", 7) },
        ServerMessage::SessionExpired,
        ServerMessage::Unknown,
        ServerMessage::Unknown,
    ]
}

/// Encodes a frame with this payload.
fn frame_with_payload(payload: &str) -> Vec<u8> {
    [&(payload.len() as u32).to_be_bytes()[..], payload.as_bytes()].concat()
}

fn assert_decodes_to<T: DeserializeOwned + PartialEq + Debug>(payload: &str, max_bytes: usize, value: &T) {
    let frame = frame_with_payload(payload);
    let (read, length) = decode::<T>(&frame, max_bytes).unwrap().unwrap();
    assert_eq!(&read, value, "{payload}");
    assert_eq!(length, frame.len(), "{payload}");
}

fn assert_encodes_to<T: Serialize>(payload: &str, value: &T) {
    assert_eq!(to_hex(&encode(value)), to_hex(&frame_with_payload(payload)), "{payload}");
}

#[test]
fn requests_encode_and_decode_as_in_the_fixture() {
    for (payload, value) in pair_with_fixture("fleet_requests.jsonl", requests()) {
        assert_encodes_to(&payload, &value);
        assert_decodes_to(&payload, MAX_CLIENT_FRAME_BYTES, &value);
    }
}

#[test]
fn responses_encode_and_decode_as_in_the_fixture() {
    for (payload, value) in pair_with_fixture("fleet_responses.jsonl", responses()) {
        assert_encodes_to(&payload, &value);
        assert_decodes_to(&payload, MAX_SERVER_FRAME_BYTES, &value);
    }
}

/// The values of the complete frames in `fleet_frames.hex`.
fn complete_frames() -> (Vec<ClientMessage>, Vec<ServerMessage>) {
    (requests().split_off(3)[..1].to_vec(), responses().split_off(4)[..1].to_vec())
}

#[test]
fn complete_frames_keep_their_bytes() {
    let lines = fixture_lines("fleet_frames.hex");
    let (requests, responses) = complete_frames();
    assert_eq!(lines.len(), 2);
    assert_eq!(to_hex(&encode(&requests[0])), lines[0]);
    assert_eq!(to_hex(&encode(&responses[0])), lines[1]);
    let (request_frame, response_frame) = (from_hex(&lines[0]), from_hex(&lines[1]));
    let request = decode::<ClientMessage>(&request_frame, MAX_CLIENT_FRAME_BYTES).unwrap().unwrap();
    assert_eq!(request, (requests[0].clone(), request_frame.len()));
    let response = decode::<ServerMessage>(&response_frame, MAX_SERVER_FRAME_BYTES).unwrap().unwrap();
    assert_eq!(response, (responses[0].clone(), response_frame.len()));
}

#[test]
fn absent_fields_unknown_fields_and_unknown_kinds_are_tolerated() {
    for (payload, value) in pair_with_fixture("fleet_requests_tolerated.jsonl", tolerated_requests()) {
        assert_decodes_to(&payload, MAX_CLIENT_FRAME_BYTES, &value);
    }
    for (payload, value) in pair_with_fixture("fleet_responses_tolerated.jsonl", tolerated_responses()) {
        assert_decodes_to(&payload, MAX_SERVER_FRAME_BYTES, &value);
    }
}

#[test]
fn missing_required_field_is_an_error() {
    for payload in fixture_lines("fleet_requests_unreadable.jsonl") {
        assert!(
            decode::<ClientMessage>(&frame_with_payload(&payload), MAX_CLIENT_FRAME_BYTES).is_err(),
            "{payload}"
        );
    }
    for payload in fixture_lines("fleet_responses_unreadable.jsonl") {
        assert!(
            decode::<ServerMessage>(&frame_with_payload(&payload), MAX_SERVER_FRAME_BYTES).is_err(),
            "{payload}"
        );
    }
}

#[test]
fn versions_and_bounds_keep_their_values() {
    assert_eq!((VERSION, MAX_CLIENT_FRAME_BYTES, MAX_SERVER_FRAME_BYTES), (2, 16_384, 1_048_576));
    let goodbye_with_length = |length: usize| {
        let payload = r#"{"say":"bye"}"#;
        frame_with_payload(&format!("{payload}{}", " ".repeat(length - payload.len())))
    };
    let largest = decode(&goodbye_with_length(16_384), MAX_CLIENT_FRAME_BYTES).unwrap();
    assert_eq!(largest, Some((ClientMessage::Goodbye, 16_388)));
    assert!(decode::<ClientMessage>(&goodbye_with_length(16_385), MAX_CLIENT_FRAME_BYTES).is_err());
}
