use super::*;

fn held(token: u64) -> LeaseRef {
    LeaseRef { task: "t".into(), token }
}

fn renewed(token: u64) -> Vec<RenewedLease> {
    vec![RenewedLease { held: held(token), ttl_ms: 3000 }]
}

#[test]
fn a_lease_counts_from_when_its_renewal_was_sent_and_not_from_the_answer() {
    let mut holder = LeaseHolder::new(0.1);
    holder.granted(&held(4));
    assert_eq!(holder.may_act(0.0, "t", 0.0), None, "a grant alone says nothing of since when");
    holder.ask(1.0, 1);
    holder.kept(1, &renewed(4));
    assert_eq!(holder.may_act(3.6, "t", 0.0), Some(4));
    assert_eq!(holder.may_act(3.75, "t", 0.0), None);
    assert_eq!(holder.may_act(3.0, "t", 1.0), None, "an act must end before the lease does");
}

#[test]
fn a_late_answer_to_an_early_renewal_gives_no_more_than_that() {
    let mut holder = LeaseHolder::new(0.1);
    holder.granted(&held(4));
    holder.ask(1.0, 1);
    holder.ask(2.0, 2);
    holder.kept(1, &renewed(4));
    assert_eq!(holder.until("t"), Some(1.0 + 2.7));
    holder.kept(2, &renewed(4));
    holder.kept(1, &renewed(4));
    assert_eq!(holder.until("t"), Some(2.0 + 2.7));
}

#[test]
fn a_renewal_that_comes_after_the_lease_was_given_up_or_lost_brings_nothing_back() {
    let mut holder = LeaseHolder::new(0.1);
    holder.granted(&held(4));
    holder.ask(1.0, 1);
    holder.ask(1.5, 2);
    assert_eq!(holder.kept(2, &[]), vec![held(4)]);
    assert_eq!(holder.kept(1, &renewed(4)), vec![]);
    assert_eq!(holder.may_act(1.6, "t", 0.0), None);
    holder.granted(&held(6));
    holder.granted(&held(5));
    assert_eq!(holder.token("t"), Some(6), "a grant that was overtaken");
    holder.ask(2.0, 3);
    holder.drop_lease("t");
    holder.kept(3, &renewed(6));
    assert_eq!(holder.token("t"), None);
}
