//! The bookkeeping between fronts, the controller and backends, in requests, attempts and outcomes.
//!
//! Nothing here knows a wire, a socket or a clock: the time is passed in, events go in one by one and commands
//! come out in their order. The core sees to it that each request gets one answer, that a key is run once, and
//! that a call in hand is given up when its run ends.

pub mod idempotency;
pub mod metrics;
mod request_handoff;

use crate::admission::Controller;
use crate::fleet::overload::client::LoadSample;
use crate::fleet::overload::policy::OverloadPolicy;
use crate::hot_restart::IndeterminateKeys;
use crate::interface::{
    Action, Arrival, Class, Event, Gauges, Idempotency, LearnedState, Outcome, PoolPlan, RequestId, Settings,
};
use crate::pools::{Pools, PoolsState};
use idempotency::{IdempotencyKey, IdempotencyTable, IdempotencyUpdate, KeyProgress};
use metrics::Metrics;
pub use request_handoff::{HandedOff, HandedOffRequest};
use std::collections::{HashMap, HashSet, VecDeque};
use std::rc::Rc;

/// Where an answer is owed: handed back unread to the front that gave it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct Ticket(pub u64);

/// A request as a front hands it over: whole, checked, and owed one answer from here on.
#[derive(Clone, Debug)]
pub struct Request {
    pub ticket: Ticket,
    /// Its name towards backends; never used twice.
    pub name: Rc<str>,
    pub class: usize,
    pub tenant: Option<usize>,
    pub caller: u64,
    pub kb: f64,
    /// When it was read, from which both of the next count (loop's clock, seconds); absent where that is now.
    pub read_at: Option<f64>,
    /// How long it had lain unread then (seconds).
    pub read_delay_s: f64,
    /// How long its caller waited from then on (seconds).
    pub time_left_s: f64,
    pub estimate_s: Option<f64>,
    pub key: Option<Rc<str>>,
    pub retry: bool,
    pub body: Rc<[u8]>,
}

/// The one answer to a request.
#[derive(Clone, Debug, PartialEq)]
pub enum Response {
    Served(Rc<[u8]>),
    /// Turned away, with advice when to come back and whether to try others.
    Rejected {
        retry_after_s: f64,
        stop_retrying: bool,
    },
    Failed,
    /// Its time ran out before it came to an end.
    DeadlineExceeded,
    /// Its name or key is another request's: it is turned away, and the other is not touched.
    Conflict,
}

/// What happens round the core. Names that are not known any more are let pass.
#[derive(Debug)]
pub enum Input {
    Arrived(Request),
    /// A backend has ended a run; the result comes with [`Outcome::Ok`].
    RunEnded {
        name: Rc<str>,
        outcome: Outcome,
        result: Option<Rc<[u8]>>,
    },
    /// A run stands at a call with this body; the mark goes back with a skip.
    AtCall {
        name: Rc<str>,
        body: Rc<[u8]>,
        mark: u64,
    },
    /// A call below has ended; the reply comes with [`Outcome::Ok`].
    CallEnded {
        name: Rc<str>,
        outcome: Outcome,
        reply: Option<Rc<[u8]>>,
    },
    /// A backend proves that a run which it was given never began, and will not.
    NeverRan {
        name: Rc<str>,
    },
    /// A backend does not know the request that it was to run: it never ran, and never will.
    UnknownRequest {
        name: Rc<str>,
    },
    /// A link to a backend broke and stands again: what was commanded from `from` to `to` may have been lost with
    /// it, and all notices of before have been handed over.
    CommandsLost {
        from: f64,
        to: f64,
    },
    /// The backend has lost all runs: none of them will end by itself.
    RunsLost,
    /// The connection on which this answer is owed has been torn down.
    ClientDisconnected(Ticket),
    /// The notice to leave: when it came and when the process is stopped (loop's clock, seconds). Points in time, not
    /// spans: the process may stall before this is handled.
    Shutdown {
        notice: f64,
        stop: f64,
    },
    /// The process is about to end: all that is owed is answered now.
    RespondAll,
    Woken(Gauges),
    /// The operator's pools are others from now on, or none.
    Pools(Option<PoolPlan>),
    /// What the process before this one says of a key that may have run.
    IdempotencyUpdate(IdempotencyUpdate),
    /// It has ended: what it said of open keys is its last word, and it uses nothing any more.
    PredecessorGone,
    /// What it uses now of what both count as their own.
    OtherProcess {
        on_cores: usize,
        calling: usize,
        kb: f64,
    },
    LearnedState(LearnedState),
}

/// What is to be done, in this order.
#[derive(Clone, Debug, PartialEq)]
pub enum Command {
    Respond(Ticket, Response),
    Run {
        name: Rc<str>,
        class: usize,
        body: Rc<[u8]>,
        due: f64,
    },
    /// `again` says that the call may be made once more if it is not known how it went.
    Call {
        name: Rc<str>,
        body: Rc<[u8]>,
        for_s: f64,
        again: bool,
    },
    GiveUpCall(Rc<str>),
    Resume {
        name: Rc<str>,
        reply: Rc<[u8]>,
    },
    SkipCall {
        name: Rc<str>,
        mark: u64,
    },
    Health(bool),
    Publish(f64),
    WakeIn(f64),
    Log(String),
    /// The process that has taken this one's place should know.
    IdempotencyUpdate(IdempotencyUpdate),
}

/// A run that its backend has gone silent on holds its slot for this long after its due time (seconds).
const SILENT_RUN_S: f64 = 10.0;
/// An answer given this close to the due time is one for lack of time (seconds).
const NEAR_DUE_S: f64 = 0.2;

/// A reply in doubt is sent again only after this share of an aim without a word from its run: a run that got it
/// would by then have ended or come to its next call, which the reply must not answer.
const REPLY_AGAIN_OF_AIM: f64 = 0.4;
/// Keys in the table at most: one for so many bytes of room for results, but so many at least. What peers choose
/// must not fill the memory.
const BYTES_A_KEY: usize = 1024;
const KEYS_LEAST: usize = 256;

/// When to come back after a run that could not be begun (seconds).
const COME_BACK_S: f64 = 1.0;

/// The last command for a run of which nothing has been heard since, and when it was given.
enum Sent {
    Run,
    Resume(Rc<[u8]>, u64),
    Skip(u64),
}

fn refused() -> Response {
    Response::Rejected { retry_after_s: COME_BACK_S, stop_retrying: false }
}

struct InFlight {
    request: Request,
    due: f64,
    arrived: f64,
    /// Stands for the body of a keyed request.
    print: u64,
    answered: bool,
    started: bool,
    key: Option<IdempotencyKey>,
    at_call: Option<(Rc<[u8]>, u64)>,
    calling: bool,
    sent: Option<(f64, Sent)>,
    /// Its run was commanded a second time, since the first command may have been lost.
    twice: bool,
}

/// The core of one worker.
pub struct Dispatcher {
    controller: Controller,
    requests: HashMap<RequestId, InFlight>,
    names: HashMap<Rc<str>, RequestId>,
    /// Answers owed, by where.
    tickets: HashMap<Ticket, RequestId>,
    keys: IdempotencyTable,
    /// What bodies are hashed with; the same in a process and its successor.
    prints: (u64, u64),
    next: u64,
    owed: usize,
    actions: Vec<Action>,
    swept: f64,
    classes: Vec<Class>,
    /// Replies in doubt, and when each is to be sent again.
    doubted: Vec<(f64, RequestId)>,
    /// Requests whose caller has gone before they were started, to be let go.
    gone: Vec<RequestId>,
    figures: Metrics,
    run_factor: f64,
    marks_retries: bool,
    /// What is to be believed of keys that are not known here.
    doubt: IndeterminateKeys,
    /// Names of requests that run in the process before this one.
    elsewhere: HashSet<Rc<str>>,
    /// What the process before this one uses: runs, calls, memory.
    beside: (usize, usize, f64),
    /// Another process has this one's place: it is told of keys, those named here next.
    lent: bool,
    key_news: Vec<IdempotencyKey>,
}

impl Dispatcher {
    /// A core for a worker that started at `born`, with so many bytes for kept results.
    pub fn new(settings: Settings, born: f64, result_bytes: usize, out: &mut Vec<Command>) -> Self {
        let mut actions = Vec::new();
        let classes = settings.classes.clone();
        let figures = Metrics::new(classes.len());
        let (run_factor, marks_retries) = (settings.run_factor, settings.marks_retries);
        let time_left_s = classes.iter().map(|c| c.deadline_s).fold(0.0, f64::max);
        let prints = (settings.seed, !settings.seed);
        let controller = Controller::new(settings, born, &mut actions);
        let mut core = Dispatcher {
            controller,
            requests: HashMap::new(),
            names: HashMap::new(),
            tickets: HashMap::new(),
            keys: IdempotencyTable::new(
                result_bytes,
                (result_bytes / BYTES_A_KEY).max(KEYS_LEAST),
                time_left_s,
            ),
            prints,
            next: 0,
            owed: 0,
            actions,
            swept: born,
            classes,
            doubted: Vec::new(),
            gone: Vec::new(),
            figures,
            run_factor,
            marks_retries,
            doubt: IndeterminateKeys::None,
            elsewhere: HashSet::new(),
            beside: (0, 0, 0.0),
            lent: false,
            key_news: Vec::new(),
        };
        core.carry_out(born, &mut VecDeque::new(), out);
        core
    }

    /// The state of the class pools, where there are any.
    pub fn pools(&self) -> Option<PoolsState> {
        self.controller.pools.as_ref().map(Pools::state)
    }

    /// The fleet's part in overload, where there is one: what tells it of the fleet, and the fleet of this worker.
    pub fn overload(&mut self) -> Option<&mut OverloadPolicy> {
        self.controller.overload.as_mut()
    }

    /// What is to be told to the fleet; it is counted anew from now on.
    pub fn fleet_load_sample(&mut self, now: f64) -> Option<LoadSample> {
        let (served, refused) =
            self.figures.classes().iter().fold((0, 0), |(s, r), c| (s + c.success, r + c.overload));
        Some(self.controller.overload.as_mut()?.take_sample(now, served, refused))
    }

    /// What operators read of it: names and values.
    pub fn overload_figures(&self) -> Vec<(&'static str, String)> {
        self.controller.overload.as_ref().map(OverloadPolicy::metrics).unwrap_or_default()
    }

    /// How requests have ended so far, by class.
    pub fn figures(&self) -> &Metrics {
        &self.figures
    }

    /// Takes in what was counted before there was a core.
    pub fn count_earlier(&mut self, earlier: &Metrics) {
        self.figures.add(earlier);
    }

    /// Answers still owed: requests taken and not yet ended.
    pub fn owed(&self) -> usize {
        self.owed
    }

    /// Whether a request of this name is in hand: a second one must not come in.
    pub fn knows(&self, name: &str) -> bool {
        self.names.contains_key(name)
    }

    /// Takes all that a turn has gathered.
    pub fn handle(&mut self, now: f64, inputs: impl IntoIterator<Item = Input>, out: &mut Vec<Command>) {
        let mut events = VecDeque::new();
        for input in inputs {
            self.take(now, input, &mut events, out);
            self.settle(now, &mut events, out);
            while let Some(id) = self.gone.pop() {
                self.let_go(id);
            }
        }
        self.resume_doubted(now, out);
        if now - self.swept >= 1.0 {
            self.swept = now;
            self.keys.sweep(now);
            self.drop_silent_runs(now, out);
        }
        self.tell_keys(out);
        // Only requests that have ended everywhere leave the controller; their numbers are never used again.
        self.controller.take_released();
    }

    /// Tells the controller what has happened and carries out what it makes of it.
    fn settle(&mut self, now: f64, events: &mut VecDeque<Event>, out: &mut Vec<Command>) {
        while let Some(event) = events.pop_front() {
            let mut actions = std::mem::take(&mut self.actions);
            self.controller.handle(now, event, &mut actions);
            self.actions = actions;
            self.carry_out(now, events, out);
        }
    }

    fn take(&mut self, now: f64, input: Input, events: &mut VecDeque<Event>, out: &mut Vec<Command>) {
        match input {
            Input::Arrived(request) => events.extend(self.arrived(now, request, out)),
            Input::RunEnded { name, outcome, result } => {
                if let Some(&id) = self.names.get(&name) {
                    // Nothing was started, as the request is over. Where its run was commanded twice, that
                    // proves less: then its key stays as it is.
                    let once = |h: &InFlight| !h.twice && matches!(h.sent, Some((_, Sent::Run)));
                    if outcome == Outcome::NotStarted && self.requests.get(&id).is_some_and(once) {
                        self.never_ran(id, refused(), events, out);
                    } else {
                        self.run_ended(id, outcome, result, events, out);
                    }
                }
            }
            Input::AtCall { name, body, mark } => {
                let id = self.names.get(&name).copied();
                if let Some((id, held)) = id.and_then(|id| Some((id, self.requests.get_mut(&id)?))) {
                    held.at_call = Some((body, mark));
                    held.sent = None;
                    events.push_back(Event::AtCall(id));
                }
            }
            Input::CallEnded { name, outcome, reply } => {
                let id = self.names.get(&name).copied();
                let Some((id, held)) = id.and_then(|id| Some((id, self.requests.get_mut(&id)?))) else {
                    return;
                };
                if !std::mem::take(&mut held.calling) {
                    return;
                }
                if let (Outcome::Ok, Some(reply)) = (outcome, reply) {
                    let mark = held.at_call.take().map_or(0, |(_, mark)| mark);
                    held.sent = Some((now, Sent::Resume(reply.clone(), mark)));
                    out.push(Command::Resume { name, reply });
                }
                events.push_back(Event::CallEnded { id, outcome });
            }
            Input::NeverRan { name } => {
                if let Some(&id) = self.names.get(&name) {
                    self.never_ran(id, refused(), events, out);
                }
            }
            // To the controller it is a start that came too late: what a peer makes up is no sign of bad health.
            Input::UnknownRequest { name } => {
                if let Some(&id) = self.names.get(&name) {
                    self.never_ran(id, Response::Failed, events, out);
                }
            }
            Input::CommandsLost { from, to } => self.ask_again(now, from, to, out),
            Input::ClientDisconnected(ticket) => {
                // By name, not by a search: floods of resets come this way.
                let Some(id) = self.tickets.remove(&ticket) else { return };
                let Some(held) = self.requests.get_mut(&id) else { return };
                held.answered = true;
                self.owed -= 1;
                self.figures.left(held.request.class);
                // A run goes on, and its result is kept for the next try.
                if !held.started {
                    events.push_back(Event::CallerGone(id));
                    self.gone.push(id);
                }
            }
            Input::RunsLost => {
                let mut lost: Vec<RequestId> =
                    self.requests.iter().filter(|(_, h)| h.started).map(|(id, _)| *id).collect();
                lost.sort_unstable();
                for id in lost {
                    self.run_ended(id, Outcome::Error, None, events, out);
                }
            }
            Input::Shutdown { notice, stop } => {
                events.push_back(Event::Shutdown { ago_s: now - notice, in_s: stop - now })
            }
            Input::RespondAll => self.answer_all(events, out),
            Input::Woken(gauges) => events.push_back(Event::Woken(gauges)),
            Input::Pools(plan) => events.push_back(Event::Pools(plan)),
            Input::IdempotencyUpdate(news) => self.adopt_key(&news, events, out),
            Input::PredecessorGone => self.predecessor_gone(events, out),
            Input::OtherProcess { on_cores, calling, kb } => {
                self.beside = (on_cores, calling, kb);
                events.push_back(Event::OtherProcess { on_cores, calling, kb });
            }
            Input::LearnedState(learned) if learned.is_sound() => {
                events.push_back(Event::LearnedState(learned))
            }
            Input::LearnedState(_) => {
                out.push(Command::Log("what the old process learned makes no sense".to_owned()))
            }
        }
    }

    fn arrived(&mut self, now: f64, request: Request, out: &mut Vec<Command>) -> Option<Event> {
        // Guards the executor's names: two requests of one name could not be told apart.
        if self.names.contains_key(&request.name) || self.elsewhere.contains(&request.name) {
            return self.turn_away(&request, Response::Conflict, out);
        }
        // Guards window and grace: the process may have stalled between reading and this.
        let since_s = request.read_at.map_or(0.0, |at| (now - at).max(0.0));
        let (read_delay_s, time_left_s) = (request.read_delay_s + since_s, request.time_left_s - since_s);
        let arrived = now - read_delay_s;
        let key = request.key.clone().map(|key| IdempotencyKey {
            class: request.class,
            tenant: request.tenant,
            key,
        });
        let print = key.as_ref().map_or(0, |_| self.print(&request.body));
        let linked = key.as_ref().and_then(|k| self.keys.linked(k, arrived));
        let retry_of = linked.as_ref().map(|l| l.holder);
        // Guards the one run of a key: not refused either, since it may have had its run.
        let further = request.retry || !self.marks_retries;
        if key.is_some() && retry_of.is_none() && self.doubt.covers(arrived, further) {
            return self.turn_away(&request, Response::Failed, out);
        }
        // Nor one that lay unread for longer than keys are kept: another try may have run and be forgotten.
        if key.is_some() && read_delay_s >= self.keys.late_s() {
            return self.turn_away(&request, Response::DeadlineExceeded, out);
        }
        if key.is_some() && retry_of.is_none() && self.keys.full() {
            return self.turn_away(&request, refused(), out);
        }
        // Guards the kept result: all tries of one request carry the same body, so this is another request, and
        // whoever sent it must not be served with what a run made for the first.
        if linked.is_some_and(|l| l.print != print) {
            return self.turn_away(&request, Response::Conflict, out);
        }
        self.next += 1;
        let id = RequestId(self.next);
        let event = Event::Arrived(Arrival {
            id,
            class: request.class,
            tenant: request.tenant,
            caller: request.caller,
            kb: request.kb,
            read_delay_s,
            time_left_s: Some(time_left_s),
            estimate_s: request.estimate_s,
            retry_of,
            retry: request.retry,
        });
        self.names.insert(request.name.clone(), id);
        self.tickets.insert(request.ticket, id);
        self.owed += 1;
        let due = now + time_left_s;
        let (answered, started, calling) = (false, false, false);
        let (at_call, sent, twice) = (None, None, false);
        self.requests.insert(
            id,
            InFlight { request, due, arrived, print, answered, started, key, at_call, calling, sent, twice },
        );
        Some(event)
    }

    /// Answers a request that the controller never hears of.
    fn turn_away(&mut self, request: &Request, answer: Response, out: &mut Vec<Command>) -> Option<Event> {
        self.figures.answered(request.class, &answer);
        out.push(Command::Respond(request.ticket, answer));
        None
    }

    /// Gives the answer, unless one was given.
    fn answer(&mut self, id: RequestId, answer: Response, out: &mut Vec<Command>) {
        let Some(held) = self.requests.get_mut(&id).filter(|h| !h.answered) else { return };
        held.answered = true;
        self.owed -= 1;
        self.tickets.remove(&held.request.ticket);
        self.figures.answered(held.request.class, &answer);
        out.push(Command::Respond(held.request.ticket, answer));
    }

    fn remove(&mut self, id: RequestId) {
        if let Some(held) = self.requests.remove(&id) {
            self.names.remove(&held.request.name);
        }
    }

    /// A run has come to its end, whatever end: what is owed for it is given, and what waits for its key gets
    /// the same.
    fn run_ended(
        &mut self,
        id: RequestId,
        outcome: Outcome,
        result: Option<Rc<[u8]>>,
        events: &mut VecDeque<Event>,
        out: &mut Vec<Command>,
    ) {
        let Some(held) = self.requests.get(&id) else { return };
        let result = result.filter(|_| outcome == Outcome::Ok);
        let (key, calling, name) = (held.key.clone(), held.calling, held.request.name.clone());
        if calling {
            out.push(Command::GiveUpCall(name));
        }
        let answer = |result: &Option<Rc<[u8]>>| result.clone().map_or(Response::Failed, Response::Served);
        self.answer(id, answer(&result), out);
        self.remove(id);
        events.push_back(Event::RunEnded { id, outcome });
        let Some(key) = key else { return };
        self.key_ended(
            &key,
            id,
            result.map_or(KeyProgress::Failed, |r| KeyProgress::Served(Some(r))),
            events,
            out,
        );
    }

    /// A key's run has ended, here or elsewhere: the tries that wait for it get the same.
    fn key_ended(
        &mut self,
        key: &IdempotencyKey,
        holder: RequestId,
        progress: KeyProgress,
        events: &mut VecDeque<Event>,
        out: &mut Vec<Command>,
    ) {
        let (answer, outcome) = progress.share();
        let tries = self.keys.ended(key, holder, progress);
        self.key_news.push(key.clone());
        self.end_all(tries, &answer, outcome, events, out);
    }

    /// Answers requests and takes them from the table, and tells the controller that they have ended so.
    fn end_all(
        &mut self,
        ids: Vec<RequestId>,
        answer: &Response,
        outcome: Outcome,
        events: &mut VecDeque<Event>,
        out: &mut Vec<Command>,
    ) {
        for id in ids {
            if self.requests.contains_key(&id) {
                self.answer(id, answer.clone(), out);
                self.remove(id);
                events.push_back(Event::RunEnded { id, outcome });
            }
        }
    }

    /// A run that provably never began is no run: it and what waits for its key are turned away, and the key is
    /// free for a later try.
    fn never_ran(
        &mut self,
        id: RequestId,
        answer: Response,
        events: &mut VecDeque<Event>,
        out: &mut Vec<Command>,
    ) {
        let Some(held) = self.requests.get(&id) else { return };
        let mut over = vec![id];
        if let Some(key) = held.key.clone() {
            if let Some(entry) = self.keys.get_mut(&key).filter(|e| e.holder == id) {
                over.append(&mut entry.waiting);
            }
            self.keys.forget(&key, id);
            self.key_news.push(key);
        }
        self.end_all(over, &answer, Outcome::NotStarted, events, out);
    }

    /// Answers all that is owed: what may have run has failed, and what has not is turned away. Guards against a stop
    /// that leaves the module no time to give up by itself.
    fn answer_all(&mut self, events: &mut VecDeque<Event>, out: &mut Vec<Command>) {
        let shares: HashSet<RequestId> = self.keys.waiting().collect();
        let owed = self.requests.iter().filter(|(_, h)| !h.answered);
        let mut owed: Vec<(RequestId, bool)> =
            owed.map(|(id, h)| (*id, h.started || shares.contains(id))).collect();
        owed.sort_unstable();
        for (id, may_have_run) in owed {
            self.answer(id, if may_have_run { Response::Failed } else { refused() }, out);
            if !may_have_run {
                events.push_back(Event::CallerGone(id));
                self.gone.push(id);
            }
        }
    }

    fn share(&mut self, id: RequestId, events: &mut VecDeque<Event>, out: &mut Vec<Command>) {
        let held = self.requests.get(&id).and_then(|h| Some((h.key.clone()?, h.arrived)));
        let before = held.as_ref().and_then(|(key, arrived)| self.keys.ended_before(key, *arrived));
        let progress = match held.and_then(|(key, _)| self.keys.get_mut(&key)) {
            Some(_) if before.is_some() => before.unwrap_or(KeyProgress::Failed),
            Some(entry) => {
                if matches!(entry.progress, KeyProgress::Open) {
                    entry.waiting.push(id);
                    return;
                }
                entry.progress.clone()
            }
            None => KeyProgress::Failed,
        };
        let (answer, outcome) = progress.share();
        self.answer(id, answer, out);
        self.remove(id);
        events.push_back(Event::RunEnded { id, outcome });
    }

    /// Carries out what the controller asks: on the table of requests, or as a command.
    fn carry_out(&mut self, now: f64, events: &mut VecDeque<Event>, out: &mut Vec<Command>) {
        let mut actions = std::mem::take(&mut self.actions);
        for action in actions.drain(..) {
            match action {
                Action::Start(id) => {
                    let Some(held) = self.requests.get_mut(&id).filter(|h| !h.answered) else {
                        // It was lent to another process a moment ago, or answered because the process ends.
                        events.push_back(Event::RunEnded { id, outcome: Outcome::NotStarted });
                        continue;
                    };
                    held.started = true;
                    held.sent = Some((now, Sent::Run));
                    let body = held.request.body.clone();
                    let (name, class) = (held.request.name.clone(), held.request.class);
                    self.figures.dispatched(class);
                    out.push(Command::Run { name, class, body, due: held.due });
                }
                Action::Reject { id, retry_after_s, stop_retrying } => {
                    self.answer(id, Response::Rejected { retry_after_s, stop_retrying }, out);
                    self.let_go(id);
                }
                Action::Fail(id) => {
                    let near = self.requests.get(&id).is_some_and(|h| now + NEAR_DUE_S >= h.due);
                    self.answer(id, if near { Response::DeadlineExceeded } else { Response::Failed }, out);
                    self.let_go(id);
                }
                Action::RetainKey { id, for_s } => {
                    if let Some(h) = self.requests.get(&id) {
                        if let Some(key) = &h.key {
                            self.keys.remember(key, id, h.print, now + for_s);
                        }
                    }
                }
                // The request may have been answered and let go just before.
                Action::ReleaseKey(id) => {
                    if let Some(key) = self.requests.get(&id).and_then(|h| h.key.clone()) {
                        self.keys.forget(&key, id);
                        self.key_news.push(key);
                    }
                }
                Action::ShareResponse(id) => self.share(id, events, out),
                Action::Call { id, until_s } => {
                    let Some(held) = self.requests.get_mut(&id) else { continue };
                    let Some((body, _)) = held.at_call.clone() else { continue };
                    held.calling = true;
                    let name = held.request.name.clone();
                    let again = self.classes[held.request.class].effect == Idempotency::Idempotent;
                    out.push(Command::Call { name, body, for_s: (until_s - now).max(0.0), again });
                }
                Action::SkipCall(id) => {
                    let Some(held) = self.requests.get_mut(&id) else { continue };
                    if let Some((_, mark)) = held.at_call.take() {
                        held.sent = Some((now, Sent::Skip(mark)));
                        out.push(Command::SkipCall { name: held.request.name.clone(), mark });
                    }
                }
                // No backend of this program can stop a run, and the settings say so to the controller.
                Action::Preempt(_) => {}
                Action::Health(good) => out.push(Command::Health(good)),
                Action::Publish(level) => out.push(Command::Publish(level)),
                Action::WakeIn(after) => out.push(Command::WakeIn(after)),
                Action::Log(text) => out.push(Command::Log(text)),
            }
        }
        self.actions = actions;
    }

    /// Finds out what still runs after a link broke: each command that may have been lost is given again. Guards
    /// the run slots, which lost runs would hold. A run that goes on takes no harm from a second command to start,
    /// one that is over is not begun anew, and a second skip names the call that it is for. A reply names none:
    /// it is left out where that is allowed, and else sent again when its run must be standing at that call.
    fn ask_again(&mut self, now: f64, from: f64, to: f64, out: &mut Vec<Command>) {
        let doubted = |h: &InFlight| h.sent.as_ref().is_some_and(|(at, _)| (from..to).contains(at));
        let mut ids: Vec<RequestId> =
            self.requests.iter().filter(|(_, h)| doubted(h)).map(|(id, _)| *id).collect();
        ids.sort_unstable();
        for id in ids {
            let Some(held) = self.requests.get_mut(&id) else { continue };
            let (name, class) = (held.request.name.clone(), held.request.class);
            let skip = match &held.sent {
                Some((_, Sent::Run)) => {
                    held.twice = true;
                    let body = held.request.body.clone();
                    out.push(Command::Run { name, class, body, due: held.due });
                    held.sent = Some((now, Sent::Run));
                    continue;
                }
                Some((_, Sent::Resume(_, mark))) if self.classes[class].skipped_call_weight > 0.0 => *mark,
                Some((_, Sent::Skip(mark))) => *mark,
                _ => {
                    self.doubted.push((now + self.classes[class].objective_s * REPLY_AGAIN_OF_AIM, id));
                    continue;
                }
            };
            held.sent = Some((now, Sent::Skip(skip)));
            out.push(Command::SkipCall { name, mark: skip });
        }
    }

    /// Sends the replies again of which nothing has been heard for long enough.
    fn resume_doubted(&mut self, now: f64, out: &mut Vec<Command>) {
        let requests = &mut self.requests;
        self.doubted.retain(|(at, id)| {
            if now < *at {
                return true;
            }
            if let Some(held) = requests.get_mut(id) {
                if let Some((when, Sent::Resume(reply, _))) = &mut held.sent {
                    *when = now;
                    let (name, reply) = (held.request.name.clone(), reply.clone());
                    out.push(Command::Resume { name, reply });
                }
            }
            false
        });
    }

    /// An answered request that never ran leaves the table, and its key with it; a run goes on to its end.
    fn let_go(&mut self, id: RequestId) {
        let Some(held) = self.requests.get(&id).filter(|h| !h.started) else { return };
        if let Some(key) = held.key.clone() {
            self.keys.forget(&key, id);
            if let Some(entry) = self.keys.get_mut(&key) {
                entry.waiting.retain(|w| *w != id);
            }
            self.key_news.push(key);
        }
        self.remove(id);
    }

    /// Guards the run slots: a run whose end never comes, for whatever reason, would hold one for ever.
    fn drop_silent_runs(&mut self, now: f64, out: &mut Vec<Command>) {
        let silent = |h: &InFlight| h.started && now > h.due + SILENT_RUN_S;
        let mut gone: Vec<RequestId> =
            self.requests.iter().filter(|(_, h)| silent(h)).map(|(id, _)| *id).collect();
        gone.sort_unstable();
        let mut events = VecDeque::new();
        for id in gone {
            self.run_ended(id, Outcome::Cancelled, None, &mut events, out);
        }
        self.settle(now, &mut events, out);
    }

    /// When a request in hand reached the machine; for tests and logs.
    pub fn arrival_of(&self, name: &str) -> Option<f64> {
        self.names.get(name).and_then(|id| self.requests.get(id)).map(|h| h.arrived)
    }
}

#[cfg(test)]
mod tests;
