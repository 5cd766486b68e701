//! Replacing a process under load: who owns the door, decided without I/O.
//!
//! [`ListenerOwnership`] is the state machine of one process, in both roles: as the successor of another, and then as the one that
//! another succeeds. It is told what happened and answers with what is to be done, in order. It owes its callers that
//! of two processes that can hear each other at most one has the door open, and that a request which one of them has
//! lent to the other is acted on by one of them. The reasons are in `docs/design/04-replacement.md`.

pub mod frame;
#[cfg(test)]
mod tests;

/// How long a successor waits for the old process's word, counted from the link and from the asking (seconds): the
/// platform wants it ready within 6 s, and both waits and the executor's start must fit.
pub const PATIENCE_S: f64 = 1.5;

/// What may be believed of keys that are not known here.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum IndeterminateKeys {
    /// All that ran are known.
    None,
    /// Another process may be running any of them just now.
    Lives,
    /// One that is dead may have run them: what arrived up to this time, unless it is no further try (loop's clock,
    /// seconds).
    Until(f64),
}

impl IndeterminateKeys {
    /// Whether a key that is not known here may have run elsewhere. `further` says that the request is a further
    /// try, or that tries are not marked.
    pub fn covers(self, arrived: f64, further: bool) -> bool {
        match self {
            IndeterminateKeys::None => false,
            IndeterminateKeys::Lives => true,
            IndeterminateKeys::Until(end) => further && arrived <= end,
        }
    }
}

/// What happens to a process's door.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Event {
    /// There is no other process, by all that can be seen.
    Alone,
    /// There was another process: its socket is there, and nobody listens.
    FoundDead,
    /// A link to the old process stands.
    Linked,
    /// This process can serve.
    Able,
    /// The old process can talk with this one.
    Welcomed,
    /// It can't: it is of another kind or version, or what it says can't be read.
    Estranged,
    /// All of its state is here.
    Given,
    /// The link to the old process has ended.
    OldLost,
    /// Another process asks for the door.
    Asked,
    /// It has all, and its door is open.
    Acknowledged,
    /// The link to the successor has ended.
    NewLost,
    /// The notice to leave.
    Leave,
    /// Time has passed.
    Tick,
}

/// What is to be done.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Effect {
    /// Say hello to the old process.
    Greet,
    /// Ask it for the door.
    Ask,
    /// Tell it that the door is open here.
    Acknowledge,
    /// Drop what it sent, unacted on, with the link, and keep a silent one: its end is the old process's end.
    Watch,
    /// Drop what it sent, unacted on.
    Forget,
    /// Act on what it sent.
    Adopt,
    /// Let clients in.
    Open,
    /// Believe this of unknown keys.
    Believe(IndeterminateKeys),
    /// Let nobody in, and lend everything that has not been started.
    Lend,
    /// What was lent is no longer this process's.
    Part,
    /// What was lent is this process's as before; let clients in.
    TakeBack,
    /// End as soon as nothing is owed.
    End,
}

#[derive(Clone, Copy, Debug, PartialEq)]
enum State {
    /// Not yet the owner. When the old process was linked or asked, and whether it is welcome there.
    Waiting { linked: Option<f64>, welcome: bool, asked: bool },
    /// The owner.
    Open,
    /// The successor has been sent all, and has not said that it has it.
    Lent,
    /// The successor is the owner.
    Parted,
}

/// The door of one process.
#[derive(Clone, Debug)]
pub struct ListenerOwnership {
    state: State,
    able: bool,
    /// A link to the old process stands; also after the door has been opened.
    old: bool,
    /// The state of the old process may still come, though the door is open.
    late: bool,
    /// The old process lives, and nobody here knows what it runs.
    blind: bool,
    leaving: bool,
    /// How long a key links tries at most (seconds).
    window_s: f64,
}

impl ListenerOwnership {
    /// A process that has not looked round yet.
    pub fn new(window_s: f64) -> ListenerOwnership {
        let state = State::Waiting { linked: None, welcome: false, asked: false };
        ListenerOwnership {
            state,
            able: false,
            old: false,
            late: false,
            blind: false,
            leaving: false,
            window_s,
        }
    }

    /// Whether clients are let in.
    pub fn is_open(&self) -> bool {
        self.state == State::Open
    }

    /// Whether another process has taken the door, or is about to.
    pub fn given_away(&self) -> bool {
        matches!(self.state, State::Lent | State::Parted)
    }

    /// Whether another process has taken the door and said so.
    pub fn has_parted(&self) -> bool {
        self.state == State::Parted
    }

    /// Whether the state of an old process may still come.
    pub fn has_predecessor(&self) -> bool {
        self.old
    }

    /// Takes an event at the loop's clock; what is to be done is appended in order.
    pub fn handle(&mut self, now: f64, event: Event, out: &mut Vec<Effect>) {
        match (event, self.state) {
            // It owes nothing to anybody, and what it was sent it has not acted on: the old process takes it back.
            (Event::Leave, State::Waiting { linked: Some(_), .. }) => {
                (self.leaving, self.old, self.state) = (true, false, State::Parted);
                out.push(Effect::End);
            }
            (Event::Leave, _) => {
                self.leaving = true;
                if self.given_away() {
                    out.push(Effect::End);
                }
            }
            (Event::Able, _) => {
                self.able = true;
                self.ask(now, out);
            }
            (Event::Alone, State::Waiting { .. }) => self.open(out),
            (Event::FoundDead, State::Waiting { .. }) => {
                out.push(Effect::Believe(IndeterminateKeys::Until(now + self.window_s)));
                self.open(out);
            }
            (Event::Linked, State::Waiting { .. }) => {
                self.old = true;
                self.state = State::Waiting { linked: Some(now), welcome: false, asked: false };
                out.push(Effect::Greet);
            }
            (Event::Welcomed, State::Waiting { linked, asked, .. }) => {
                self.state = State::Waiting { linked, welcome: true, asked };
                self.ask(now, out);
            }
            // Only before the door is open: afterwards the end of a link must mean the end of a process.
            (Event::Estranged, State::Waiting { .. }) => {
                self.blind = true;
                out.extend([Effect::Watch, Effect::Believe(IndeterminateKeys::Lives)]);
                self.open(out);
            }
            (Event::Estranged, _) => self.late = false,
            (Event::Given, State::Waiting { .. }) => {
                out.extend([Effect::Acknowledge, Effect::Adopt]);
                self.open(out);
            }
            // It was too slow to be waited for. What it gives is good all the same.
            (Event::Given, _) if self.late => {
                (self.late, self.blind) = (false, false);
                out.extend([Effect::Believe(IndeterminateKeys::None), Effect::Adopt]);
            }
            (Event::OldLost, State::Waiting { .. }) => {
                self.old = false;
                out.extend([Effect::Forget, Effect::Believe(IndeterminateKeys::Until(now + self.window_s))]);
                self.open(out);
            }
            (Event::OldLost, _) => {
                (self.old, self.late) = (false, false);
                if std::mem::take(&mut self.blind) {
                    out.extend([
                        Effect::Forget,
                        Effect::Believe(IndeterminateKeys::Until(now + self.window_s)),
                    ]);
                }
            }
            (Event::Tick, State::Waiting { linked: Some(since), asked, .. })
                if self.able && now - since >= PATIENCE_S =>
            {
                // It is there and does not answer. Should it come to itself, it finds this word waiting and gives
                // everything away without letting anybody in.
                if !asked {
                    out.push(Effect::Ask);
                }
                out.extend([Effect::Acknowledge, Effect::Believe(IndeterminateKeys::Lives)]);
                (self.late, self.blind) = (true, true);
                self.open(out);
            }
            (Event::Asked, State::Open) => {
                self.state = State::Lent;
                out.push(Effect::Lend);
            }
            (Event::Acknowledged, State::Lent) => {
                self.state = State::Parted;
                out.push(Effect::Part);
                if self.leaving {
                    out.push(Effect::End);
                }
            }
            (Event::NewLost, State::Lent) => {
                self.state = State::Open;
                out.push(Effect::TakeBack);
            }
            // It ran what nobody here knows of, and has died with it.
            (Event::NewLost, State::Parted) if !self.leaving => {
                out.push(Effect::Believe(IndeterminateKeys::Until(now + self.window_s)));
                self.open(out);
            }
            _ => {}
        }
    }

    fn ask(&mut self, now: f64, out: &mut Vec<Effect>) {
        if let State::Waiting { linked: Some(_), welcome: true, asked: false } = self.state {
            if self.able {
                self.state = State::Waiting { linked: Some(now), welcome: true, asked: true };
                out.push(Effect::Ask);
            }
        }
    }

    fn open(&mut self, out: &mut Vec<Effect>) {
        self.state = State::Open;
        out.push(Effect::Open);
    }
}
