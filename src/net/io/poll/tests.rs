use super::*;
use calloop::EventLoop;

#[test]
fn what_another_process_holds_is_not_given_away_here_as_well() {
    let events: EventLoop<Gathered> = EventLoop::try_new().unwrap();
    let poll = Poll::new(events.handle(), 100);
    poll.set_beside(100 - RESERVED_FOR_UPSTREAMS);
    assert!(poll.room() && !poll.room_for_caller());
    assert_eq!(poll.used(), 100 - RESERVED_FOR_UPSTREAMS);
    poll.set_beside(100);
    assert!(!poll.room());
    poll.set_beside(0);
    assert!(poll.room_for_caller() && poll.apart(2).room_for_caller());
}
