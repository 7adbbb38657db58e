//! The time in which a call may take effect.
//!
//! A call can arrive long after its caller has given up: a partition holds its bytes back, or the calling daemon was
//! paused. The callee therefore needs to know when the request was received and until when its caller waits. Clocks of
//! different VMs are not synchronised, so the calling daemon translates both times to the callee's clock: every reply
//! carries a reading of it, and the reading is older than the reply's arrival. A translated time is thus never later
//! than the true one.
//!
//! Readings and windows are HTTP headers of a call's stream, which a daemon of an earlier release ignores and does not
//! send.

use std::fmt::{self, Display, Formatter};
use std::str::FromStr;

use http::{HeaderMap, HeaderValue};
use parsleywalk_units::{Incarnation, MonotonicTime, UnitError};

/// The header of a reply that carries a [`ClockReading`].
const CLOCK_HEADER: &str = "parsleywalk-clock";
/// The header of a request that carries a [`WindowHeader`].
const WINDOW_HEADER: &str = "parsleywalk-call-window";

/// Two daemons' clocks differ by at most one part in this many in their rate.
const MAX_DRIFT_DIVISOR: u32 = 1000;

/// The time in which a call may take effect, on the clock of the daemon that holds it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct CallWindow {
    /// The request was received from its caller at this time or later.
    pub received: MonotonicTime,
    /// The caller waits until this time at most.
    pub expires: MonotonicTime,
}

impl CallWindow {
    /// The window of a call that has expired.
    const EXPIRED: Self = Self { received: MonotonicTime::ZERO, expires: MonotonicTime::ZERO };

    /// Returns the window of a call that was received at `now` and does not expire.
    #[must_use]
    pub const fn from_now(now: MonotonicTime) -> Self {
        Self { received: now, expires: MonotonicTime::NEVER }
    }

    /// Returns true if the caller no longer waits.
    #[must_use]
    pub fn is_expired(&self, now: MonotonicTime) -> bool {
        self.expires <= now
    }
}

/// A reading of a process's clock. Its text form is `<incarnation> <microseconds>`.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct ClockReading {
    /// The process whose clock was read.
    pub(crate) incarnation: Incarnation,
    pub(crate) time: MonotonicTime,
}

impl Display for ClockReading {
    fn fmt(&self, formatter: &mut Formatter<'_>) -> fmt::Result {
        write!(formatter, "{} {}", self.incarnation, self.time.as_micros())
    }
}

impl FromStr for ClockReading {
    type Err = UnitError;

    fn from_str(text: &str) -> Result<Self, UnitError> {
        let invalid = || UnitError::invalid("clock reading", text, "<incarnation> <microseconds>");
        let (incarnation, time) = text.split_once(' ').ok_or_else(invalid)?;
        Ok(Self {
            incarnation: incarnation.parse()?,
            time: MonotonicTime::from_micros(time.parse().map_err(|_| invalid())?),
        })
    }
}

impl ClockReading {
    /// Returns the reading in a reply, or `None` if the replying daemon's release sends none.
    pub(crate) fn from_headers(headers: &HeaderMap) -> Option<Self> {
        headers.get(CLOCK_HEADER)?.to_str().ok()?.parse().ok()
    }

    pub(crate) fn add_to(self, headers: &mut HeaderMap) {
        headers.insert(CLOCK_HEADER, header_value(&self));
    }
}

/// A call's window on the clock of one process. Its text form is `<incarnation> <received> <expires>`, the times in
/// microseconds.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct WindowHeader {
    incarnation: Incarnation,
    window: CallWindow,
}

impl Display for WindowHeader {
    fn fmt(&self, formatter: &mut Formatter<'_>) -> fmt::Result {
        let CallWindow { received, expires } = self.window;
        write!(formatter, "{} {} {}", self.incarnation, received.as_micros(), expires.as_micros())
    }
}

impl FromStr for WindowHeader {
    type Err = UnitError;

    fn from_str(text: &str) -> Result<Self, UnitError> {
        let invalid = || UnitError::invalid("call window", text, "<incarnation> <received> <expires>");
        let mut parts = text.split(' ');
        let mut next = || parts.next().ok_or_else(invalid);
        let incarnation = next()?.parse()?;
        let received = MonotonicTime::from_micros(next()?.parse().map_err(|_| invalid())?);
        let expires = MonotonicTime::from_micros(next()?.parse().map_err(|_| invalid())?);
        if parts.next().is_some() {
            return Err(invalid());
        }
        Ok(Self { incarnation, window: CallWindow { received, expires } })
    }
}

impl WindowHeader {
    pub(crate) fn add_to(self, headers: &mut HeaderMap) {
        headers.insert(WINDOW_HEADER, header_value(&self));
    }

    /// Returns the window in a request to the process `incarnation`, or `None` if the calling daemon's release sends
    /// none. A window that cannot be read, or that counts on the clock of an earlier process, has expired.
    pub(crate) fn window_from(headers: &HeaderMap, incarnation: Incarnation) -> Option<CallWindow> {
        let header = headers.get(WINDOW_HEADER)?;
        let parsed = header.to_str().ok().and_then(|text| text.parse::<Self>().ok());
        let own = parsed.filter(|header| header.incarnation == incarnation);
        Some(own.map_or(CallWindow::EXPIRED, |header| header.window))
    }
}

/// The knowledge of another daemon's clock.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub(crate) enum RemoteClock {
    /// No reply has arrived yet.
    #[default]
    Unknown,
    /// Replies carry no readings, because the daemon's release does not send them.
    Unsupported,
    /// A reading, and the local time at which it arrived.
    Read { reading: ClockReading, arrived: MonotonicTime },
}

impl RemoteClock {
    /// Records the reading of a reply that arrived at `now`. Of two readings of one process, the one that gives the
    /// later time now is kept, because it took less time to arrive.
    pub(crate) fn record(&mut self, reading: Option<ClockReading>, now: MonotonicTime) {
        let Some(reading) = reading else {
            *self = Self::Unsupported;
            return;
        };
        let known = self.translate(now).filter(|known| known.incarnation == reading.incarnation);
        if known.is_none_or(|known| known.time <= reading.time) {
            *self = Self::Read { reading, arrived: now };
        }
    }

    /// Returns the reading of the remote clock at a local time: the true one or an earlier one.
    pub(crate) fn translate(&self, local: MonotonicTime) -> Option<ClockReading> {
        let Self::Read { reading, arrived } = *self else { return None };
        let (after, before) = (local.since(arrived), arrived.since(local));
        let drift = after.max(before) / MAX_DRIFT_DIVISOR;
        let time = (reading.time + after).saturating_sub(before + drift);
        Some(ClockReading { time, ..reading })
    }

    /// Returns the header for a call with a window on the local clock, or `None` without a reading.
    pub(crate) fn window_header(&self, window: CallWindow) -> Option<WindowHeader> {
        let received = self.translate(window.received)?;
        let expires = self.translate(window.expires)?;
        let window = CallWindow { received: received.time, expires: expires.time };
        Some(WindowHeader { incarnation: received.incarnation, window })
    }
}

fn header_value(text: &impl Display) -> HeaderValue {
    HeaderValue::from_str(&text.to_string()).expect("digits and spaces")
}

#[cfg(test)]
#[path = "call_window_tests.rs"]
mod tests;
