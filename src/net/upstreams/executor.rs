//! The link to the executor: one JSON object a line, notices numbered, taken up again where it broke.
//!
//! Commands of the last moments before a break may be lost with it. The next link begins with JOIN and a question
//! that serves as a fence: once it is answered, all notices of before have been read, and the core is told which
//! commands are in doubt. It alone decides what is given again.

use crate::config::read_gauges;
use crate::dispatch::Input;
use crate::interface::{Gauges, Outcome};
use crate::net::frontends::request_fields::Catalog;
use crate::net::io::buffer::{Filled, Link};
use crate::net::io::poll::{Place, Poll};
use crate::net::Log;
use base64::engine::general_purpose::STANDARD;
use base64::Engine;
use serde::{Deserialize, Serialize};
use std::borrow::Cow;
use std::net::SocketAddr;
use std::rc::Rc;

/// The longest line that is taken: a result of 4 KiB in base64 leaves much room.
const LINE_MOST: usize = 64 * 1024;
/// Commands that wait for the executor to read or to come back (bytes). A held request is smaller.
const QUEUE_MOST: usize = 4 * 1024 * 1024;
/// What was commanded so long before a break may be lost with it: 50 ms, and what this loop may lag (seconds).
const DOUBT_S: f64 = 0.15;
/// First and longest wait before a new link is tried (seconds).
const RELINK_S: (f64, f64) = (0.02, 0.5);
/// Gauges older than this say nothing any more (seconds).
const GAUGES_KEEP_S: f64 = 0.5;
#[derive(Serialize)]
#[serde(tag = "type", rename_all = "UPPERCASE")]
enum Order<'a> {
    Join { n: u64 },
    Exec { job: &'a str, kind: &'a str, data: &'a str },
    Return { job: &'a str, data: &'a str },
    Bypass { job: &'a str, n: u64 },
    Meter { r#ref: &'a str },
}

#[derive(Deserialize)]
struct Notice<'a> {
    #[serde(borrow, rename = "type")]
    kind: Cow<'a, str>,
    n: Option<u64>,
    #[serde(borrow)]
    job: Option<Cow<'a, str>>,
    #[serde(borrow)]
    state: Option<Cow<'a, str>>,
    took: Option<f64>,
    #[serde(borrow)]
    data: Option<Cow<'a, str>>,
    gauges: Option<Vec<f64>>,
    #[serde(borrow, rename = "ref")]
    tag: Option<Cow<'a, str>>,
}

/// What the executor says of its own start.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Welcome {
    pub cold: bool,
    /// When it started, on the loop's clock.
    pub started: f64,
}

/// The executor as this worker sees it.
pub struct Executor {
    address: SocketAddr,
    poll: Poll,
    /// The link that has been joined, and the one that is being set up to take its place.
    link: Option<(u64, Link)>,
    next: Option<(u64, Link)>,
    /// Commands for the next link, given since the last one broke.
    waiting: Vec<Vec<u8>>,
    waiting_bytes: usize,
    /// When all commands were last seen to have gone out.
    clear: f64,
    /// The span of commands in doubt since the last break, and whether the new link has been asked its fence.
    doubt: Option<(f64, f64)>,
    fence: u64,
    last: u64,
    /// When it last said anything, on the loop's clock.
    heard: f64,
    welcome: Option<Welcome>,
    gauge_names: Vec<String>,
    gauges: Option<(f64, Gauges)>,
    pause_s: f64,
    relink_at: Option<f64>,
}

impl Executor {
    pub fn new(poll: &Poll, address: SocketAddr, gauge_names: Vec<String>) -> Executor {
        Executor {
            address,
            poll: poll.clone(),
            link: None,
            next: None,
            waiting: Vec::new(),
            waiting_bytes: 0,
            clear: 0.0,
            doubt: None,
            fence: 0,
            last: 0,
            heard: 0.0,
            welcome: None,
            gauge_names,
            gauges: None,
            pause_s: RELINK_S.0,
            relink_at: Some(0.0),
        }
    }

    /// The executor's word on its start, once it is up.
    pub fn welcome(&self) -> Option<Welcome> {
        self.welcome
    }

    /// Whether a link stands.
    pub fn linked(&self) -> bool {
        self.link.is_some()
    }

    /// The gauges, unless they are stale.
    pub fn gauges(&self, now: f64) -> Gauges {
        self.gauges.filter(|(at, _)| now - at < GAUGES_KEEP_S).map_or(Gauges::default(), |(_, g)| g)
    }

    /// How long until a link should be tried; `None` while there is one.
    pub fn relink_in(&self, now: f64) -> Option<f64> {
        self.relink_at.map(|at| (at - now).max(0.0))
    }

    pub fn mark(&mut self, number: u64, readable: bool, writable: bool) {
        for (n, link) in [&mut self.link, &mut self.next].into_iter().flatten() {
            if *n == number {
                link.mark(readable, writable);
            }
        }
    }

    /// The executor is to be found elsewhere. The old link serves until the new one stands.
    pub fn move_to(&mut self, now: f64, address: SocketAddr) {
        if address != self.address {
            (self.address, self.next) = (address, None);
            (self.pause_s, self.relink_at) = (RELINK_S.0, Some(now));
        }
    }

    /// The link is gone, broken or given up for another.
    fn lose(&mut self, now: f64, why: &str, log: &mut Log) {
        if let Some((_, link)) = self.link.take() {
            log.line(&format!("executor: link lost: {why}"));
            let since = if link.queued() > 0 { self.clear } else { now };
            // A break before the fence of an earlier one leaves both spans in doubt.
            let from = self.doubt.map_or(f64::INFINITY, |(from, _)| from).min(since - DOUBT_S);
            self.doubt = Some((from, now));
        }
        if self.next.is_none() {
            self.try_later(now);
        }
    }

    fn try_later(&mut self, now: f64) {
        self.relink_at = Some(now + self.pause_s);
        self.pause_s = (self.pause_s * 2.0).min(RELINK_S.1);
    }

    /// Sets up a link when it is time; `true` once it stands.
    fn set_up(&mut self, now: f64, log: &mut Log) -> bool {
        if self.next.is_none() && self.relink_at.is_some_and(|at| now >= at) {
            let number = self.poll.fresh();
            match Link::connect(&self.poll, self.address, Place::Executor(number), LINE_MOST) {
                Ok(link) => (self.next, self.relink_at) = (Some((number, link)), None),
                Err(e) => {
                    log.line(&format!("executor: no link: {e}"));
                    self.try_later(now);
                }
            }
        }
        match self.next.as_ref().and_then(|(_, link)| link.connected()) {
            None => false,
            Some(Ok(())) => true,
            Some(Err(e)) => {
                log.line(&format!("executor: no link: {e}"));
                self.next = None;
                self.try_later(now);
                false
            }
        }
    }

    /// Links up when it is time, and takes what the executor has said.
    pub fn gather(&mut self, now: f64, inputs: &mut Vec<Input>, log: &mut Log) {
        let stands = self.set_up(now, log);
        self.read(now, inputs, log);
        if stands {
            self.lose(now, "another takes its place", log);
            if let Some((_, link)) = &mut self.next {
                link.push(line(&Order::Join { n: self.last }));
                if self.doubt.is_some() {
                    self.fence += 1;
                    link.push(line(&Order::Meter { r#ref: &format!("f{}", self.fence) }));
                }
                self.waiting.drain(..).for_each(|command| link.push(command));
                self.waiting_bytes = 0;
                self.clear = now;
            }
            self.link = self.next.take();
            self.read(now, inputs, log);
        }
    }

    fn read(&mut self, now: f64, inputs: &mut Vec<Input>, log: &mut Log) {
        loop {
            let Some((_, link)) = &mut self.link else { return };
            let filled = link.fill();
            let mut taken = 0;
            let mut bad = false;
            let data = link.data();
            let mut notices = Vec::new();
            while let Some(end) = data[taken..].iter().position(|b| *b == b'\n') {
                match serde_json::from_slice::<Notice>(&data[taken..taken + end]) {
                    Ok(notice) => notices.push(notice),
                    Err(_) => bad = true,
                }
                taken += end + 1;
            }
            let full = taken == 0 && data.len() >= LINE_MOST;
            let news: Vec<News> = notices.into_iter().map(News::from).collect();
            link.consume(taken);
            if bad {
                log.often("executor: a line is no notice");
            }
            for notice in news {
                self.take(now, notice, inputs, log);
                self.heard = now;
            }
            if full {
                return self.lose(now, "a line has no end", log);
            }
            match filled {
                Filled::Open if taken == 0 => return,
                Filled::Open => {}
                Filled::Ended => return self.lose(now, "closed", log),
                Filled::Broken => return self.lose(now, "broken", log),
            }
        }
    }

    fn take(&mut self, now: f64, news: News, inputs: &mut Vec<Input>, log: &mut Log) {
        // A new link begins after the last notice read; what comes again all the same was dealt with.
        if let Some(n) = news.n {
            if n <= self.last {
                return;
            }
            self.last = n;
        }
        let state = news.state.as_deref().unwrap_or("");
        match (news.kind.as_str(), news.job) {
            ("WELCOME", _) => {
                self.pause_s = RELINK_S.0;
                let started = now - news.took.filter(|t| t.is_finite()).unwrap_or(0.0) / 1000.0;
                // One that started after the last word heard is another one. Its start alone tells too little:
                // a welcome that is read late makes it look later than it was.
                let another = self.welcome.is_some() && started > self.heard;
                if another {
                    log.line("executor: it has been started anew; its runs are lost");
                    inputs.push(Input::RunsLost);
                    self.last = 0;
                }
                if another || self.welcome.is_none() {
                    self.welcome = Some(Welcome { cold: state == "EMPTY", started });
                }
            }
            ("EXIT", Some(name)) => {
                let result = news.data.as_deref().map(|d| STANDARD.decode(d));
                let (outcome, result) = match (state, result) {
                    ("PASS", Some(Ok(result))) => (Outcome::Ok, Some(Rc::from(result))),
                    // Without a result there is nothing to serve.
                    ("PASS", None) => (Outcome::Ok, Some(Rc::from([]))),
                    ("KILLED", _) => (Outcome::Cancelled, None),
                    ("NOOP", _) => (Outcome::NotStarted, None),
                    ("FAIL", _) => (Outcome::Error, None),
                    _ => {
                        log.often("executor: an EXIT can't be read");
                        (Outcome::Error, None)
                    }
                };
                inputs.push(Input::RunEnded { name, outcome, result });
            }
            ("CALLOUT", Some(name)) => {
                let body = news.data.as_deref().map_or(Ok(Vec::new()), |d| STANDARD.decode(d));
                match body {
                    Ok(body) => {
                        inputs.push(Input::AtCall { name, body: body.into(), mark: news.n.unwrap_or(0) })
                    }
                    Err(_) => log.often("executor: a CALLOUT can't be read"),
                }
            }
            ("METERS", _) => {
                if let Some(values) = news.gauges {
                    self.gauges = Some((now, read_gauges(&self.gauge_names, &values)));
                }
                let tag = news.tag.as_deref().unwrap_or("");
                if tag.strip_prefix('f').and_then(|n| n.parse().ok()) == Some(self.fence) {
                    if let Some((from, to)) = self.doubt.take() {
                        inputs.push(Input::CommandsLost { from, to });
                    }
                }
            }
            // What the executor knows of no request is not run. Other commands that it does not carry out change
            // nothing: a skip or a reply that was sent again may find its run gone on.
            ("BAD", Some(name)) if state == "EXEC" => {
                log.often("executor: a request is unknown there");
                inputs.push(Input::UnknownRequest { name });
            }
            ("BAD", _) => log.often("executor: a command was not carried out"),
            ("LOG" | "DIAGNOSED", _) => {}
            _ => log.often("executor: a notice of an unknown kind"),
        }
    }

    fn send(&mut self, command: Vec<u8>) -> bool {
        match &mut self.link {
            Some((_, link)) if link.queued() < QUEUE_MOST => link.push(command),
            None if self.waiting_bytes < QUEUE_MOST => self.wait(command),
            _ => return false,
        }
        true
    }

    fn wait(&mut self, command: Vec<u8>) {
        self.waiting_bytes += command.len();
        self.waiting.push(command);
    }

    /// Starts a run; `false` where it could not even be queued, so that nothing has run.
    pub fn run(&mut self, name: &str, class: usize, body: &[u8], known: &Catalog) -> bool {
        let data = STANDARD.encode(body);
        self.send(line(&Order::Exec { job: name, kind: known.class_name(class), data: &data }))
    }

    pub fn resume(&mut self, name: &str, reply: &[u8]) -> bool {
        self.send(line(&Order::Return { job: name, data: &STANDARD.encode(reply) }))
    }

    pub fn skip(&mut self, name: &str, mark: u64) -> bool {
        self.send(line(&Order::Bypass { job: name, n: mark }))
    }

    /// Asks for the gauges, unless commands wait: then the executor is not reading.
    pub fn ask_gauges(&mut self) {
        if let Some((_, link)) = self.link.as_mut().filter(|(_, l)| l.queued() == 0) {
            link.push(line(&Order::Meter { r#ref: "g" }));
        }
    }

    pub fn flush(&mut self, now: f64, log: &mut Log) {
        let Some((_, link)) = &mut self.link else { return };
        let flushed = link.flush();
        if link.queued() == 0 {
            self.clear = now;
        }
        if let Err(e) = flushed {
            self.lose(now, &e.to_string(), log);
        }
    }
}

fn line(order: &Order) -> Vec<u8> {
    // These types hold nothing that JSON can't.
    let mut text = serde_json::to_vec(order).unwrap_or_default();
    text.push(b'\n');
    text
}

/// A notice freed from the buffer that it lay in.
struct News {
    kind: String,
    n: Option<u64>,
    job: Option<Rc<str>>,
    state: Option<String>,
    took: Option<f64>,
    data: Option<String>,
    gauges: Option<Vec<f64>>,
    tag: Option<String>,
}

impl From<Notice<'_>> for News {
    fn from(n: Notice) -> News {
        News {
            kind: n.kind.into_owned(),
            n: n.n,
            job: n.job.map(|j| j.into()),
            state: n.state.map(Cow::into_owned),
            took: n.took,
            data: n.data.map(Cow::into_owned),
            gauges: n.gauges,
            tag: n.tag.map(Cow::into_owned),
        }
    }
}
