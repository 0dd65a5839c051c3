//! How long requests of this node's callers take, by service and class.

use {
    crate::{
        arena::Arena,
        arena_key,
        model::{Class, ServiceKey},
    },
    std::collections::HashMap,
};

/// Time after which a completed request is no longer considered; at most twice as long.
const WINDOW_US: u64 = 10_000_000;

/// Requests of which the times are comparable.
#[derives::key]
pub struct RequestKind {
    /// Service that they are sent to.
    pub service: ServiceKey,
    /// Their class.
    pub class: Class,
}

arena_key! {
    /// A request in flight.
    TimedRequestKey
}

#[derive(Debug)]
struct TimedRequest {
    kind: RequestKind,
    started_us: u64,
}

/// Longest times of the present window and of the one before.
#[derive(Debug, Default)]
struct Windows {
    began_us: u64,
    longest_us: u64,
    previous_longest_us: u64,
}

impl Windows {
    fn record(&mut self, took_us: u64, now_us: u64) {
        self.advance(now_us);
        self.longest_us = self.longest_us.max(took_us);
    }

    fn longest_us(&mut self, now_us: u64) -> u64 {
        self.advance(now_us);
        self.longest_us.max(self.previous_longest_us)
    }

    fn advance(&mut self, now_us: u64) {
        let age_us = now_us.saturating_sub(self.began_us);
        if age_us < WINDOW_US {
            return;
        }
        self.previous_longest_us = match age_us < 2 * WINDOW_US {
            true => self.longest_us,
            false => 0,
        };
        self.longest_us = 0;
        self.began_us = now_us;
    }
}

/// Recent response times. Pure state: performs no I/O and reads no clock.
#[derive(Debug, Default)]
pub struct ResponseTimes {
    in_flight: Arena<TimedRequestKey, TimedRequest>,
    completed: HashMap<RequestKind, Windows>,
}

impl ResponseTimes {
    /// Creates the state of a node without requests.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Records that a request is dispatched.
    pub fn begin(&mut self, kind: RequestKind, now_us: u64) -> TimedRequestKey {
        self.in_flight.insert(TimedRequest {
            kind,
            started_us: now_us,
        })
    }

    /// Records that the request has ended, with a response or without.
    pub fn end(&mut self, key: TimedRequestKey, now_us: u64) {
        let Some(request) = self.in_flight.remove(key) else {
            return;
        };
        let took_us = now_us.saturating_sub(request.started_us);
        let windows = self.completed.entry(request.kind).or_default();
        windows.record(took_us, now_us);
    }

    /// The longest time that a recent request of this kind took, or takes so far, in
    /// microseconds; `None` without such a request.
    pub fn longest_us(&mut self, kind: RequestKind, now_us: u64) -> Option<u64> {
        let in_flight = self.in_flight.iter();
        let same_kind = in_flight.filter(|(_, request)| request.kind == kind);
        let longest_in_flight_us = same_kind
            .map(|(_, request)| now_us.saturating_sub(request.started_us))
            .max();
        let windows = self.completed.get_mut(&kind);
        let longest_completed_us = windows
            .map(|windows| windows.longest_us(now_us))
            .filter(|longest_us| *longest_us > 0);
        longest_in_flight_us.max(longest_completed_us)
    }
}
