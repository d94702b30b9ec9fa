//! The path from one zone to another: it closes after a lasting failure and opens step by step after lasting health.

use super::evidence::Verdict;
use super::FailoverSettings;
use crate::api::Micros;

/// Share of traffic in the first step of a return (unitless); each further step doubles it.
const FIRST_RETURN_SHARE: f64 = 0.1;
/// Number of recovery periods after a change of the path within which another failure counts as repeated. A repeated failure
/// keeps the path closed for longer.
const REPEATED_FAILURE_PERIODS: u64 = 8;
/// Maximum number of times that repeated failures double the recovery period.
const MAX_RECOVERY_DOUBLINGS: u32 = 4;

/// State of the path from one zone to another.
#[derive(Clone, Debug, Default)]
pub struct Path {
    /// When the path was closed; `None` while it is open.
    pub closed_since: Option<Micros>,
    /// When the path began to open step by step; `None` once it is fully open.
    pub reopening_since: Option<Micros>,
    failing_since: Option<Micros>,
    healthy_since: Option<Micros>,
    /// When the path was last closed or last began to open.
    pub last_change: Micros,
    /// Number of closures in a row, each soon after the change before it.
    pub recent_closures: u32,
}

impl Path {
    /// Applies the current verdict and returns the open share of the path, in 0..=1.
    pub fn update(&mut self, now: Micros, verdict: Verdict, settings: &FailoverSettings) -> f64 {
        let track_since = |mark: &mut Option<Micros>, on: bool| match (on, *mark) {
            (false, _) => *mark = None,
            (true, None) => *mark = Some(now),
            (true, Some(_)) => {}
        };
        track_since(&mut self.failing_since, verdict == Verdict::Bad);
        // A path without traffic shows no failures, so an answered probe is enough for a good verdict.
        track_since(&mut self.healthy_since, verdict == Verdict::Good);
        let lasted = |mark: Option<Micros>, span: Micros| mark.is_some_and(|at| now >= at + span);
        let recovery_period = settings.recovery_confirmation
            << self.recent_closures.saturating_sub(1).min(MAX_RECOVERY_DOUBLINGS);
        match self.closed_since {
            None if lasted(self.failing_since, settings.failure_confirmation) => {
                let repeated = self.recent_closures > 0
                    && now < self.last_change + REPEATED_FAILURE_PERIODS * recovery_period;
                (self.recent_closures, self.last_change) =
                    (if repeated { self.recent_closures + 1 } else { 1 }, now);
                (self.closed_since, self.reopening_since) = (Some(now), None);
            }
            Some(_) if lasted(self.healthy_since, recovery_period) => {
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
