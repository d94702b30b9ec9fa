//! Whether a zone's clients may go to a zone: closed after lasting failure, opened step by step after lasting health.

use super::evidence::Verdict;
use super::FailoverSettings;
use crate::api::Micros;

/// The first step of a return; each further one is twice as much.
const FIRST: f64 = 0.1;
/// Closed again within so many stays, it stays closed for longer.
const AGAIN: u64 = 8;

/// The path from one zone to another.
#[derive(Clone, Debug, Default)]
pub struct Path {
    /// It is closed since.
    pub closed: Option<Micros>,
    /// It opens since.
    pub opens: Option<Micros>,
    bad_since: Option<Micros>,
    good_since: Option<Micros>,
    /// When it was last closed, and how often in a short time.
    pub last: Micros,
    /// See `last`.
    pub times: u32,
}

impl Path {
    /// Takes in what is said of it now; the part of it that is open.
    pub fn turn(&mut self, now: Micros, verdict: Verdict, settings: &FailoverSettings) -> f64 {
        let since = |mark: &mut Option<Micros>, on: bool| match (on, *mark) {
            (false, _) => *mark = None,
            (true, None) => *mark = Some(now),
            (true, Some(_)) => {}
        };
        since(&mut self.bad_since, verdict == Verdict::Bad);
        // Where nothing goes nobody has seen a failure: a probe that is answered makes it good.
        since(&mut self.good_since, verdict == Verdict::Good);
        let long = |mark: Option<Micros>, span: Micros| mark.is_some_and(|at| now >= at + span);
        let stay = settings.recovery_confirmation << self.times.saturating_sub(1).min(4);
        match self.closed {
            None if long(self.bad_since, settings.failure_confirmation) => {
                let again = self.times > 0 && now < self.last + AGAIN * stay;
                (self.times, self.last) = (if again { self.times + 1 } else { 1 }, now);
                (self.closed, self.opens) = (Some(now), None);
            }
            Some(_) if long(self.good_since, stay) => {
                (self.closed, self.opens, self.last) = (None, Some(now), now);
            }
            _ => {}
        }
        match (self.closed, self.opens) {
            (Some(_), _) => 0.0,
            (None, None) => 1.0,
            (None, Some(at)) => {
                let level = FIRST * 2f64.powi(((now - at) / settings.return_step_interval) as i32);
                if level >= 1.0 {
                    self.opens = None;
                }
                level.min(1.0)
            }
        }
    }
}
