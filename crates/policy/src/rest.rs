//! Rest that a leaf asks for when it turns a request away, and its return.
//!
//! Nothing is sent to a leaf that rests. All instances are asked for rest at about the same moment
//! and would return together, so each begins with one trial and doubles their number with each
//! answer. A leaf that has answered several trials takes requests as before.

use std::time::Duration;
use std::time::Instant;

/// Longest rest that one answer begins. A leaf that wants more says so again to the trial after it.
const REST_MAX: Duration = Duration::from_secs(60);
/// Number of trials that must be answered before the leaf takes requests as before.
const TRIALS_ANSWERED: u32 = 3;
/// Time after which a request may ask again for a trial.
const TRIAL_WAIT: Duration = Duration::from_millis(10);

/// Parses the seconds of rest, with or without a fraction. A date is not accepted: the clock of the
/// leaf may differ. Longer times than a minute are shortened to it.
///
/// ```
/// use std::time::Duration;
///
/// use jaycrank_policy::rest;
///
/// assert_eq!(rest::parse("3"), Some(Duration::from_secs(3)));
/// assert_eq!(rest::parse("0.25"), Some(Duration::from_millis(250)));
/// assert_eq!(rest::parse("-1"), None);
/// ```
pub fn parse(text: &str) -> Option<Duration> {
    let text = text.trim();
    let is_number = text.bytes().all(|byte| byte.is_ascii_digit() || byte == b'.');
    let seconds: f64 = text.parse().ok().filter(|_| is_number)?;
    Some(Duration::from_secs_f64(seconds.min(REST_MAX.as_secs_f64())))
}

/// Trial request to a leaf that returns from its rest.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Trial {
    /// Number of the rest that it follows.
    round: u32,
}

/// How a trial ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Ended {
    /// The leaf answered.
    Answered,
    /// The leaf turned it away again.
    Rejected,
    /// It was not sent, or its outcome says nothing.
    Unknown,
}

/// Rest of one leaf.
///
/// ```
/// use std::time::Duration;
/// use std::time::Instant;
///
/// use jaycrank_policy::rest::Rest;
///
/// let (mut rest, now) = (Rest::default(), Instant::now());
/// assert_eq!(rest.admit(now), Ok(None));
/// rest.begin(Duration::from_secs(3), now);
/// assert_eq!(rest.admit(now), Err(Duration::from_secs(3)));
/// let returned = now + Duration::from_secs(3);
/// assert!(rest.admit(returned).unwrap().is_some());
/// assert!(rest.admit(returned).is_err(), "one trial at first");
/// ```
#[derive(Clone, Copy, Debug, Default)]
pub struct Rest {
    round: u32,
    state: State,
}

#[derive(Clone, Copy, Debug, Default)]
enum State {
    #[default]
    Active,
    Resting {
        until: Instant,
    },
    Returning {
        answered: u32,
        trials: u32,
    },
}

impl Rest {
    /// Begins or prolongs the rest, which is never shortened. Returns whether it has begun.
    pub fn begin(&mut self, rest: Duration, now: Instant) -> bool {
        let end = now + rest.min(REST_MAX);
        if let State::Resting { until } = &mut self.state {
            *until = (*until).max(end);
            return false;
        }
        self.round += 1;
        self.state = State::Resting { until: end };
        true
    }

    /// Returns whether the leaf takes requests without trials.
    pub fn is_over(&self) -> bool {
        matches!(self.state, State::Active)
    }

    /// Returns the time until the end of the rest, or zero.
    pub fn wait(&self, now: Instant) -> Duration {
        match self.state {
            State::Resting { until } => until.saturating_duration_since(now),
            State::Active | State::Returning { .. } => Duration::ZERO,
        }
    }

    /// Asks whether the leaf may get a request, which is a trial if it returns from its rest.
    ///
    /// # Errors
    ///
    /// Returns the time after which to ask again.
    pub fn admit(&mut self, now: Instant) -> Result<Option<Trial>, Duration> {
        if let State::Resting { until } = self.state {
            if now < until {
                return Err(until - now);
            }
            self.state = State::Returning { answered: 0, trials: 0 };
        }
        match &mut self.state {
            State::Returning { answered, trials } if *trials < 1 << *answered => {
                *trials += 1;
                Ok(Some(Trial { round: self.round }))
            }
            State::Returning { .. } => Err(TRIAL_WAIT),
            State::Active | State::Resting { .. } => Ok(None),
        }
    }

    /// Returns whether a request with this trial may still be sent.
    pub fn allows(&self, trial: Option<Trial>) -> bool {
        match self.state {
            State::Active => true,
            State::Resting { .. } => false,
            State::Returning { .. } => trial.is_some_and(|trial| trial.round == self.round),
        }
    }

    /// Records the end of a trial; returns whether the leaf now takes requests as before.
    pub fn end_trial(&mut self, trial: Trial, ended: Ended) -> bool {
        let State::Returning { answered, trials } = &mut self.state else { return false };
        if trial.round != self.round {
            return false;
        }
        *trials = trials.saturating_sub(1);
        match ended {
            Ended::Answered => *answered += 1,
            Ended::Rejected => *answered = 0,
            Ended::Unknown => {}
        }
        let is_over = *answered >= TRIALS_ANSWERED;
        if is_over {
            self.state = State::Active;
        }
        is_over
    }
}
