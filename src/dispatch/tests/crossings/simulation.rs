//! Simulates the clients and the backend of a dispatcher: executes random steps and checks each resulting command.

use super::super::*;
use proptest::prelude::*;

/// Random settings of one class.
#[derive(Clone, Debug)]
pub(super) struct ClassSpec {
    pub(super) effect: Idempotency,
    pub(super) window_s: f64,
    pub(super) deadline_s: f64,
    /// Whether a late response has a weight above 0.
    pub(super) late_counts: bool,
    pub(super) calls: bool,
    /// Whether the downstream call may be skipped.
    pub(super) can_skip_call: bool,
}

/// Random settings of the worker.
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

/// A random step. The meaning of the other fields depends on `kind`.
#[derive(Clone, Copy, Debug)]
pub(super) struct Step {
    pub(super) kind: u8,
    /// Selects the request or class.
    pub(super) selector: usize,
    /// Selects a variant of the step.
    pub(super) variant: u8,
    /// Duration of the step (milliseconds).
    pub(super) ms: u32,
}

/// A request from the client's point of view.
#[derive(Debug)]
pub(super) struct SentRequest {
    class: usize,
    key: Option<u8>,
    arrived: f64,
    deadline: f64,
    /// Whether its connection is open.
    pub(super) is_connected: bool,
    pub(super) response: Option<Response>,
    run: Run,
}

impl SentRequest {
    /// Returns whether its client waits for a response.
    pub(super) fn is_pending(&self) -> bool {
        self.is_connected && self.response.is_none()
    }

    /// Returns whether its run may still be in progress; the dispatcher ends it [`OVERDUE_RUN_TIMEOUT_S`] after its
    /// deadline.
    fn may_run(&self, now: f64) -> bool {
        self.run.is_open() && now <= self.deadline + OVERDUE_RUN_TIMEOUT_S
    }
}

/// State of a request's run, as the backend knows it.
#[derive(Clone, Copy, PartialEq, Debug)]
enum Run {
    None,
    Commanded,
    /// The backend has sent a message about it, so it has started.
    Confirmed,
    AtCall,
    Calling,
    Ended,
    /// The backend has reported that it never started.
    NeverStarted,
}

impl Run {
    fn is_open(self) -> bool {
        matches!(self, Run::Commanded | Run::Confirmed | Run::AtCall | Run::Calling)
    }
}

pub(super) struct Simulation {
    pub(super) harness: Harness,
    classes: Vec<ClassSpec>,
    grace_s: f64,
    sent: Vec<SentRequest>,
    notice_at: Option<f64>,
    /// Whether the process has stalled, which may delay responses beyond their deadline.
    stalled: bool,
}

pub(super) const EFFECTS: [Idempotency; 3] =
    [Idempotency::Idempotent, Idempotency::Keyed, Idempotency::NotIdempotent];
/// Time between the shutdown notice and the stop of the process (seconds).
const STOP_S: f64 = 2.0;

impl Simulation {
    pub(super) fn new(classes: Vec<ClassSpec>, worker: &WorkerSpec) -> Simulation {
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
        Simulation {
            harness: Harness::with_settings(settings),
            classes,
            grace_s: worker.grace_s,
            sent: Vec::new(),
            notice_at: None,
            stalled: false,
        }
    }

    fn name(i: usize) -> Rc<str> {
        format!("r{i}").into()
    }

    /// Returns the index of the request with this name.
    fn index(name: &str) -> usize {
        name[1..].parse().unwrap()
    }

    /// Returns the result of every run and call.
    fn result_body() -> Rc<[u8]> {
        Rc::from(*b"!")
    }

    fn window_s(&self, class: usize) -> f64 {
        self.classes[class].window_s
    }

    /// Returns the other requests with the same key that have run or may have run.
    fn runs_of(&self, i: usize) -> impl Iterator<Item = (usize, &SentRequest)> {
        let (class, key) = (self.sent[i].class, self.sent[i].key);
        let ran = |s: &SentRequest| !matches!(s.run, Run::None | Run::NeverStarted);
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

    /// Asserts that a command is allowed, and updates the state of its request.
    fn check(&mut self, command: Command) -> Result<(), TestCaseError> {
        match command {
            Command::Respond(ticket, response) => self.check_response(ticket.0 as usize, response),
            Command::Run { name, .. } => self.check_run(Simulation::index(&name)),
            Command::Call { name, .. } => {
                let i = Simulation::index(&name);
                prop_assert_eq!(self.sent[i].run, Run::AtCall, "r{} makes a call that it has not reached", i);
                self.sent[i].run = Run::Calling;
                Ok(())
            }
            Command::SkipCall { name, .. } => {
                self.sent[Simulation::index(&name)].run = Run::Confirmed;
                Ok(())
            }
            _ => Ok(()),
        }
    }

    /// Asserts that a request gets one response, in time, and one that is consistent with the runs of its key.
    fn check_response(&mut self, i: usize, response: Response) -> Result<(), TestCaseError> {
        prop_assert!(self.sent[i].response.is_none(), "r{i} gets a second response");
        prop_assert!(self.sent[i].is_connected, "r{i} gets a response after its client disconnected");
        let late = self.harness.now - self.sent[i].deadline;
        prop_assert!(self.stalled || late <= 0.1, "r{i} gets its response {late} s after its deadline");
        if let Response::Rejected { .. } = response {
            self.check_rejection(i)?;
        }
        if let Response::Served(_) = response {
            let ran = self.sent[i].run == Run::Ended || self.runs_of(i).next().is_some();
            prop_assert!(ran, "r{i} is served without a run");
        }
        self.sent[i].response = Some(response);
        Ok(())
    }

    /// Asserts that a rejected request may safely be retried: neither it nor its key has run, unless it is idempotent.
    fn check_rejection(&self, i: usize) -> Result<(), TestCaseError> {
        let now = self.harness.now;
        let class = self.sent[i].class;
        let ran = !matches!(self.sent[i].run, Run::None | Run::NeverStarted);
        prop_assert!(
            !ran || self.classes[class].effect == Idempotency::Idempotent,
            "r{i} is rejected although it ran"
        );
        let covers =
            |s: &SentRequest| s.may_run(now) || self.sent[i].arrived <= s.arrived + self.window_s(class);
        let earlier = self.runs_of(i).find(|(_, s)| covers(s)).map(|(j, _)| j);
        let conflict = earlier.map(|j| (now, &self.sent[i], j, &self.sent[j]));
        prop_assert!(conflict.is_none(), "r{i} is rejected although its key has run: {conflict:?}");
        Ok(())
    }

    /// Asserts that the client of a run is waiting, that no other run of its key covers the request's arrival, and that
    /// the request didn't arrive after the shutdown grace.
    fn check_run(&mut self, i: usize) -> Result<(), TestCaseError> {
        let now = self.harness.now;
        if self.sent[i].run != Run::None {
            // The command was resent after a lost connection.
            prop_assert_eq!(self.sent[i].run, Run::Commanded);
            return Ok(());
        }
        prop_assert!(self.sent[i].is_pending(), "r{i} is started without a pending response");
        let (arrived, window_s) = (self.sent[i].arrived, self.window_s(self.sent[i].class));
        let covers =
            |s: &SentRequest| s.may_run(now) || s.arrived <= arrived && arrived <= s.arrived + window_s;
        let earlier = self.runs_of(i).find(|(_, s)| covers(s)).map(|(j, _)| j);
        let conflict = earlier.map(|j| (now, &self.sent[i], j, &self.sent[j]));
        prop_assert!(conflict.is_none(), "r{i} is started although its key has run: {conflict:?}");
        let late = self.notice_at.is_some_and(|at| arrived > at + self.grace_s);
        prop_assert!(!late, "r{i} is started although it arrived after the shutdown grace");
        self.sent[i].run = Run::Commanded;
        Ok(())
    }

    /// Returns the first request that satisfies the condition, searching from index `from` and wrapping around.
    pub(super) fn find(&self, from: usize, condition: impl Fn(&SentRequest) -> bool) -> Option<usize> {
        let n = self.sent.len();
        (0..n).map(|k| (from + k) % n.max(1)).find(|i| condition(&self.sent[*i]))
    }

    /// Executes a step. Most kinds do nothing if no request is in a suitable state. Rare kinds also depend on
    /// `selector`.
    pub(super) fn step(&mut self, Step { kind, selector, variant, ms }: Step) -> Result<(), TestCaseError> {
        match kind {
            0..=4 => self.send(selector, variant),
            5 | 6 => self.end_run(selector, variant),
            7 => self.reach_call(selector),
            8 => self.end_call(selector, variant),
            9 => self.disconnect_client(selector),
            10 if variant < 2 => {
                let now = self.harness.now;
                self.input(Input::CommandsLost { from: now - 0.3, to: now })
            }
            10 if variant == 2 && selector % 8 == 0 => self.lose_runs(),
            11 if variant == 0 && selector % 16 == 0 && self.notice_at.is_none() => {
                self.shut_down(f64::from(ms) / 400.0)
            }
            11 if variant == 1 && selector % 8 == 0 && self.notice_at.is_some() => self.respond_all(),
            12 if selector % 8 == 0 => {
                self.stall(f64::from(ms) / 20.0);
                Ok(())
            }
            _ => self.advance(f64::from(ms) / 1000.0),
        }
    }

    /// Sends a request, which reaches the dispatcher immediately or after a delay.
    fn send(&mut self, selector: usize, variant: u8) -> Result<(), TestCaseError> {
        let class = selector % self.classes.len();
        let keyed = self.classes[class].effect == Idempotency::Keyed;
        let key = keyed.then_some(variant % 3);
        let delay_s = [0.0, 0.0, 0.0, 0.03, 0.4, 2.0, 7.0][usize::from(variant % 7)];
        let deadline_s = self.classes[class].deadline_s;
        let now = self.harness.now;
        // The delay comes before the request is read, or after it, as if the process had stalled.
        let (read_at, read_delay_s) =
            if selector.is_multiple_of(2) { (None, delay_s) } else { (Some(now - delay_s), 0.0) };
        let arrived = now - delay_s;
        let number = self.sent.len() as u64;
        self.sent.push(SentRequest {
            class,
            key,
            arrived,
            deadline: (arrived + deadline_s).max(now),
            is_connected: true,
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
            retry: variant > 2,
            ..request(number, "")
        }))
    }

    /// Reports from the backend that a run has ended or never started.
    fn end_run(&mut self, selector: usize, variant: u8) -> Result<(), TestCaseError> {
        let Some(i) = self.find(selector, |s| s.run.is_open()) else { return Ok(()) };
        let never = variant == 3 && self.sent[i].run == Run::Commanded;
        let outcome = match variant {
            0 | 1 => Outcome::Ok,
            _ if never => Outcome::NotStarted,
            2 => Outcome::Error,
            _ => Outcome::Cancelled,
        };
        self.sent[i].run = if never { Run::NeverStarted } else { Run::Ended };
        self.input(Input::RunEnded {
            name: Simulation::name(i),
            outcome,
            result: Some(Simulation::result_body()),
        })
    }

    /// Reports that a run has reached its downstream call.
    fn reach_call(&mut self, selector: usize) -> Result<(), TestCaseError> {
        let Some(i) = self.find(selector, |s| matches!(s.run, Run::Commanded | Run::Confirmed)) else {
            return Ok(());
        };
        self.sent[i].run = Run::AtCall;
        self.input(Input::AtCall { name: Simulation::name(i), body: Rc::from([]), sequence: 1 })
    }

    /// Reports that a downstream call has ended.
    fn end_call(&mut self, selector: usize, variant: u8) -> Result<(), TestCaseError> {
        let Some(i) = self.find(selector, |s| s.run == Run::Calling) else { return Ok(()) };
        let outcomes = [Outcome::Ok, Outcome::Error, Outcome::TimedOut, Outcome::Unreachable];
        let outcome = outcomes[usize::from(variant % 4)];
        self.sent[i].run = if outcome == Outcome::Ok { Run::Confirmed } else { Run::AtCall };
        self.input(Input::CallEnded {
            name: Simulation::name(i),
            outcome,
            reply: Some(Simulation::result_body()),
        })
    }

    /// Disconnects a client that waits for its response.
    fn disconnect_client(&mut self, selector: usize) -> Result<(), TestCaseError> {
        let Some(i) = self.find(selector, SentRequest::is_pending) else { return Ok(()) };
        self.sent[i].is_connected = false;
        self.input(Input::ClientDisconnected(Ticket(i as u64)))
    }

    /// Reports that the backend has lost all runs.
    fn lose_runs(&mut self) -> Result<(), TestCaseError> {
        for s in self.sent.iter_mut().filter(|s| s.run.is_open()) {
            s.run = Run::Ended;
        }
        self.input(Input::RunsLost)
    }

    /// Sends the shutdown notice, which reaches the dispatcher after a stall.
    fn shut_down(&mut self, stall_s: f64) -> Result<(), TestCaseError> {
        let notice_at = self.harness.now;
        self.notice_at = Some(notice_at);
        self.stall(stall_s);
        self.input(Input::Shutdown { noticed_at: notice_at, stop_at: notice_at + STOP_S })
    }

    /// Sends `RespondAll`, as the event loop does shortly before the process is stopped, and checks that no response is
    /// pending afterwards.
    fn respond_all(&mut self) -> Result<(), TestCaseError> {
        self.input(Input::RespondAll)?;
        let pending = self.find(0, SentRequest::is_pending);
        prop_assert!(pending.is_none(), "r{pending:?} has no response after RespondAll");
        Ok(())
    }

    /// Advances the clock without running the dispatcher.
    fn stall(&mut self, seconds: f64) {
        self.stalled = true;
        self.harness.now += seconds;
    }

    /// Advances the clock, and wakes the dispatcher every 25 ms.
    pub(super) fn advance(&mut self, seconds: f64) -> Result<(), TestCaseError> {
        let until = self.harness.now + seconds;
        while self.harness.now < until {
            self.harness.now += 0.025;
            self.input(Input::Woken(Gauges::default()))?;
        }
        Ok(())
    }
}
