//! The adapter: JSON lines to events, actions to JSON, instances by number. It decides nothing.

use crate::admission::Controller;
use crate::config::{read_gauges, Options};
use crate::interface::{Action, Arrival, Event, Outcome, RequestId};
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, HashMap};

#[derive(Deserialize)]
struct Batch<'a> {
    #[serde(rename = "clockS")]
    clock: f64,
    #[serde(borrow)]
    workers: Vec<Inbox<'a>>,
}

#[derive(Deserialize)]
#[serde(rename_all = "camelCase")]
struct Inbox<'a> {
    worker_id: u64,
    #[serde(borrow)]
    items: Vec<&'a serde_json::value::RawValue>,
}

#[derive(Deserialize)]
#[serde(tag = "cmd", rename_all_fields = "camelCase")]
enum Item {
    Provision {
        prng: u64,
        options: Box<Options>,
    },
    Stop,
    Req(ReqItem),
    Dropped {
        req: String,
    },
    Ended {
        req: String,
        disposition: Disposition,
    },
    AtCall {
        req: String,
    },
    DepReply {
        req: String,
        disposition: Disposition,
    },
    #[serde(rename_all = "camelCase")]
    Sigterm {
        #[serde(rename = "remainingS")]
        remaining: f64,
    },
    DeadlineHit {
        #[serde(default)]
        gauge: Vec<f64>,
    },
}

#[derive(Deserialize)]
#[serde(rename_all = "camelCase")]
struct ReqItem {
    req: String,
    tier_class: usize,
    kb: f64,
    #[serde(default)]
    queued_for_s: f64,
    #[serde(default)]
    remaining_s: f64,
    size_hint_s: Option<f64>,
    earlier: Option<serde_json::Value>,
    owner: Option<usize>,
    #[serde(default)]
    is_retry: bool,
    #[serde(default)]
    who: u64,
}

#[derive(Deserialize)]
#[serde(rename_all = "SCREAMING_SNAKE_CASE")]
enum Disposition {
    Ok,
    Internal,
    ResourceExhausted,
    DeadlineExceeded,
    Unavailable,
    Aborted,
    Cancelled,
    TooLate,
}

#[derive(Serialize)]
struct Reply<'a> {
    workers: Vec<Outbox<'a>>,
}

#[derive(Serialize)]
#[serde(rename_all = "camelCase")]
struct Outbox<'a> {
    worker_id: u64,
    out: Vec<Order<'a>>,
}

#[derive(Serialize)]
#[serde(tag = "cmd", rename_all_fields = "camelCase")]
enum Order<'a> {
    Admit { req: &'a str },
    Busy { req: &'a str, not_before_for_s: f64, no_retry: bool },
    DropRequest { req: &'a str },
    RecordKey { req: &'a str, ttl_s: f64 },
    Unpin { req: &'a str },
    Reuse { req: &'a str },
    Dial { req: &'a str, until_s: f64 },
    Bypass { req: &'a str },
    TakeOff { req: &'a str },
    Fitness { want: bool, from_state: bool },
    Publish { level: f64 },
    Schedule { in_s: f64, nonce: &'static str },
    Debug { body_text: &'a str },
}

/// The only timer token: the controller keeps its own plan of what is due.
const WAKE: &str = "wake";

#[derive(Default)]
struct Names {
    numbers: HashMap<String, u64>,
    words: HashMap<u64, String>,
    next: u64,
}

impl Names {
    fn take(&mut self, word: String) -> RequestId {
        if let Some(&number) = self.numbers.get(&word) {
            return RequestId(number);
        }
        self.next += 1;
        self.words.insert(self.next, word.clone());
        self.numbers.insert(word, self.next);
        RequestId(self.next)
    }

    /// A word not known any more gets number 0, which no request has.
    fn find(&self, word: &str) -> RequestId {
        RequestId(self.numbers.get(word).copied().unwrap_or(0))
    }

    fn word(&self, id: RequestId) -> Option<&str> {
        self.words.get(&id.0).map(String::as_str)
    }

    fn release(&mut self, id: RequestId) {
        if let Some(word) = self.words.remove(&id.0) {
            self.numbers.remove(&word);
        }
    }
}

struct Instance {
    controller: Controller,
    names: Names,
    gauges: Vec<String>,
    classes: usize,
    tenants: usize,
    passes_deadline: bool,
}

/// All instances of this process.
#[derive(Default)]
pub struct SimulatorAdapter {
    instances: BTreeMap<u64, Instance>,
}

impl SimulatorAdapter {
    /// Answers one batch; an error says what is wrong and where.
    pub fn answer(&mut self, line: &str) -> Result<String, String> {
        let batch: Batch = serde_json::from_str(line).map_err(|e| format!("malformed batch: {e}"))?;
        if !batch.clock.is_finite() {
            return Err("clockS is not a finite number".to_owned());
        }
        let mut produced: Vec<(u64, Vec<Action>)> = Vec::with_capacity(batch.workers.len());
        for inbox in &batch.workers {
            let mut actions = Vec::new();
            for (place, raw) in inbox.items.iter().enumerate() {
                self.deliver(batch.clock, inbox.worker_id, raw.get(), &mut actions)
                    .map_err(|e| format!("worker {} item {place}: {e}", inbox.worker_id))?;
            }
            produced.push((inbox.worker_id, actions));
        }
        let mut workers = Vec::with_capacity(produced.len());
        for (worker_id, actions) in &produced {
            let Some(instance) = self.instances.get(worker_id) else { continue };
            let out: Vec<Order> = actions.iter().filter_map(|a| order(&instance.names, a)).collect();
            if !out.is_empty() {
                workers.push(Outbox { worker_id: *worker_id, out });
            }
        }
        let mut text = serde_json::to_string(&Reply { workers }).map_err(|e| e.to_string())?;
        text.push('\n');
        for (worker_id, _) in &produced {
            if let Some(instance) = self.instances.get_mut(worker_id) {
                for id in instance.controller.take_released() {
                    instance.names.release(id);
                }
            }
        }
        Ok(text)
    }

    fn deliver(&mut self, now: f64, worker: u64, raw: &str, out: &mut Vec<Action>) -> Result<(), String> {
        let item: Item = serde_json::from_str(raw).map_err(|e| e.to_string())?;
        match item {
            Item::Provision { prng, options } => {
                out.clear();
                let controller = Controller::new(options.settings(prng), now, out);
                self.instances.insert(
                    worker,
                    Instance {
                        controller,
                        names: Names::default(),
                        classes: options.profiles.len(),
                        tenants: options.tenants.len(),
                        passes_deadline: options.domain.passes_deadline,
                        gauges: options.domain.own_stats.clone(),
                    },
                );
                return Ok(());
            }
            Item::Stop => {
                out.clear();
                return match self.instances.remove(&worker) {
                    Some(_) => Ok(()),
                    None => Err("Stop for an instance that does not exist".to_owned()),
                };
            }
            _ => {}
        }
        let instance = self
            .instances
            .get_mut(&worker)
            .ok_or("an event for an instance that does not exist".to_owned())?;
        let event = instance.event(item)?;
        instance.controller.handle(now, event, out);
        Ok(())
    }
}

impl Instance {
    fn event(&mut self, item: Item) -> Result<Event, String> {
        Ok(match item {
            Item::Req(r) => {
                if r.tier_class >= self.classes {
                    return Err(format!("Req: no class {}", r.tier_class));
                }
                if r.owner.is_some_and(|o| self.tenants > 0 && o >= self.tenants) {
                    return Err(format!("Req: no tenant {}", r.owner.unwrap_or_default()));
                }
                let retry_of = match &r.earlier {
                    Some(serde_json::Value::String(word)) => Some(self.names.find(word)),
                    _ => None,
                };
                Event::Arrived(Arrival {
                    id: self.names.take(r.req),
                    class: r.tier_class,
                    tenant: r.owner.filter(|&o| o < self.tenants),
                    caller: r.who,
                    kb: r.kb,
                    read_delay_s: r.queued_for_s,
                    time_left_s: self.passes_deadline.then_some(r.remaining_s).filter(|&s| s > 0.0),
                    estimate_s: r.size_hint_s,
                    retry_of,
                    retry: r.is_retry,
                })
            }
            Item::Dropped { req } => Event::CallerGone(self.names.find(&req)),
            Item::Ended { req, disposition } => {
                Event::RunEnded { id: self.names.find(&req), outcome: outcome(&disposition) }
            }
            Item::AtCall { req } => Event::AtCall(self.names.find(&req)),
            Item::DepReply { req, disposition } => {
                Event::CallEnded { id: self.names.find(&req), outcome: outcome(&disposition) }
            }
            Item::Sigterm { remaining } => Event::Shutdown { ago_s: 0.0, in_s: remaining },
            Item::DeadlineHit { gauge } => Event::Woken(read_gauges(&self.gauges, &gauge)),
            Item::Provision { .. } | Item::Stop => {
                return Err("not an event of a running instance".to_owned())
            }
        })
    }
}

fn outcome(disposition: &Disposition) -> Outcome {
    match disposition {
        Disposition::Ok => Outcome::Ok,
        Disposition::Internal => Outcome::Error,
        Disposition::ResourceExhausted => Outcome::Rejected,
        Disposition::DeadlineExceeded => Outcome::TimedOut,
        Disposition::Unavailable => Outcome::Unreachable,
        Disposition::Aborted => Outcome::Interrupted,
        Disposition::Cancelled => Outcome::Cancelled,
        Disposition::TooLate => Outcome::NotStarted,
    }
}

/// An action for a request that the wire no longer knows has nothing to act on and is left out.
fn order<'a>(names: &'a Names, action: &'a Action) -> Option<Order<'a>> {
    let word = |id: &RequestId| names.word(*id);
    Some(match action {
        Action::Start(id) => Order::Admit { req: word(id)? },
        Action::Reject { id, retry_after_s, stop_retrying } => {
            Order::Busy { req: word(id)?, not_before_for_s: *retry_after_s, no_retry: *stop_retrying }
        }
        Action::Fail(id) => Order::DropRequest { req: word(id)? },
        Action::RetainKey { id, for_s } => Order::RecordKey { req: word(id)?, ttl_s: *for_s },
        Action::ReleaseKey(id) => Order::Unpin { req: word(id)? },
        Action::ShareResponse(id) => Order::Reuse { req: word(id)? },
        Action::Call { id, until_s } => Order::Dial { req: word(id)?, until_s: *until_s },
        Action::SkipCall(id) => Order::Bypass { req: word(id)? },
        Action::Preempt(id) => Order::TakeOff { req: word(id)? },
        Action::Health(good) => Order::Fitness { want: *good, from_state: true },
        Action::Publish(level) => Order::Publish { level: *level },
        Action::WakeIn(after) => Order::Schedule { in_s: *after, nonce: WAKE },
        Action::Log(text) => Order::Debug { body_text: text },
    })
}
