use super::*;
use calloop::EventLoop;

#[test]
fn descriptors_held_by_another_process_reduce_the_budget() {
    let event_loop: EventLoop<ReadyEvents> = EventLoop::try_new().unwrap();
    let poll = Poll::new(event_loop.handle(), 100);
    poll.set_other_process_usage(100 - RESERVED_FOR_UPSTREAMS);
    assert!(poll.has_capacity() && !poll.has_capacity_for_client());
    assert_eq!(poll.used(), 100 - RESERVED_FOR_UPSTREAMS);
    poll.set_other_process_usage(100);
    assert!(!poll.has_capacity());
    poll.set_other_process_usage(0);
    assert!(poll.has_capacity_for_client() && poll.with_own_budget(2).has_capacity_for_client());
}
