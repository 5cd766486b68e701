//! Limits what a client may send that belongs to no request, and terminates clients that keep exceeding the limit. The
//! module does no I/O: sizes and times come in, decisions come out.
//!
//! Each connection has a token bucket. Every byte passed to the codec is charged; a request is credited with the
//! uncompressed size of its fields (RFC 7541, section 4.1) and the size of its body, which is more than it took on the
//! wire. Clients that send requests therefore never exhaust their budget, whereas PING, SETTINGS, PRIORITY,
//! `WINDOW_UPDATE`, empty DATA, and streams that are reset as soon as they are opened are only charged. A client with
//! an exhausted budget is read at the refill rate, which puts back-pressure on its socket; it is terminated if that
//! continues for [`MAX_THROTTLED_S`]. For [`PRESSURE_DURATION_S`] after a client has exhausted its budget, or was
//! disconnected for a protocol error, new connections start with a reduced budget: a flood gains nothing by
//! reconnecting.

/// A client with an exhausted budget is not read until its budget has refilled to this size (bytes): smaller reads are
/// not worth a poll.
const MIN_READ_BYTES: f64 = 256.0;
/// How long a client may be throttled before it is terminated (seconds).
const MAX_THROTTLED_S: f64 = 10.0;
/// The fraction of its budget that must be available before a client no longer counts as exhausted.
const RECOVERED_FRACTION: f64 = 0.5;
/// How long new connections start with a reduced budget after a client was abusive (seconds).
const PRESSURE_DURATION_S: f64 = 10.0;

/// The budget of a connection for traffic that belongs to no request: a burst size and a rate.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct OverheadBudget {
    /// Size of the bucket; at least `reduced_bytes`.
    pub max_bytes: f64,
    /// Refill rate.
    pub bytes_per_s: f64,
    /// Initial budget of a new connection under pressure. The longest request must fit, since nothing is credited
    /// before its fields are complete.
    pub reduced_bytes: f64,
}

/// What to do with the input of a client.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReadDecision {
    /// Read this many bytes.
    Read(usize),
    /// Read nothing for now.
    Throttle {
        /// Whether this is the first such decision since the client was last within its budget.
        newly_throttled: bool,
    },
    /// Terminate the connection.
    Terminate,
}

impl ReadDecision {
    /// The number of bytes to read.
    pub fn read_bytes(self) -> usize {
        match self {
            ReadDecision::Read(bytes) => bytes,
            ReadDecision::Throttle { .. } | ReadDecision::Terminate => 0,
        }
    }
}

/// The token bucket of one connection.
#[derive(Clone, Debug)]
pub struct AbuseDetector {
    budget: OverheadBudget,
    /// The bytes that may be read now.
    balance_bytes: f64,
    /// When the bucket was last refilled (seconds).
    refilled_at: f64,
    /// When the client exhausted its budget (seconds); `None` once the budget has recovered.
    exhausted_since: Option<f64>,
}

impl AbuseDetector {
    /// The token bucket of a new connection; with `under_pressure`, it starts with the reduced budget.
    pub fn new(now: f64, budget: OverheadBudget, under_pressure: bool) -> AbuseDetector {
        let balance_bytes = if under_pressure { budget.reduced_bytes } else { budget.max_bytes };
        AbuseDetector { budget, balance_bytes, refilled_at: now, exhausted_since: None }
    }

    /// Decides how many of `available` bytes to read, and charges for them.
    pub fn charge(&mut self, now: f64, available: usize) -> ReadDecision {
        self.refill(now);
        if self.balance_bytes < MIN_READ_BYTES.min(available as f64) {
            return self.throttle(now);
        }
        let read_bytes = available.min(self.balance_bytes as usize);
        self.balance_bytes -= read_bytes as f64;
        ReadDecision::Read(read_bytes)
    }

    /// Credits the size of a request's fields or body.
    pub fn credit(&mut self, bytes: usize) {
        self.add(bytes as f64);
    }

    /// Revokes the credit for a request that the client has reset.
    pub fn revoke_credit(&mut self, bytes: usize) {
        // The balance never becomes negative: the bucket caps credit, so less may have been credited than is revoked
        // here, and resetting a request that was answered must not leave a negative balance.
        self.balance_bytes = (self.balance_bytes - bytes as f64).max(0.0);
    }

    fn refill(&mut self, now: f64) {
        let refill_bytes = (now - self.refilled_at).max(0.0) * self.budget.bytes_per_s;
        self.refilled_at = now;
        self.add(refill_bytes);
    }

    fn throttle(&mut self, now: f64) -> ReadDecision {
        let newly_throttled = self.exhausted_since.is_none();
        let since = *self.exhausted_since.get_or_insert(now);
        if now - since < MAX_THROTTLED_S {
            ReadDecision::Throttle { newly_throttled }
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

/// Whether any client has recently been abusive.
#[derive(Clone, Copy, Debug, Default)]
pub struct PressureMonitor {
    /// Until when new connections start with a reduced budget (seconds).
    elevated_until: f64,
}

impl PressureMonitor {
    /// Records that a client has exhausted its budget, or was disconnected for a protocol error.
    pub fn record_abuse(&mut self, now: f64) {
        self.elevated_until = now + PRESSURE_DURATION_S;
    }

    /// Whether new connections start with a reduced budget.
    pub fn is_elevated(self, now: f64) -> bool {
        now < self.elevated_until
    }
}

#[cfg(test)]
mod tests;
