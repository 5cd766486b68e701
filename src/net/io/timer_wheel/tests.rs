use super::*;

fn expired(wheel: &mut Wheel, now: f64) -> Vec<Timer> {
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
    assert!(expired(&mut wheel, 1.009).is_empty());
    assert_eq!(expired(&mut wheel, 1.1), vec![Timer::Wake, Timer::Heartbeat]);
    assert_eq!(wheel.next(), None);
}

#[test]
fn timer_beyond_one_round_of_the_wheel_fires_in_its_own_round() {
    let mut wheel = Wheel::new(0.0);
    wheel.set(0.0, 5.0, Timer::Heartbeat);
    let mut now = 0.0;
    while now < 4.99 {
        now += 0.05;
        if now < 5.0 {
            assert!(expired(&mut wheel, now).is_empty(), "the timer for 5 s expired by {now} s");
        }
    }
    assert_eq!(expired(&mut wheel, 5.01), vec![Timer::Heartbeat]);
}

#[test]
fn no_timer_is_lost_in_a_long_stall() {
    let mut wheel = Wheel::new(0.0);
    wheel.set(0.0, 0.02, Timer::Wake);
    wheel.set(0.0, 7.0, Timer::Heartbeat);
    assert_eq!(expired(&mut wheel, 60.0), vec![Timer::Wake, Timer::Heartbeat]);
    wheel.set(60.0, 0.0, Timer::NextTurn);
    assert_eq!(expired(&mut wheel, 60.01), vec![Timer::NextTurn]);
}
