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
    /// Whether its client waits for a response.
    pub(super) fn is_pending(&self) -> bool {
        self.waits && self.response.is_none()
    }

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
            idempotency: class.effect,
            window_s: class.window_s,
            makes_calls: class.calls,
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

    /// The request that has this name.
    fn index(name: &str) -> usize {
        name[1..].parse().unwrap()
    }

    /// What a run or a call returns.
    fn result_body() -> Rc<[u8]> {
        Rc::from(*b"!")
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

    /// Asserts that a command was allowed, and notes what it means for its request.
    fn check(&mut self, command: Command) -> Result<(), TestCaseError> {
        match command {
            Command::Respond(ticket, response) => self.check_response(ticket.0 as usize, response),
            Command::Run { name, .. } => self.check_run(World::index(&name)),
            Command::Call { name, .. } => {
                let i = World::index(&name);
                prop_assert_eq!(self.sent[i].run, Run::AtCall, "r{} calls", i);
                self.sent[i].run = Run::Calling;
                Ok(())
            }
            Command::SkipCall { name, .. } => {
                self.sent[World::index(&name)].run = Run::Began;
                Ok(())
            }
            _ => Ok(()),
        }
    }

    /// There is one response for each request, in time, and it fits what has run.
    fn check_response(&mut self, i: usize, response: Response) -> Result<(), TestCaseError> {
        prop_assert!(self.sent[i].response.is_none(), "r{i} gets two responses");
        prop_assert!(self.sent[i].waits, "r{i} gets a response, and its caller has gone");
        let late = self.harness.now - self.sent[i].due;
        prop_assert!(self.stalled || late <= 0.1, "r{i} gets its response {late} s late");
        if let Response::Rejected { .. } = response {
            self.check_rejection(i)?;
        }
        if let Response::Served(_) = response {
            let ran = self.sent[i].run == Run::Ended || self.runs_of(i).next().is_some();
            prop_assert!(ran, "r{i} is served, and nothing ran");
        }
        self.sent[i].response = Some(response);
        Ok(())
    }

    /// A rejected request may be sent again: neither it nor its key has run, unless it is idempotent.
    fn check_rejection(&self, i: usize) -> Result<(), TestCaseError> {
        let now = self.harness.now;
        let class = self.sent[i].class;
        let ran = !matches!(self.sent[i].run, Run::None | Run::Never);
        prop_assert!(!ran || self.classes[class].effect == Idempotency::Idempotent, "r{i} ran");
        let covers =
            |s: &SentRequest| s.may_run(now) || self.sent[i].arrived <= s.arrived + self.window_s(class);
        let earlier = self.runs_of(i).find(|(_, s)| covers(s)).map(|(j, _)| j);
        let story = earlier.map(|j| (now, &self.sent[i], j, &self.sent[j]));
        prop_assert!(story.is_none(), "r{i} is rejected, and its key has run: {story:?}");
        Ok(())
    }

    /// A run has a client that waits for it, is the only one of its key, and didn't arrive after the grace.
    fn check_run(&mut self, i: usize) -> Result<(), TestCaseError> {
        let now = self.harness.now;
        if self.sent[i].run != Run::None {
            // Commanded again after a break.
            prop_assert_eq!(self.sent[i].run, Run::Commanded);
            return Ok(());
        }
        prop_assert!(self.sent[i].is_pending(), "r{i} runs, and no response is pending");
        let (arrived, window_s) = (self.sent[i].arrived, self.window_s(self.sent[i].class));
        let covers =
            |s: &SentRequest| s.may_run(now) || s.arrived <= arrived && arrived <= s.arrived + window_s;
        let earlier = self.runs_of(i).find(|(_, s)| covers(s)).map(|(j, _)| j);
        let story = earlier.map(|j| (now, &self.sent[i], j, &self.sent[j]));
        prop_assert!(story.is_none(), "r{i} runs, and its key has run: {story:?}");
        let late = self.notice.is_some_and(|at| arrived > at + self.grace_s);
        prop_assert!(!late, "r{i} arrived after the grace, and runs");
        self.sent[i].run = Run::Commanded;
        Ok(())
    }

    /// The first request from this one on, in a ring, that satisfies the condition.
    pub(super) fn find(&self, from: usize, condition: impl Fn(&SentRequest) -> bool) -> Option<usize> {
        let n = self.sent.len();
        (0..n).map(|k| (from + k) % n.max(1)).find(|i| condition(&self.sent[*i]))
    }

    /// Carries out a step. Most kinds have no effect where nothing fits them; rare ones are drawn by `which` too.
    pub(super) fn step(&mut self, Step { kind, which, way, ms }: Step) -> Result<(), TestCaseError> {
        match kind {
            0..=4 => self.send(which, way),
            5 | 6 => self.end_run(which, way),
            7 => self.reach_call(which),
            8 => self.end_call(which, way),
            9 => self.disconnect_client(which),
            10 if way < 2 => {
                let now = self.harness.now;
                self.input(Input::CommandsLost { from: now - 0.3, to: now })
            }
            10 if way == 2 && which % 8 == 0 => self.lose_runs(),
            11 if way == 0 && which % 16 == 0 && self.notice.is_none() => {
                self.shut_down(f64::from(ms) / 400.0)
            }
            11 if way == 1 && which % 8 == 0 && self.notice.is_some() => self.respond_all(),
            12 if which % 8 == 0 => {
                self.stall(f64::from(ms) / 20.0);
                Ok(())
            }
            _ => self.pass(f64::from(ms) / 1000.0),
        }
    }

    /// A client sends a request, which is dispatched immediately or after a delay.
    fn send(&mut self, which: usize, way: u8) -> Result<(), TestCaseError> {
        let class = which % self.classes.len();
        let keyed = self.classes[class].effect == Idempotency::Keyed;
        let key = keyed.then_some(way % 3);
        let delay_s = [0.0, 0.0, 0.0, 0.03, 0.4, 2.0, 7.0][usize::from(way % 7)];
        let deadline_s = self.classes[class].deadline_s;
        let now = self.harness.now;
        // It lay unread, or was read and the process stalled.
        let (read_at, read_delay_s) =
            if which.is_multiple_of(2) { (None, delay_s) } else { (Some(now - delay_s), 0.0) };
        let arrived = now - delay_s;
        let number = self.sent.len() as u64;
        self.sent.push(SentRequest {
            class,
            key,
            arrived,
            due: (arrived + deadline_s).max(now),
            waits: true,
            response: None,
            run: Run::None,
        });
        self.input(Input::Arrived(Request {
            ticket: Ticket(number),
            class,
            key: key.map(|key| Rc::from(format!("k{key}").as_str())),
            read_at,
            read_delay_s,
            time_left_s: deadline_s - read_delay_s,
            retry: way > 2,
            ..request(number, "")
        }))
    }

    /// The executor reports the end of a run, or that it never began.
    fn end_run(&mut self, which: usize, way: u8) -> Result<(), TestCaseError> {
        let Some(i) = self.find(which, |s| s.run.is_open()) else { return Ok(()) };
        let never = way == 3 && self.sent[i].run == Run::Commanded;
        let outcome = match way {
            0 | 1 => Outcome::Ok,
            _ if never => Outcome::NotStarted,
            2 => Outcome::Error,
            _ => Outcome::Cancelled,
        };
        self.sent[i].run = if never { Run::Never } else { Run::Ended };
        self.input(Input::RunEnded { name: World::name(i), outcome, result: Some(World::result_body()) })
    }

    /// A run comes to its downstream call.
    fn reach_call(&mut self, which: usize) -> Result<(), TestCaseError> {
        let Some(i) = self.find(which, |s| matches!(s.run, Run::Commanded | Run::Began)) else {
            return Ok(());
        };
        self.sent[i].run = Run::AtCall;
        self.input(Input::AtCall { name: World::name(i), body: Rc::from([]), sequence: 1 })
    }

    /// A downstream call ends.
    fn end_call(&mut self, which: usize, way: u8) -> Result<(), TestCaseError> {
        let Some(i) = self.find(which, |s| s.run == Run::Calling) else { return Ok(()) };
        let outcomes = [Outcome::Ok, Outcome::Error, Outcome::TimedOut, Outcome::Unreachable];
        let outcome = outcomes[usize::from(way % 4)];
        self.sent[i].run = if outcome == Outcome::Ok { Run::Began } else { Run::AtCall };
        self.input(Input::CallEnded { name: World::name(i), outcome, reply: Some(World::result_body()) })
    }

    /// A client that waits for its response disconnects.
    fn disconnect_client(&mut self, which: usize) -> Result<(), TestCaseError> {
        let Some(i) = self.find(which, SentRequest::is_pending) else { return Ok(()) };
        self.sent[i].waits = false;
        self.input(Input::ClientDisconnected(Ticket(i as u64)))
    }

    /// The executor has lost all runs.
    fn lose_runs(&mut self) -> Result<(), TestCaseError> {
        for s in self.sent.iter_mut().filter(|s| s.run.is_open()) {
            s.run = Run::Ended;
        }
        self.input(Input::RunsLost)
    }

    /// The shutdown notice comes, and reaches the dispatcher after a stall.
    fn shut_down(&mut self, stall_s: f64) -> Result<(), TestCaseError> {
        let notice = self.harness.now;
        self.notice = Some(notice);
        self.stall(stall_s);
        self.input(Input::Shutdown { noticed_at: notice, stop_at: notice + STOP_S })
    }

    /// The stop is near: whatever is pending gets its response.
    fn respond_all(&mut self) -> Result<(), TestCaseError> {
        self.input(Input::RespondAll)?;
        let pending = self.find(0, SentRequest::is_pending);
        prop_assert!(pending.is_none(), "r{pending:?} has no response after RespondAll");
        Ok(())
    }

    /// Time passes in which the process doesn't run.
    fn stall(&mut self, seconds: f64) {
        self.stalled = true;
        self.harness.now += seconds;
    }

    /// Time passes, and the dispatcher is woken again and again.
    pub(super) fn pass(&mut self, seconds: f64) -> Result<(), TestCaseError> {
        let until = self.harness.now + seconds;
        while self.harness.now < until {
            self.harness.now += 0.025;
            self.input(Input::Woken(Gauges::default()))?;
        }
        Ok(())
    }
}
