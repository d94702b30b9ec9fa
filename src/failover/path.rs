//! Whether a zone's clients may go to a zone: closed after lasting failure, opened step by step after lasting health.

use super::evidence::Verdict;
use super::FailoverSettings;
use crate::api::Micros;

/// The first step of a return; each further one is twice as much.
const FIRST_RETURN_SHARE: f64 = 0.1;
/// Closed again within so many stays, it stays closed for longer.
const REPEATED_FAILURE_PERIODS: u64 = 8;

/// The path from one zone to another.
#[derive(Clone, Debug, Default)]
pub struct Path {
    /// It is closed since.
    pub closed_since: Option<Micros>,
    /// It opens since.
    pub reopening_since: Option<Micros>,
    failing_since: Option<Micros>,
    healthy_since: Option<Micros>,
    /// When it was last closed, and how often in a short time.
    pub last_change: Micros,
    /// See `last`.
    pub recent_closures: u32,
}

impl Path {
    /// Takes in what is said of it now; the part of it that is open.
    pub fn update(&mut self, now: Micros, verdict: Verdict, settings: &FailoverSettings) -> f64 {
        let since = |mark: &mut Option<Micros>, on: bool| match (on, *mark) {
            (false, _) => *mark = None,
            (true, None) => *mark = Some(now),
            (true, Some(_)) => {}
        };
        since(&mut self.failing_since, verdict == Verdict::Bad);
        // Where nothing goes nobody has seen a failure: a probe that is answered makes it good.
        since(&mut self.healthy_since, verdict == Verdict::Good);
        let long = |mark: Option<Micros>, span: Micros| mark.is_some_and(|at| now >= at + span);
        let stay = settings.recovery_confirmation << self.recent_closures.saturating_sub(1).min(4);
        match self.closed_since {
            None if long(self.failing_since, settings.failure_confirmation) => {
                let again =
                    self.recent_closures > 0 && now < self.last_change + REPEATED_FAILURE_PERIODS * stay;
                (self.recent_closures, self.last_change) =
                    (if again { self.recent_closures + 1 } else { 1 }, now);
                (self.closed_since, self.reopening_since) = (Some(now), None);
            }
            Some(_) if long(self.healthy_since, stay) => {
                (self.closed_since, self.reopening_since, self.last_change) = (None, Some(now), now);
            }
            _ => {}
        }
        match (self.closed_since, self.reopening_since) {
            (Some(_), _) => 0.0,
            (None, None) => 1.0,
            (None, Some(at)) => {
                let level =
                    FIRST_RETURN_SHARE * 2f64.powi(((now - at) / settings.return_step_interval) as i32);
                if level >= 1.0 {
                    self.reopening_since = None;
                }
                level.min(1.0)
            }
        }
    }
}
