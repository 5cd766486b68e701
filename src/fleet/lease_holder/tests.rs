use super::*;

fn held(token: u64) -> LeaseRef {
    LeaseRef { task: "t".into(), token }
}

fn renewed(token: u64) -> Vec<RenewedLease> {
    vec![RenewedLease { lease: held(token), ttl_ms: 3000 }]
}

#[test]
fn validity_of_a_lease_starts_when_its_renewal_was_sent_not_when_it_was_acknowledged() {
    let mut holder = LeaseHolder::new(0.1);
    holder.granted(&held(4));
    assert_eq!(holder.may_act(0.0, "t", 0.0), None, "a grant alone does not make a lease valid");
    holder.heartbeat_sent(1.0, 1);
    holder.heartbeat_acked(1, &renewed(4));
    assert_eq!(holder.may_act(3.6, "t", 0.0), Some(4));
    assert_eq!(holder.may_act(3.75, "t", 0.0), None);
    assert_eq!(holder.may_act(3.0, "t", 1.0), None, "an action must end before the lease expires");
}

#[test]
fn a_late_acknowledgement_extends_a_lease_only_from_when_its_heartbeat_was_sent() {
    let mut holder = LeaseHolder::new(0.1);
    holder.granted(&held(4));
    holder.heartbeat_sent(1.0, 1);
    holder.heartbeat_sent(2.0, 2);
    holder.heartbeat_acked(1, &renewed(4));
    assert_eq!(holder.valid_until("t"), Some(1.0 + 2.7));
    holder.heartbeat_acked(2, &renewed(4));
    holder.heartbeat_acked(1, &renewed(4));
    assert_eq!(holder.valid_until("t"), Some(2.0 + 2.7));
}

#[test]
fn a_renewal_after_release_or_loss_does_not_restore_the_lease() {
    let mut holder = LeaseHolder::new(0.1);
    holder.granted(&held(4));
    holder.heartbeat_sent(1.0, 1);
    holder.heartbeat_sent(1.5, 2);
    assert_eq!(holder.heartbeat_acked(2, &[]), vec![held(4)]);
    assert_eq!(holder.heartbeat_acked(1, &renewed(4)), vec![]);
    assert_eq!(holder.may_act(1.6, "t", 0.0), None);
    holder.granted(&held(6));
    holder.granted(&held(5));
    assert_eq!(holder.token("t"), Some(6), "a delayed older grant has no effect");
    holder.heartbeat_sent(2.0, 3);
    holder.release("t");
    holder.heartbeat_acked(3, &renewed(6));
    assert_eq!(holder.token("t"), None);
}
