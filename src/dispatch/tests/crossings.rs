//! Any settings that a customer may have, any order of events: the rules of service hold.

use super::*;
use proptest::prelude::*;
use proptest::test_runner::{Config, RngAlgorithm, TestRng, TestRunner};

/// What one class may look like: effect, window, deadline, worth of late answers, whether it calls and can do without.
type Kind = (u8, f64, f64, bool, bool, bool);

/// What else a customer's settings may say: cores, part of the dependency and the time that counts it, memory, crowd that
/// is survived, longest advice, grace.
type Place = (u32, f64, f64, f64, f64, f64, f64);

/// What happens next, to which request, in which way, after how long (milliseconds).
type Step = (u8, usize, u8, u32);

/// A request as whoever sent it knows it.
#[derive(Debug)]
struct Sent {
    class: usize,
    key: Option<u8>,
    arrived: f64,
    due: f64,
    /// Its connection still stands.
    waits: bool,
    answer: Option<Response>,
    run: Run,
}

impl Sent {
    /// Whether its run may still be going: one of which nothing is heard for so long is taken for dead.
    fn goes_on(&self, now: f64) -> bool {
        self.run.open() && now <= self.due + SILENT_RUN_S
    }
}

#[derive(Clone, Copy, PartialEq, Debug)]
enum Run {
    None,
    Commanded,
    /// It has been heard of: it is certain that it began.
    Began,
    AtCall,
    Calling,
    Ended,
    /// It is proven that it never began.
    Never,
}

impl Run {
    fn open(self) -> bool {
        matches!(self, Run::Commanded | Run::Began | Run::AtCall | Run::Calling)
    }
}

struct World {
    play: Play,
    kinds: Vec<Kind>,
    grace_s: f64,
    sent: Vec<Sent>,
    notice: Option<f64>,
    /// Nothing was looked at for a while: answers may come late for that.
    paused: bool,
}

const EFFECTS: [Idempotency; 3] = [Idempotency::Idempotent, Idempotency::Keyed, Idempotency::NotIdempotent];
const STOP_S: f64 = 2.0;

impl World {
    fn new(kinds: Vec<Kind>, place: Place) -> World {
        let class = |(i, k): (usize, &Kind)| Class {
            weight: 1.0 + i as f64,
            objective_s: k.2 * 0.5,
            deadline_s: k.2,
            effect: EFFECTS[usize::from(k.0)],
            window_s: k.1,
            calls: k.4,
            skipped_call_weight: if k.5 { 0.6 } else { 0.0 },
            late_weight: if k.3 { 0.2 } else { 0.0 },
        };
        let classes = kinds.iter().enumerate().map(class).collect();
        let (cores, share, window_s, memory_kb, survivable_multiple, max_retry_after_s, grace_s) = place;
        let dependency = Some(Dependency { share, window_s, linger_s: 0.1 });
        let set = Settings {
            cores,
            classes,
            dependency,
            memory_kb,
            survivable_multiple,
            max_retry_after_s,
            ..settings()
        };
        let play = Play::with(Settings { shutdown_grace_s: grace_s, ..set });
        World { play, kinds, grace_s, sent: Vec::new(), notice: None, paused: false }
    }

    fn name(i: usize) -> Rc<str> {
        format!("r{i}").into()
    }

    fn window_s(&self, class: usize) -> f64 {
        self.kinds[class].1
    }

    /// Runs of this key so far, but for those that are proven never to have begun.
    fn runs_of(&self, i: usize) -> impl Iterator<Item = (usize, &Sent)> {
        let (class, key) = (self.sent[i].class, self.sent[i].key);
        let ran = |s: &Sent| !matches!(s.run, Run::None | Run::Never);
        let same = move |s: &Sent| key.is_some() && (s.class, s.key) == (class, key);
        self.sent.iter().enumerate().filter(move |(j, s)| *j != i && same(s) && ran(s))
    }

    fn tell(&mut self, input: Input) -> Result<(), TestCaseError> {
        let out = self.play.tell(input);
        for command in out {
            self.check(command)?;
        }
        Ok(())
    }

    fn check(&mut self, command: Command) -> Result<(), TestCaseError> {
        let now = self.play.now;
        match command {
            Command::Respond(ticket, answer) => {
                let i = ticket.0 as usize;
                prop_assert!(self.sent[i].answer.is_none(), "r{i} is answered twice");
                prop_assert!(self.sent[i].waits, "r{i} is answered, and its caller has gone");
                let late = now - self.sent[i].due;
                prop_assert!(self.paused || late <= 0.1, "r{i} is answered {late} s late");
                if let Response::Rejected { .. } = answer {
                    let class = self.sent[i].class;
                    let ran = !matches!(self.sent[i].run, Run::None | Run::Never);
                    prop_assert!(
                        !ran || EFFECTS[usize::from(self.kinds[class].0)] == Idempotency::Idempotent,
                        "r{i} ran"
                    );
                    let covers =
                        |s: &Sent| s.goes_on(now) || self.sent[i].arrived <= s.arrived + self.window_s(class);
                    let earlier = self.runs_of(i).find(|(_, s)| covers(s)).map(|(j, _)| j);
                    let story = earlier.map(|j| (now, &self.sent[i], j, &self.sent[j]));
                    prop_assert!(story.is_none(), "r{i} is refused, and its key has run: {story:?}");
                }
                if let Response::Served(_) = answer {
                    let ran = self.sent[i].run == Run::Ended || self.runs_of(i).next().is_some();
                    prop_assert!(ran, "r{i} is served, and nothing ran");
                }
                self.sent[i].answer = Some(answer);
            }
            Command::Run { name, .. } => {
                let i: usize = name[1..].parse().unwrap();
                if self.sent[i].run != Run::None {
                    // Given again after a break.
                    prop_assert_eq!(self.sent[i].run, Run::Commanded);
                    return Ok(());
                }
                prop_assert!(
                    self.sent[i].answer.is_none() && self.sent[i].waits,
                    "r{i} runs, and none is owed"
                );
                let (arrived, window_s) = (self.sent[i].arrived, self.window_s(self.sent[i].class));
                let covers =
                    |s: &Sent| s.goes_on(now) || s.arrived <= arrived && arrived <= s.arrived + window_s;
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

    /// The first request from here on of which this is true.
    fn find(&self, from: usize, is: impl Fn(&Sent) -> bool) -> Option<usize> {
        let n = self.sent.len();
        (0..n).map(|k| (from + k) % n.max(1)).find(|i| is(&self.sent[*i]))
    }

    fn step(&mut self, (what, which, way, ms): Step) -> Result<(), TestCaseError> {
        let reply = || Some(Rc::from(*b"!"));
        match what {
            0..=4 => {
                let class = which % self.kinds.len();
                let keyed = EFFECTS[usize::from(self.kinds[class].0)] == Idempotency::Keyed;
                let key = keyed.then_some(way % 3);
                let read_delay_s = [0.0, 0.0, 0.0, 0.03, 0.4, 2.0, 7.0][usize::from(way % 7)];
                let deadline_s = self.kinds[class].2;
                let i = self.sent.len();
                let now = self.play.now;
                // It lay with the system, or was read and the process stalled.
                let (read_at, lay_s) =
                    if which % 2 == 0 { (None, read_delay_s) } else { (Some(now - read_delay_s), 0.0) };
                let time_left_s = deadline_s - lay_s;
                let arrived = now - read_delay_s;
                let due = (arrived + deadline_s).max(now);
                let (waits, answer, run) = (true, None, Run::None);
                self.sent.push(Sent { class, key, arrived, due, waits, answer, run });
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
                self.tell(Input::Arrived(request))?;
            }
            5 | 6 => {
                let Some(i) = self.find(which, |s| s.run.open()) else { return Ok(()) };
                let never = way == 3 && self.sent[i].run == Run::Commanded;
                let outcome = match way {
                    0 | 1 => Outcome::Ok,
                    _ if never => Outcome::NotStarted,
                    2 => Outcome::Error,
                    _ => Outcome::Cancelled,
                };
                self.sent[i].run = if never { Run::Never } else { Run::Ended };
                self.tell(Input::RunEnded { name: World::name(i), outcome, result: reply() })?;
            }
            7 => {
                let Some(i) = self.find(which, |s| matches!(s.run, Run::Commanded | Run::Began)) else {
                    return Ok(());
                };
                self.sent[i].run = Run::AtCall;
                self.tell(Input::AtCall { name: World::name(i), body: Rc::from([]), mark: 1 })?;
            }
            8 => {
                let Some(i) = self.find(which, |s| s.run == Run::Calling) else { return Ok(()) };
                let outcomes = [Outcome::Ok, Outcome::Error, Outcome::TimedOut, Outcome::Unreachable];
                let outcome = outcomes[usize::from(way % 4)];
                self.sent[i].run = if outcome == Outcome::Ok { Run::Began } else { Run::AtCall };
                self.tell(Input::CallEnded { name: World::name(i), outcome, reply: reply() })?;
            }
            9 => {
                let Some(i) = self.find(which, |s| s.waits && s.answer.is_none()) else { return Ok(()) };
                self.sent[i].waits = false;
                self.tell(Input::ClientDisconnected(Ticket(i as u64)))?;
            }
            10 if way < 2 => {
                let now = self.play.now;
                self.tell(Input::CommandsLost { from: now - 0.3, to: now })?;
            }
            10 if way == 2 && which % 8 == 0 => {
                for s in self.sent.iter_mut().filter(|s| s.run.open()) {
                    s.run = Run::Ended;
                }
                self.tell(Input::RunsLost)?;
            }
            11 if way == 0 && which % 16 == 0 && self.notice.is_none() => {
                let notice = self.play.now;
                self.notice = Some(notice);
                // A stall between the notice and the core.
                self.paused = true;
                self.play.now += f64::from(ms) / 400.0;
                self.tell(Input::Shutdown { notice, stop: notice + STOP_S })?;
            }
            11 if way == 1 && which % 8 == 0 && self.notice.is_some() => {
                self.tell(Input::RespondAll)?;
                let owed = self.find(0, |s| s.waits && s.answer.is_none());
                prop_assert!(owed.is_none(), "r{owed:?} has no answer after the last call");
            }
            12 if which % 8 == 0 => {
                self.paused = true;
                self.play.now += f64::from(ms) / 20.0;
            }
            _ => self.pass(f64::from(ms) / 1000.0)?,
        }
        Ok(())
    }

    fn pass(&mut self, seconds: f64) -> Result<(), TestCaseError> {
        let until = self.play.now + seconds;
        while self.play.now < until {
            self.play.now += 0.025;
            self.tell(Input::Woken(Gauges::default()))?;
        }
        Ok(())
    }
}

#[test]
fn under_any_settings_and_in_any_order_each_has_one_answer_and_each_key_one_run() {
    let cases = std::env::var("CROSSINGS_CASES").ok().and_then(|n| n.parse().ok()).unwrap_or(300);
    let config = Config { cases, failure_persistence: None, max_shrink_iters: 20_000, ..Config::default() };
    let dice = TestRng::from_seed(RngAlgorithm::ChaCha, &[24; 32]);
    let window = prop_oneof![Just(0.0), 0.01..0.3f64, 0.3..3.0f64, Just(9.0)];
    let kind = (0..3u8, window, 0.05..6.0f64, any::<bool>(), any::<bool>(), any::<bool>());
    let step = (0..16u8, 0..64usize, 0..7u8, 1..120u32);
    let share = prop_oneof![Just(0.0), 0.1..1.0f64, 1.0..8.0f64];
    let window = prop_oneof![Just(0.0), Just(5.0)];
    let memory = prop_oneof![10.0..400.0f64, Just(1e6)];
    let grace = prop_oneof![Just(0.0), Just(1.0), Just(9.0)];
    let place = (1..4u32, share, window, memory, 0.5..10.0f64, prop_oneof![Just(0.0), Just(1.0)], grace);
    let world = (proptest::collection::vec(kind, 1..5), place, proptest::collection::vec(step, 1..300));
    let ran = TestRunner::new_with_rng(config, dice).run(&world, |(kinds, place, steps)| {
        let mut world = World::new(kinds, place);
        for step in steps {
            world.step(step)?;
        }
        world.pass(20.0)?;
        let owed = world.find(0, |s| s.waits && s.answer.is_none());
        prop_assert!(owed.is_none(), "r{owed:?} has no answer");
        prop_assert_eq!(world.play.core.pending_responses(), 0);
        Ok(())
    });
    if let Err(e) = ran {
        panic!("{e}");
    }
}
