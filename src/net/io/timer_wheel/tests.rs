use super::*;

fn fired(wheel: &mut Wheel, now: f64) -> Vec<Timer> {
    let mut due = Vec::new();
    wheel.expire(now, &mut due);
    due
}

#[test]
fn timers_fire_in_order_and_never_early() {
    let mut wheel = Wheel::new(1.0);
    wheel.set(1.0, 0.030, Timer::Heartbeat);
    wheel.set(1.0, 0.010, Timer::Wake);
    assert!(wheel.next().unwrap() >= 1.010);
    assert!(fired(&mut wheel, 1.009).is_empty());
    assert_eq!(fired(&mut wheel, 1.1), vec![Timer::Wake, Timer::Heartbeat]);
    assert_eq!(wheel.next(), None);
}

#[test]
fn a_timer_beyond_one_turn_of_the_wheel_waits_for_its_round() {
    let mut wheel = Wheel::new(0.0);
    wheel.set(0.0, 5.0, Timer::Heartbeat);
    let mut now = 0.0;
    while now < 4.99 {
        now += 0.05;
        if now < 5.0 {
            assert!(fired(&mut wheel, now).is_empty(), "{now}");
        }
    }
    assert_eq!(fired(&mut wheel, 5.01), vec![Timer::Heartbeat]);
}

#[test]
fn a_long_stall_loses_nothing() {
    let mut wheel = Wheel::new(0.0);
    wheel.set(0.0, 0.02, Timer::Wake);
    wheel.set(0.0, 7.0, Timer::Heartbeat);
    assert_eq!(fired(&mut wheel, 60.0), vec![Timer::Wake, Timer::Heartbeat]);
    wheel.set(60.0, 0.0, Timer::NextTurn);
    assert_eq!(fired(&mut wheel, 60.01), vec![Timer::NextTurn]);
}
