use super::*;
use crate::net::io::poll::Gathered;
use calloop::EventLoop;

/// Connections with a clock of the test's own, each of which has asked so often and rested since.
struct Play {
    _events: EventLoop<'static, Gathered>,
    listener: TcpListener,
    clients: Vec<TcpStream>,
    connections: Connections<()>,
}

impl Play {
    fn new() -> Play {
        let events: EventLoop<Gathered> = EventLoop::try_new().unwrap();
        let poll = Poll::new(events.handle(), 100);
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let connections = Connections::shut(&poll, Place::Http, 1024);
        Play { _events: events, listener, clients: Vec::new(), connections }
    }

    fn open(&mut self, opened: f64, asked: u32, rests_since: f64) -> u64 {
        self.clients.push(TcpStream::connect(self.listener.local_addr().unwrap()).unwrap());
        let stream = self.listener.accept().unwrap().0;
        stream.set_nonblocking(true).unwrap();
        let stream = stream.into();
        let parcel = DetachedConnection { stream, unread: Vec::new(), asked, close: false, memory: () };
        let id = self.connections.adopt(opened, parcel, false).unwrap();
        self.connections.get_mut(id).unwrap().step(rests_since, Stage::Idle);
        id
    }

    /// Who is closed when so many more are wanted at this time, in order.
    fn goes(&mut self, now: f64, more: usize) -> Vec<u64> {
        let all = |c: &Connections<()>| c.ids_where(|_| true);
        let mut gone = Vec::new();
        for _ in 0..more {
            let before = all(&self.connections);
            if !matches!(self.connections.make_room(now), Room::Made) {
                break;
            }
            gone.extend(before.into_iter().filter(|id| !self.connections.owns(*id)));
        }
        gone
    }
}

/// In a crowd whose every request came on a connection of its own, those just opened were closed before their
/// request had come, beside hundreds that had asked once and only stayed.
#[test]
fn who_asked_once_and_rests_goes_before_who_has_just_come() {
    let mut p = Play::new();
    let used = p.open(0.0, 5, 0.1);
    let rests = p.open(0.2, 1, 0.9);
    let just_answered = p.open(0.2, 1, 0.98);
    let silent = p.open(0.5, 0, 0.5);
    let just_come = p.open(0.99, 0, 0.99);
    assert_eq!(p.goes(1.0, 9), [silent, rests, just_come, used, just_answered]);
}

#[test]
fn a_console_keeps_who_came_last() {
    let mut p = Play::new();
    p.connections.prefer_newest();
    let first = p.open(0.99, 0, 0.99);
    let second = p.open(0.995, 0, 0.995);
    assert_eq!(p.goes(1.0, 1), [first]);
    assert!(p.connections.owns(second));
}
