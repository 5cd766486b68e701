//! The rules that are asserted for every action and every step:
//!
//! - A request gets one response, by its deadline.
//! - A run or a downstream call that must not be repeated is not.
//! - Memory, runs and downstream calls stay within their limits.
//! - An action is allowed by the state of its request and by the settings.

use crate::random_settings::KEY_WINDOW_S;
use crate::simulation::STEP_S;
use crate::worker_model::{RequestState, RetainedKey, WorkerModel};
use port_worker::{Action, Dependency, Idempotency, Outcome, Preemption, RequestId, Signal};

/// Tolerance for rounding in sums and differences of times.
const ROUNDING: f64 = 1e-9;

/// The processor time of a run before its downstream call.
const RUN_S: f64 = 0.05;

impl WorkerModel {
    /// Carries out an action, and asserts that it was allowed.
    pub(crate) fn carry_out(&mut self, action: &Action) {
        self.log.push(format!("{:.4} {action:?}", self.now_s));
        if self.is_overtaken(action) {
            if let Action::Start(id) = action {
                self.started_after_end.push(*id);
            }
            return;
        }
        match action {
            Action::Start(id) => self.start(*id),
            Action::Reject { id, .. } => self.reject(*id),
            Action::Fail(id) => self.fail(*id),
            Action::RetainKey { id, for_s } => {
                let retained = RetainedKey { id: *id, until_s: self.now_s + for_s };
                self.retained_keys.insert(self.key_of[id], retained);
            }
            Action::ReleaseKey(id) => self.release_key(*id),
            Action::ShareResponse(id) => self.request(*id).state = RequestState::SharingResponse,
            Action::Call { id, until_s } => self.call(*id, *until_s),
            Action::SkipCall(id) => self.skip_call(*id),
            Action::Preempt(id) => self.preempt(*id),
            Action::Publish(weight) => {
                assert!(
                    self.settings.signal == Signal::Weight,
                    "a weight is published although the settings disable it"
                );
                assert!(
                    *weight >= 0.0 && weight.is_finite(),
                    "the published weight is {weight}; expected 0 or more"
                );
            }
            // The simulation handles `WakeIn`; the others do not affect requests.
            Action::WakeIn(_) | Action::Health(_) | Action::Log(_) => {}
        }
    }

    /// Whether the request of an action ended in this step: all events of a step are handled before its actions are
    /// carried out, so such an action is legal and has no effect.
    fn is_overtaken(&self, action: &Action) -> bool {
        match action {
            Action::Start(id)
            | Action::Reject { id, .. }
            | Action::Fail(id)
            | Action::ShareResponse(id)
            | Action::Call { id, .. } => !self.requests.contains_key(id) && self.ended_in_step.contains(id),
            _ => false,
        }
    }

    fn respond(&mut self, id: RequestId) {
        let latest_s = self.request(id).deadline_s + self.settings.answer_slack_s + ROUNDING;
        let now_s = self.now_s;
        let request = self.request(id);
        assert!(!request.responded, "{id:?} gets two responses");
        assert!(now_s <= latest_s, "{id:?} gets its response at {now_s} s; expected by {latest_s} s");
        request.responded = true;
        self.responses += 1;
    }

    fn start(&mut self, id: RequestId) {
        let request = self.requests.get_mut(&id).expect("a request is started that is not in flight");
        assert_eq!(request.state, RequestState::Queued);
        if let Some(notice_s) = self.shutdown_notice_s {
            let grace_s = self.settings.shutdown_grace_s;
            assert!(
                request.arrived_s <= notice_s + grace_s,
                "{id:?} is started although it arrived after the grace"
            );
        }
        let class = &self.settings.classes[request.class];
        if class.idempotency == Idempotency::Keyed {
            let attempts = self.started_attempts.entry(request.key).or_default();
            let is_first = attempts.iter().all(|arrived_s| request.arrived_s > arrived_s + class.window_s);
            assert!(is_first, "{id:?} is started although its key has run");
            attempts.push(request.arrived_s);
        }
        request.started = true;
        request.state = RequestState::Running { left_s: RUN_S };
    }

    fn reject(&mut self, id: RequestId) {
        let request = &self.requests[&id];
        assert!(
            !request.started || self.is_idempotent(request),
            "{id:?} is rejected although it has started"
        );
        self.fail(id);
    }

    /// Responds with a rejection or a failure. A run, if there is one, continues.
    fn fail(&mut self, id: RequestId) {
        self.respond(id);
        if self.requests[&id].is_waiting() {
            self.requests.remove(&id);
        }
    }

    fn release_key(&mut self, id: RequestId) {
        let key = self.key_of[&id];
        let attempts = self.started_attempts.get(&key);
        let has_run = attempts
            .is_some_and(|attempts| attempts.iter().any(|arrived_s| *arrived_s + KEY_WINDOW_S > self.now_s));
        assert!(!has_run, "the key of {id:?} is released although it has run");
        self.retained_keys.remove(&key);
    }

    fn call(&mut self, id: RequestId, until_s: f64) {
        let request = &self.requests[&id];
        let RequestState::AtCall { left_s } = request.state else { panic!("{id:?} is not at a call") };
        let may_call = self.is_idempotent(request) || !request.call_may_have_taken_effect;
        assert!(may_call, "{id:?} repeats a call that may have taken effect");
        self.request(id).state = RequestState::Calling { left_s, until_s };
    }

    fn skip_call(&mut self, id: RequestId) {
        let request = &self.requests[&id];
        assert!(
            self.class_of(request).skipped_call_weight > 0.0,
            "{id:?} skips a call that its class requires"
        );
        let RequestState::AtCall { left_s } = request.state else { panic!("{id:?} is not at a call") };
        let request = self.request(id);
        // The run continues; its next call is a different one.
        request.call_may_have_taken_effect = false;
        request.state = RequestState::Running { left_s };
    }

    fn preempt(&mut self, id: RequestId) {
        assert!(
            self.settings.preemption != Preemption::Never,
            "{id:?} is preempted although the settings forbid it"
        );
        if let Some(request) = self.requests.get(&id).filter(|request| request.is_running()) {
            assert!(request.responded, "{id:?} is preempted while its response is pending");
            self.requests.remove(&id);
            self.preempted.push(id);
        }
    }

    /// Completes a run, and responds if its caller still waits.
    pub(crate) fn complete(&mut self, id: RequestId, outcome: Outcome) {
        let request = &self.requests[&id];
        if !request.responded {
            let latest_s = request.deadline_s + self.settings.answer_slack_s + ROUNDING;
            assert!(self.now_s <= latest_s, "{id:?} runs past its deadline");
            self.responses += 1;
            self.served += u64::from(outcome == Outcome::Ok);
        }
        self.end(id);
    }

    /// Asserts the rules that hold between two steps.
    pub(crate) fn check_step(&mut self) {
        self.check_deadlines();
        self.check_memory();
        self.check_runs();
        if let Some(dependency) = self.settings.dependency.clone() {
            self.check_calls(&dependency);
        }
    }

    fn check_deadlines(&self) {
        for (id, request) in &self.requests {
            let is_pending = !request.responded;
            let is_overdue = self.now_s > request.deadline_s + self.settings.answer_slack_s;
            assert!(!(is_pending && is_overdue), "{id:?} has no response by its deadline");
        }
    }

    fn check_memory(&self) {
        let factor = |is_waiting: bool| if is_waiting { 1.0 } else { self.settings.run_memory_factor };
        let mut kb = 0.0;
        for request in self.requests.values() {
            kb += request.kb * factor(request.is_waiting());
        }
        let keys = self.retained_keys.values().filter(|retained| retained.until_s > self.now_s).count();
        kb += keys as f64 * self.settings.key_entry_kb;
        assert!(
            kb <= self.settings.memory_kb,
            "requests and keys take {kb} KB; expected at most {} KB",
            self.settings.memory_kb
        );
    }

    fn check_runs(&self) {
        let running = self.requests.values().filter(|request| request.is_running()).count();
        let settings = &self.settings;
        let warming_up = settings.cold_speed + (1.0 - settings.cold_speed) * self.now_s / settings.warm_up_s;
        let speed = if settings.cold { warming_up.min(1.0) } else { 1.0 };
        let limit = f64::from(settings.cores) * (1.0 + (settings.survivable_multiple - 1.0) * speed);
        assert!(running as f64 <= limit, "{running} runs exceed the survivable number of {limit}");
    }

    /// Asserts limits on the calls in flight, and on the mean over the window of all calls that occupy the dependency.
    fn check_calls(&mut self, dependency: &Dependency) {
        let in_flight = self.requests.values().filter(|request| request.is_calling()).count() as u32;
        assert!(
            f64::from(in_flight) <= dependency.share.max(1.0),
            "{in_flight} calls in flight exceed the share of {}",
            dependency.share.max(1.0)
        );
        let now_s = self.now_s;
        self.lingering_calls.retain(|until_s| *until_s > now_s);
        self.calls_by_step.push_back(in_flight + self.lingering_calls.len() as u32);
        if self.calls_by_step.len() > (dependency.window_s / STEP_S) as usize {
            self.calls_by_step.pop_front();
        }
        let mean = f64::from(self.calls_by_step.iter().sum::<u32>()) * STEP_S / dependency.window_s;
        assert!(
            mean <= dependency.share + ROUNDING,
            "the mean of calls in the window is {mean}, the share {}",
            dependency.share
        );
    }

    /// Asserts that nothing is pending at the stop, and that each of the requests had one response.
    pub(crate) fn check_stopped(&self, arrivals: u64) {
        let all_responded = self.requests.values().all(|request| request.responded);
        assert!(all_responded, "a response is pending at the stop");
        assert_eq!(self.responses, arrivals);
    }
}
