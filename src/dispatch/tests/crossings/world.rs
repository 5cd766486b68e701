//! A dispatcher with its callers and its backend: carries out random steps and checks each command.

use super::super::*;
use proptest::prelude::*;

/// What one class may look like.
#[derive(Clone, Debug)]
pub(super) struct ClassSpec {
    pub(super) effect: Idempotency,
    pub(super) window_s: f64,
    pub(super) deadline_s: f64,
    /// A late response keeps some weight.
    pub(super) late_counts: bool,
    pub(super) calls: bool,
    /// It may be served without its call.
    pub(super) can_skip_call: bool,
}

/// What else the settings may say.
#[derive(Clone, Debug)]
pub(super) struct WorkerSpec {
    pub(super) cores: u32,
    pub(super) dependency_share: f64,
    pub(super) dependency_window_s: f64,
    pub(super) memory_kb: f64,
    pub(super) survivable_multiple: f64,
    pub(super) max_retry_after_s: f64,
    pub(super) grace_s: f64,
}

/// What happens next. How the numbers are used depends on `kind`.
#[derive(Clone, Copy, Debug)]
pub(super) struct Step {
    pub(super) kind: u8,
    /// To which request.
    pub(super) which: usize,
    /// In which way.
    pub(super) way: u8,
    /// After how long (milliseconds).
    pub(super) ms: u32,
}

/// A request as its caller knows it.
#[derive(Debug)]
pub(super) struct SentRequest {
    class: usize,
    key: Option<u8>,
    arrived: f64,
    due: f64,
    /// Its connection is open.
    pub(super) waits: bool,
    pub(super) response: Option<Response>,
    run: Run,
}

impl SentRequest {
    /// Whether its run may still go on: one without a message for that long counts as lost.
    fn may_run(&self, now: f64) -> bool {
        self.run.is_open() && now <= self.due + SILENT_RUN_S
    }
}

#[derive(Clone, Copy, PartialEq, Debug)]
enum Run {
    None,
    Commanded,
    /// It certainly began, since a message about it has come.
    Began,
    AtCall,
    Calling,
    Ended,
    /// It provably never began.
    Never,
}

impl Run {
    fn is_open(self) -> bool {
        matches!(self, Run::Commanded | Run::Began | Run::AtCall | Run::Calling)
    }
}

pub(super) struct World {
    pub(super) harness: Harness,
    classes: Vec<ClassSpec>,
    grace_s: f64,
    sent: Vec<SentRequest>,
    notice: Option<f64>,
    /// The process stalled for a while: responses may be late for that.
    stalled: bool,
}

pub(super) const EFFECTS: [Idempotency; 3] =
    [Idempotency::Idempotent, Idempotency::Keyed, Idempotency::NotIdempotent];
const STOP_S: f64 = 2.0;

impl World {
    pub(super) fn new(classes: Vec<ClassSpec>, worker: &WorkerSpec) -> World {
        let to_class = |(i, class): (usize, &ClassSpec)| Class {
            weight: 1.0 + i as f64,
            objective_s: class.deadline_s * 0.5,
            deadline_s: class.deadline_s,
            effect: class.effect,
            window_s: class.window_s,
            calls: class.calls,
            skipped_call_weight: if class.can_skip_call { 0.6 } else { 0.0 },
            late_weight: if class.late_counts { 0.2 } else { 0.0 },
        };
        let dependency = Dependency {
            share: worker.dependency_share,
            window_s: worker.dependency_window_s,
            linger_s: 0.1,
        };
        let settings = Settings {
            cores: worker.cores,
            classes: classes.iter().enumerate().map(to_class).collect(),
            dependency: Some(dependency),
            memory_kb: worker.memory_kb,
            survivable_multiple: worker.survivable_multiple,
            max_retry_after_s: worker.max_retry_after_s,
            shutdown_grace_s: worker.grace_s,
            ..settings()
        };
        World {
            harness: Harness::with(settings),
            classes,
            grace_s: worker.grace_s,
            sent: Vec::new(),
            notice: None,
            stalled: false,
        }
    }

    fn name(i: usize) -> Rc<str> {
        format!("r{i}").into()
    }

    fn window_s(&self, class: usize) -> f64 {
        self.classes[class].window_s
    }

    /// Runs of this key so far, except those that provably never began.
    fn runs_of(&self, i: usize) -> impl Iterator<Item = (usize, &SentRequest)> {
        let (class, key) = (self.sent[i].class, self.sent[i].key);
        let ran = |s: &SentRequest| !matches!(s.run, Run::None | Run::Never);
        let same = move |s: &SentRequest| key.is_some() && (s.class, s.key) == (class, key);
        self.sent.iter().enumerate().filter(move |(j, s)| *j != i && same(s) && ran(s))
    }

    fn input(&mut self, input: Input) -> Result<(), TestCaseError> {
        let out = self.harness.input(input);
        for command in out {
            self.check(command)?;
        }
        Ok(())
    }

    fn check(&mut self, command: Command) -> Result<(), TestCaseError> {
        let now = self.harness.now;
        match command {
            Command::Respond(ticket, response) => {
                let i = ticket.0 as usize;
                prop_assert!(self.sent[i].response.is_none(), "r{i} gets two responses");
                prop_assert!(self.sent[i].waits, "r{i} gets a response, and its caller has gone");
                let late = now - self.sent[i].due;
                prop_assert!(self.stalled || late <= 0.1, "r{i} gets its response {late} s late");
                if let Response::Rejected { .. } = response {
                    let class = self.sent[i].class;
                    let ran = !matches!(self.sent[i].run, Run::None | Run::Never);
                    prop_assert!(!ran || self.classes[class].effect == Idempotency::Idempotent, "r{i} ran");
                    let covers = |s: &SentRequest| {
                        s.may_run(now) || self.sent[i].arrived <= s.arrived + self.window_s(class)
                    };
                    let earlier = self.runs_of(i).find(|(_, s)| covers(s)).map(|(j, _)| j);
                    let story = earlier.map(|j| (now, &self.sent[i], j, &self.sent[j]));
                    prop_assert!(story.is_none(), "r{i} is rejected, and its key has run: {story:?}");
                }
                if let Response::Served(_) = response {
                    let ran = self.sent[i].run == Run::Ended || self.runs_of(i).next().is_some();
                    prop_assert!(ran, "r{i} is served, and nothing ran");
                }
                self.sent[i].response = Some(response);
            }
            Command::Run { name, .. } => {
                let i: usize = name[1..].parse().unwrap();
                if self.sent[i].run != Run::None {
                    // Commanded again after a break.
                    prop_assert_eq!(self.sent[i].run, Run::Commanded);
                    return Ok(());
                }
                prop_assert!(
                    self.sent[i].response.is_none() && self.sent[i].waits,
                    "r{i} runs, and no response is pending"
                );
                let (arrived, window_s) = (self.sent[i].arrived, self.window_s(self.sent[i].class));
                let covers = |s: &SentRequest| {
                    s.may_run(now) || s.arrived <= arrived && arrived <= s.arrived + window_s
                };
                let earlier = self.runs_of(i).find(|(_, s)| covers(s)).map(|(j, _)| j);
                let story = earlier.map(|j| (now, &self.sent[i], j, &self.sent[j]));
                prop_assert!(story.is_none(), "r{i} runs, and its key has run: {story:?}");
                let late = self.notice.is_some_and(|at| arrived > at + self.grace_s);
                prop_assert!(!late, "r{i} arrived after the grace, and runs");
                self.sent[i].run = Run::Commanded;
            }
            Command::Call { name, .. } => {
                let i: usize = name[1..].parse().unwrap();
                prop_assert_eq!(self.sent[i].run, Run::AtCall, "r{} calls", i);
                self.sent[i].run = Run::Calling;
            }
            Command::SkipCall { name, .. } => {
                let i: usize = name[1..].parse().unwrap();
                self.sent[i].run = Run::Began;
            }
            _ => {}
        }
        Ok(())
    }

    /// The first request from this one on, in a ring, that satisfies the condition.
    pub(super) fn find(&self, from: usize, condition: impl Fn(&SentRequest) -> bool) -> Option<usize> {
        let n = self.sent.len();
        (0..n).map(|k| (from + k) % n.max(1)).find(|i| condition(&self.sent[*i]))
    }

    pub(super) fn step(&mut self, Step { kind, which, way, ms }: Step) -> Result<(), TestCaseError> {
        let reply = || Some(Rc::from(*b"!"));
        match kind {
            0..=4 => {
                let class = which % self.classes.len();
                let keyed = self.classes[class].effect == Idempotency::Keyed;
                let key = keyed.then_some(way % 3);
                let read_delay_s = [0.0, 0.0, 0.0, 0.03, 0.4, 2.0, 7.0][usize::from(way % 7)];
                let deadline_s = self.classes[class].deadline_s;
                let i = self.sent.len();
                let now = self.harness.now;
                // It lay unread, or was read and the process stalled.
                let (read_at, lay_s) =
                    if which % 2 == 0 { (None, read_delay_s) } else { (Some(now - read_delay_s), 0.0) };
                let time_left_s = deadline_s - lay_s;
                let arrived = now - read_delay_s;
                let due = (arrived + deadline_s).max(now);
                let (waits, response, run) = (true, None, Run::None);
                self.sent.push(SentRequest { class, key, arrived, due, waits, response, run });
                let key = key.map(|k| Rc::from(format!("k{k}").as_str()));
                let ticket = Ticket(i as u64);
                let request = Request {
                    ticket,
                    class,
                    key,
                    read_at,
                    read_delay_s: lay_s,
                    time_left_s,
                    retry: way > 2,
                    ..request(i as u64, "")
                };
                self.input(Input::Arrived(request))?;
            }
            5 | 6 => {
                let Some(i) = self.find(which, |s| s.run.is_open()) else { return Ok(()) };
                let never = way == 3 && self.sent[i].run == Run::Commanded;
                let outcome = match way {
                    0 | 1 => Outcome::Ok,
                    _ if never => Outcome::NotStarted,
                    2 => Outcome::Error,
                    _ => Outcome::Cancelled,
                };
                self.sent[i].run = if never { Run::Never } else { Run::Ended };
                self.input(Input::RunEnded { name: World::name(i), outcome, result: reply() })?;
            }
            7 => {
                let Some(i) = self.find(which, |s| matches!(s.run, Run::Commanded | Run::Began)) else {
                    return Ok(());
                };
                self.sent[i].run = Run::AtCall;
                self.input(Input::AtCall { name: World::name(i), body: Rc::from([]), sequence: 1 })?;
            }
            8 => {
                let Some(i) = self.find(which, |s| s.run == Run::Calling) else { return Ok(()) };
                let outcomes = [Outcome::Ok, Outcome::Error, Outcome::TimedOut, Outcome::Unreachable];
                let outcome = outcomes[usize::from(way % 4)];
                self.sent[i].run = if outcome == Outcome::Ok { Run::Began } else { Run::AtCall };
                self.input(Input::CallEnded { name: World::name(i), outcome, reply: reply() })?;
            }
            9 => {
                let Some(i) = self.find(which, |s| s.waits && s.response.is_none()) else { return Ok(()) };
                self.sent[i].waits = false;
                self.input(Input::ClientDisconnected(Ticket(i as u64)))?;
            }
            10 if way < 2 => {
                let now = self.harness.now;
                self.input(Input::CommandsLost { from: now - 0.3, to: now })?;
            }
            10 if way == 2 && which % 8 == 0 => {
                for s in self.sent.iter_mut().filter(|s| s.run.is_open()) {
                    s.run = Run::Ended;
                }
                self.input(Input::RunsLost)?;
            }
            11 if way == 0 && which % 16 == 0 && self.notice.is_none() => {
                let notice = self.harness.now;
                self.notice = Some(notice);
                // A stall between the notice and the dispatcher.
                self.stalled = true;
                self.harness.now += f64::from(ms) / 400.0;
                self.input(Input::Shutdown { noticed_at: notice, stop_at: notice + STOP_S })?;
            }
            11 if way == 1 && which % 8 == 0 && self.notice.is_some() => {
                self.input(Input::RespondAll)?;
                let pending = self.find(0, |s| s.waits && s.response.is_none());
                prop_assert!(pending.is_none(), "r{pending:?} has no response after RespondAll");
            }
            12 if which % 8 == 0 => {
                self.stalled = true;
                self.harness.now += f64::from(ms) / 20.0;
            }
            _ => self.pass(f64::from(ms) / 1000.0)?,
        }
        Ok(())
    }

    pub(super) fn pass(&mut self, seconds: f64) -> Result<(), TestCaseError> {
        let until = self.harness.now + seconds;
        while self.harness.now < until {
            self.harness.now += 0.025;
            self.input(Input::Woken(Gauges::default()))?;
        }
        Ok(())
    }
}
