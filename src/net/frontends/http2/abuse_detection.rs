//! How much a client may send that asks for nothing, and what becomes of one that sends more. No I/O: bytes, requests
//! and the time come in, verdicts come out.
//!
//! A token bucket for each connection. Each byte that goes to the codec is paid for; a request gives back the size of
//! its unpacked fields (RFC 7541, section 4.1) and of its body, which is more than it took on the wire. Whoever asks
//! never runs short, while PING, SETTINGS, PRIORITY, WINDOW_UPDATE, empty DATA, and streams that are reset as soon as
//! they are opened only cost. A client that has run short is read at the pace at which its allowance comes back, which
//! its own socket then makes it feel; one that goes on so for [`PATIENCE_S`] is told to go. While one has run short of
//! late, or was ended for an error, new connections begin with little: a flood gains nothing by connecting anew.

/// Fewer bytes than this are not worth a look: a client that has run short waits until it may send so many.
const LEAST_BYTES: f64 = 256.0;
/// How long a client may be read slowly before it is told to go (seconds).
const PATIENCE_S: f64 = 10.0;
/// Of its allowance, what a client must have back before it counts as well-behaved again.
const WELL: f64 = 0.5;
/// How long new connections begin with little after a client has run short (seconds).
const WARY_S: f64 = 10.0;

/// What each connection may send that asks for nothing: so much at once, and so much a second.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Allowance {
    /// No less than `first_bytes`.
    pub most_bytes: f64,
    pub bytes_per_s: f64,
    /// What a new connection begins with while others have run short of late: the longest request must fit, since
    /// nothing is given back before its fields are whole.
    pub first_bytes: f64,
}

/// What is to be done about what a client has sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// Take so many bytes of it.
    Take(usize),
    /// Take nothing for now; `first` says that the client has just run short.
    Wait { first: bool },
    /// Tell it to go.
    End,
}

/// One connection's account.
#[derive(Clone, Debug)]
pub struct AbuseDetector {
    allowance: Allowance,
    left: f64,
    at: f64,
    /// Since when it has been short.
    short: Option<f64>,
}

impl AbuseDetector {
    pub fn new(now: f64, allowance: Allowance, wary: bool) -> AbuseDetector {
        let left = if wary { allowance.first_bytes } else { allowance.most_bytes };
        AbuseDetector { allowance, left, at: now, short: None }
    }

    /// Of so many bytes that wait, how many may be taken; those are paid for with this call.
    pub fn judge(&mut self, now: f64, waiting: usize) -> Verdict {
        let came_back = (now - self.at).max(0.0) * self.allowance.bytes_per_s;
        self.at = now;
        self.give(came_back);
        if self.left < LEAST_BYTES.min(waiting as f64) {
            let first = self.short.is_none();
            let since = *self.short.get_or_insert(now);
            return if now - since < PATIENCE_S { Verdict::Wait { first } } else { Verdict::End };
        }
        let taken = waiting.min(self.left as usize);
        self.left -= taken as f64;
        Verdict::Take(taken)
    }

    /// A request has brought so many bytes of fields or body.
    pub fn brought(&mut self, bytes: usize) {
        self.give(bytes as f64);
    }

    /// A request was taken back that had brought so many bytes.
    pub fn taken_back(&mut self, bytes: usize) {
        // Not below nothing: what was given was capped, and an answered request must not become a debt.
        self.left = (self.left - bytes as f64).max(0.0);
    }

    fn give(&mut self, bytes: f64) {
        self.left = (self.left + bytes).min(self.allowance.most_bytes);
        if self.left >= WELL * self.allowance.most_bytes {
            self.short = None;
        }
    }
}

/// What the front remembers of clients that ran short or were ended for an error.
#[derive(Clone, Copy, Debug, Default)]
pub struct PressureMonitor {
    until: f64,
}

impl PressureMonitor {
    pub fn ran_short(&mut self, now: f64) {
        self.until = now + WARY_S;
    }

    /// Whether a new connection begins with little.
    pub fn wary(&self, now: f64) -> bool {
        now < self.until
    }
}

#[cfg(test)]
mod tests;
