//! How much a client may send that belongs to no request, and what becomes of one that sends more. No I/O: sizes and
//! the time come in, decisions come out.
//!
//! A token bucket for each connection. Each byte that goes to the codec is charged; a request is credited with the size
//! of its unpacked fields (RFC 7541, section 4.1) and of its body, which is more than it took on the wire. So clients
//! that send requests never exhaust their budget, while PING, SETTINGS, PRIORITY, `WINDOW_UPDATE`, empty DATA, and streams
//! that are reset as soon as they are opened only cost. A client with an exhausted budget is read at the rate at which
//! the budget refills, which it feels as back-pressure on its socket; one that goes on so for [`MAX_THROTTLED_S`] is
//! terminated. For a time after a client exhausted its budget, or was ended for a protocol error, new connections begin
//! with a reduced budget: a flood gains nothing by connecting anew.

/// Fewer bytes than this are not worth a poll: an exhausted client waits until it may send so many.
const MIN_READ_BYTES: f64 = 256.0;
/// How long a client may be throttled before it is terminated (seconds).
const MAX_THROTTLED_S: f64 = 10.0;
/// The part of its budget that must be back before a client no longer counts as exhausted.
const RECOVERED_FRACTION: f64 = 0.5;
/// How long new connections begin with a reduced budget after abuse (seconds).
const PRESSURE_S: f64 = 10.0;

/// What each connection may send that belongs to no request: so much at once, and so much a second.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct OverheadBudget {
    /// Size of the bucket; no less than `reduced_bytes`.
    pub max_bytes: f64,
    /// Rate at which it refills.
    pub bytes_per_s: f64,
    /// What a new connection begins with under pressure: the longest request must fit, since nothing is credited before
    /// its fields are complete.
    pub reduced_bytes: f64,
}

/// What is to be done about what a client has sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReadDecision {
    /// Read so many bytes of it.
    Read(usize),
    /// Read nothing for now; with `first` the budget has just been exhausted.
    Throttle {
        /// Whether this is the first such decision since the client last was within its budget.
        first: bool,
    },
    /// End the connection.
    Terminate,
}

impl ReadDecision {
    /// How many bytes are to be read.
    pub fn read_bytes(self) -> usize {
        match self {
            ReadDecision::Read(bytes) => bytes,
            ReadDecision::Throttle { .. } | ReadDecision::Terminate => 0,
        }
    }
}

/// One connection's account.
#[derive(Clone, Debug)]
pub struct AbuseDetector {
    budget: OverheadBudget,
    balance_bytes: f64,
    refilled_at: f64,
    exhausted_since: Option<f64>,
}

impl AbuseDetector {
    /// The account of a new connection, which begins with a reduced budget while others are abusive.
    pub fn new(now: f64, budget: OverheadBudget, under_pressure: bool) -> AbuseDetector {
        let balance_bytes = if under_pressure { budget.reduced_bytes } else { budget.max_bytes };
        AbuseDetector { budget, balance_bytes, refilled_at: now, exhausted_since: None }
    }

    /// How many of `available` bytes may be read; those are charged with this call.
    pub fn charge(&mut self, now: f64, available: usize) -> ReadDecision {
        self.refill(now);
        if self.balance_bytes < MIN_READ_BYTES.min(available as f64) {
            return self.throttle(now);
        }
        let read_bytes = available.min(self.balance_bytes as usize);
        self.balance_bytes -= read_bytes as f64;
        ReadDecision::Read(read_bytes)
    }

    /// Credits so many bytes of a request's fields or body.
    pub fn credit(&mut self, bytes: usize) {
        self.add(bytes as f64);
    }

    /// Takes back the credit for a request that the client has reset.
    pub fn revoke_credit(&mut self, bytes: usize) {
        // Not below zero: credit is capped, and a request that was answered must not become a debt.
        self.balance_bytes = (self.balance_bytes - bytes as f64).max(0.0);
    }

    fn refill(&mut self, now: f64) {
        let refill_bytes = (now - self.refilled_at).max(0.0) * self.budget.bytes_per_s;
        self.refilled_at = now;
        self.add(refill_bytes);
    }

    fn throttle(&mut self, now: f64) -> ReadDecision {
        let first = self.exhausted_since.is_none();
        let since = *self.exhausted_since.get_or_insert(now);
        if now - since < MAX_THROTTLED_S {
            ReadDecision::Throttle { first }
        } else {
            ReadDecision::Terminate
        }
    }

    fn add(&mut self, bytes: f64) {
        self.balance_bytes = (self.balance_bytes + bytes).min(self.budget.max_bytes);
        if self.balance_bytes >= RECOVERED_FRACTION * self.budget.max_bytes {
            self.exhausted_since = None;
        }
    }
}

/// Whether clients have been abusive of late, on any connection.
#[derive(Clone, Copy, Debug, Default)]
pub struct PressureMonitor {
    elevated_until: f64,
}

impl PressureMonitor {
    /// Notes that a client has exhausted its budget, or was ended for a protocol error.
    pub fn record_abuse(&mut self, now: f64) {
        self.elevated_until = now + PRESSURE_S;
    }

    /// Whether new connections begin with a reduced budget.
    pub fn is_elevated(self, now: f64) -> bool {
        now < self.elevated_until
    }
}

#[cfg(test)]
mod tests;
