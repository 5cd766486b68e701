use super::eviction::Eviction;
use super::*;
use crate::net::io::poll::ReadyEvents;
use crate::net::io::source::FrontendKind;
use calloop::EventLoop;
use std::net::TcpListener;

/// Connections whose clock is set by the test.
struct Fixture {
    _event_loop: EventLoop<'static, ReadyEvents>,
    listener: TcpListener,
    clients: Vec<TcpStream>,
    connections: Connections<()>,
}

impl Fixture {
    fn new() -> Fixture {
        let event_loop: EventLoop<ReadyEvents> = EventLoop::try_new().unwrap();
        let poll = Poll::new(event_loop.handle(), 100);
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let connections = Connections::new(&poll, FrontendKind::Http1, 1024);
        Fixture { _event_loop: event_loop, listener, clients: Vec::new(), connections }
    }

    /// Opens a connection that has sent `requests_read` requests and been idle since `idle_since`.
    fn open(&mut self, opened_at: f64, requests_read: u32, idle_since: f64) -> u64 {
        self.clients.push(TcpStream::connect(self.listener.local_addr().unwrap()).unwrap());
        let stream = self.listener.accept().unwrap().0;
        stream.set_nonblocking(true).unwrap();
        let stream = stream.into();
        let detached = DetachedConnection {
            stream,
            unread: Vec::new(),
            requests_read,
            close_after_response: false,
            protocol_state: (),
        };
        let id = self.connections.adopt(opened_at, detached, false).unwrap();
        self.connections.get_mut(id).unwrap().set_state(idle_since, ConnectionState::Idle);
        id
    }

    /// The connections that are closed, in this order, when `count` descriptors are needed at time `now`.
    fn evicted(&mut self, now: f64, count: usize) -> Vec<u64> {
        let ids = |connections: &Connections<()>| connections.ids_where(|_| true);
        let mut evicted = Vec::new();
        for _ in 0..count {
            let before = ids(&self.connections);
            if !matches!(self.connections.evict_one(now), Eviction::Evicted) {
                break;
            }
            evicted.extend(before.into_iter().filter(|id| !self.connections.owns(*id)));
        }
        evicted
    }
}

/// Guards against hundreds of clients that send continuously: each within its own limit, they would delay the others' answers.
#[test]
fn steps_of_all_connections_in_a_round_are_limited() {
    for (scheduled, expected) in [(0, 32), (1, 32), (16, 32), (32, 16), (300, 1), (900, 1)] {
        assert_eq!(max_steps_per_connection(scheduled), expected, "{scheduled} connections");
    }
}

/// Regression test: when every request came on a new connection, connections just opened were evicted before their
/// request arrived, although hundreds were idle after a single request.
#[test]
fn a_connection_idle_after_one_request_is_evicted_before_one_just_accepted() {
    let mut fixture = Fixture::new();
    let used = fixture.open(0.0, 5, 0.1);
    let idle_after_one = fixture.open(0.2, 1, 0.9);
    let just_answered = fixture.open(0.2, 1, 0.98);
    let silent = fixture.open(0.5, 0, 0.5);
    let just_accepted = fixture.open(0.99, 0, 0.99);
    assert_eq!(fixture.evicted(1.0, 9), [silent, idle_after_one, just_accepted, used, just_answered]);
}

#[test]
fn a_console_keeps_the_newest_connection() {
    let mut fixture = Fixture::new();
    fixture.connections.prefer_newest();
    let first = fixture.open(0.99, 0, 0.99);
    let second = fixture.open(0.995, 0, 0.995);
    assert_eq!(fixture.evicted(1.0, 1), [first]);
    assert!(fixture.connections.owns(second));
}
