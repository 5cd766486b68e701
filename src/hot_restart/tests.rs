//! The effects of a single process for sequences of events.

mod keys_of_a_chain;
mod process_chain;

use super::*;

const WINDOW_S: f64 = 10.0;

fn effects(ownership: &mut ListenerOwnership, now: f64, event: Event) -> Vec<Effect> {
    let mut out = Vec::new();
    ownership.handle(now, event, &mut out);
    out
}

fn owner() -> ListenerOwnership {
    let mut ownership = ListenerOwnership::new(WINDOW_S);
    assert_eq!(effects(&mut ownership, 0.0, Event::NoPredecessor), [Effect::OpenListeners]);
    ownership
}

#[test]
fn a_successor_requests_the_listeners_when_ready_and_owns_them_with_the_state() {
    let mut new = ListenerOwnership::new(WINDOW_S);
    assert_eq!(effects(&mut new, 0.0, Event::PredecessorConnected), [Effect::SendHello]);
    assert_eq!(effects(&mut new, 0.1, Event::HelloAccepted), []);
    // The executor takes long to start: the predecessor continues to serve meanwhile.
    assert_eq!(effects(&mut new, 60.0, Event::Tick), []);
    assert_eq!(effects(&mut new, 60.0, Event::ReadyToServe), [Effect::RequestListeners]);
    assert_eq!(effects(&mut new, 60.0 + PREDECESSOR_TIMEOUT_S / 2.0, Event::Tick), []);
    assert!(!new.is_owner());
    assert_eq!(
        effects(&mut new, 61.0, Event::StateReceived(IndeterminateKeys::None)),
        [Effect::ConfirmTakeover, Effect::AdoptState, Effect::OpenListeners]
    );
    assert_eq!(effects(&mut new, 70.0, Event::Tick), []);
    assert_eq!(effects(&mut new, 71.0, Event::PredecessorDisconnected), []);
}

#[test]
fn a_lost_successor_gives_back_requests_before_it_confirmed_and_only_the_listeners_after() {
    let mut old = owner();
    assert_eq!(effects(&mut old, 1.0, Event::ListenersRequested), [Effect::HandOff]);
    assert!(old.has_handed_off() && !old.is_owner());
    assert_eq!(effects(&mut old, 2.0, Event::SuccessorDisconnected), [Effect::Reclaim]);
    assert!(old.is_owner());
    effects(&mut old, 3.0, Event::ListenersRequested);
    assert_eq!(effects(&mut old, 4.0, Event::TakeoverConfirmed), [Effect::ReleaseHandedOff]);
    let indeterminate = Effect::SetIndeterminateKeys(IndeterminateKeys::RetriesUntil(5.0 + WINDOW_S));
    assert_eq!(effects(&mut old, 5.0, Event::SuccessorDisconnected), [indeterminate, Effect::OpenListeners]);
}

#[test]
fn a_process_with_the_shutdown_notice_exits_and_reclaims_nothing() {
    let mut old = owner();
    effects(&mut old, 1.0, Event::ListenersRequested);
    effects(&mut old, 1.0, Event::TakeoverConfirmed);
    assert_eq!(effects(&mut old, 2.0, Event::ShutdownNotice), [Effect::ExitWhenIdle]);
    assert_eq!(effects(&mut old, 3.0, Event::SuccessorDisconnected), []);
    assert!(!old.is_owner());
    // The shutdown notice arrived first, and the successor connected during the drain.
    let mut old = owner();
    assert_eq!(effects(&mut old, 1.0, Event::ShutdownNotice), []);
    assert_eq!(effects(&mut old, 1.0, Event::ListenersRequested), [Effect::HandOff]);
    assert_eq!(
        effects(&mut old, 1.0, Event::TakeoverConfirmed),
        [Effect::ReleaseHandedOff, Effect::ExitWhenIdle]
    );
}

#[test]
fn a_successor_shut_down_before_it_owns_the_listeners_never_opens_them() {
    let mut new = ListenerOwnership::new(WINDOW_S);
    for event in [Event::PredecessorConnected, Event::HelloAccepted, Event::ReadyToServe] {
        effects(&mut new, 0.0, event);
    }
    assert_eq!(effects(&mut new, 0.1, Event::ShutdownNotice), [Effect::ExitWhenIdle]);
    for event in [Event::StateReceived(IndeterminateKeys::None), Event::Tick, Event::PredecessorDisconnected]
    {
        assert_eq!(effects(&mut new, 9.0, event), []);
    }
    assert!(!new.is_owner() && !new.has_predecessor());
}

#[test]
fn a_hung_predecessor_is_not_waited_for_and_its_late_state_is_adopted() {
    let mut new = ListenerOwnership::new(WINDOW_S);
    effects(&mut new, 0.0, Event::PredecessorConnected);
    effects(&mut new, 0.1, Event::ReadyToServe);
    let late = effects(&mut new, PREDECESSOR_TIMEOUT_S, Event::Tick);
    assert_eq!(
        late,
        [
            Effect::RequestListeners,
            Effect::ConfirmTakeover,
            Effect::SetIndeterminateKeys(IndeterminateKeys::All),
            Effect::OpenListeners
        ]
    );
    assert_eq!(
        effects(&mut new, 5.0, Event::StateReceived(IndeterminateKeys::None)),
        [Effect::SetIndeterminateKeys(IndeterminateKeys::None), Effect::AdoptState]
    );
    assert_eq!(effects(&mut new, 6.0, Event::PredecessorDisconnected), []);
    // The predecessor dies without having sent a message.
    let mut new = ListenerOwnership::new(WINDOW_S);
    effects(&mut new, 0.0, Event::PredecessorConnected);
    effects(&mut new, 0.1, Event::ReadyToServe);
    effects(&mut new, PREDECESSOR_TIMEOUT_S, Event::Tick);
    let indeterminate = Effect::SetIndeterminateKeys(IndeterminateKeys::RetriesUntil(9.0 + WINDOW_S));
    assert_eq!(effects(&mut new, 9.0, Event::PredecessorDisconnected), [Effect::DiscardState, indeterminate]);
}

#[test]
fn an_incompatible_predecessor_is_watched_and_its_state_discarded() {
    let mut new = ListenerOwnership::new(WINDOW_S);
    effects(&mut new, 0.0, Event::PredecessorConnected);
    let incompatible = effects(&mut new, 0.1, Event::Incompatible);
    assert_eq!(
        incompatible,
        [
            Effect::WatchPredecessor,
            Effect::SetIndeterminateKeys(IndeterminateKeys::All),
            Effect::OpenListeners
        ]
    );
    let indeterminate = Effect::SetIndeterminateKeys(IndeterminateKeys::RetriesUntil(5.0 + WINDOW_S));
    assert_eq!(effects(&mut new, 5.0, Event::PredecessorDisconnected), [Effect::DiscardState, indeterminate]);
    // After the takeover a damaged frame has no effect. The link stays, since its end shows that the process has ended.
    let mut new = ListenerOwnership::new(WINDOW_S);
    for event in [
        Event::PredecessorConnected,
        Event::HelloAccepted,
        Event::ReadyToServe,
        Event::StateReceived(IndeterminateKeys::None),
    ] {
        effects(&mut new, 0.0, event);
    }
    assert_eq!(effects(&mut new, 1.0, Event::Incompatible), []);
    assert!(new.is_owner());
}

#[test]
fn keys_of_a_dead_predecessor_are_indeterminate_for_a_window() {
    let mut ownership = ListenerOwnership::new(WINDOW_S);
    let found = effects(&mut ownership, 3.0, Event::PredecessorDead);
    assert_eq!(
        found,
        [Effect::SetIndeterminateKeys(IndeterminateKeys::RetriesUntil(13.0)), Effect::OpenListeners]
    );
    let indeterminate = IndeterminateKeys::RetriesUntil(13.0);
    assert!(
        indeterminate.covers(13.0, true)
            && !indeterminate.covers(13.1, true)
            && !indeterminate.covers(5.0, false)
    );
    assert!(IndeterminateKeys::All.covers(99.0, false) && !IndeterminateKeys::None.covers(0.0, true));
}
