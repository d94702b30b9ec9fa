//! A processor-sharing queue: all jobs get an equal share of the available rate, capped at one core for each job.
//! The result is exact and takes logarithmic time for each job: the service attained since the start is the same for
//! all jobs, so a job completes when that value has grown by its work (the virtual time of fair queueing: Demers,
//! Keshav and Shenker, 1989).

use oakdeal::Micros;
use std::collections::BTreeMap;

/// Lower bound of both service rates, in core-microseconds per microsecond; keeps completion times finite.
const MIN_RATE: f64 = 1e-9;
/// Upper bound of the predicted time to a completion, in microseconds.
const MAX_SPAN: f64 = 1e15;
/// Time by which a job counts as completed early, in microseconds; it absorbs rounding errors.
const COMPLETION_TOLERANCE: f64 = 1e-6;

/// Attained service as a totally ordered key: jobs complete in the order of this value, then in order of arrival.
#[derive(Clone, Copy, Debug, PartialEq)]
struct AttainedService(f64);

impl Eq for AttainedService {}

impl PartialOrd for AttainedService {
    fn partial_cmp(&self, other: &Self) -> Option<std::cmp::Ordering> {
        Some(self.cmp(other))
    }
}

impl Ord for AttainedService {
    fn cmp(&self, other: &Self) -> std::cmp::Ordering {
        self.0.total_cmp(&other.0)
    }
}

/// A processor-sharing queue of jobs; `J` identifies a job.
#[derive(Clone, Debug)]
pub struct SharedProcessor<J> {
    jobs: BTreeMap<(AttainedService, u64), J>,
    keys: BTreeMap<J, (AttainedService, u64)>,
    attained: f64,
    updated_at: Micros,
    last_number: u64,
    /// Service rate in total and its maximum for one job, in core-microseconds (at speed 1) per microsecond.
    rate: (f64, f64),
    /// Work done since the start, in core-microseconds.
    work_done: f64,
}

impl<J: Ord + Clone> SharedProcessor<J> {
    /// Returns an empty queue.
    pub fn new(now: Micros) -> SharedProcessor<J> {
        SharedProcessor {
            jobs: BTreeMap::new(),
            keys: BTreeMap::new(),
            attained: 0.0,
            updated_at: now,
            last_number: 0,
            rate: (1.0, 1.0),
            work_done: 0.0,
        }
    }

    fn rate_per_job(&self) -> f64 {
        (self.rate.0 / self.jobs.len().max(1) as f64).min(self.rate.1)
    }

    /// Serves the jobs until `now`.
    pub fn advance(&mut self, now: Micros) {
        let span = now.saturating_sub(self.updated_at) as f64;
        if !self.jobs.is_empty() {
            self.attained += self.rate_per_job() * span;
            self.work_done += self.rate_per_job() * self.jobs.len() as f64 * span;
        }
        self.updated_at = self.updated_at.max(now);
    }

    /// Sets the total service rate from `now` on, and its maximum for one job.
    pub fn set_rate(&mut self, now: Micros, total: f64, per_job: f64) {
        self.advance(now);
        self.rate = (total.max(MIN_RATE), per_job.max(MIN_RATE));
    }

    /// Adds a job whose work is given in core-microseconds.
    pub fn add(&mut self, now: Micros, job: J, work: f64) {
        self.advance(now);
        self.last_number += 1;
        let key = (AttainedService(self.attained + work), self.last_number);
        self.jobs.insert(key, job.clone());
        self.keys.insert(job, key);
    }

    /// Removes a job and returns whether it was in the queue.
    pub fn remove(&mut self, now: Micros, job: &J) -> bool {
        self.advance(now);
        self.keys.remove(job).map(|key| self.jobs.remove(&key)).is_some()
    }

    /// Returns when the next job completes if nothing changes.
    pub fn next_completion(&self) -> Option<Micros> {
        let (&(AttainedService(end), _), _) = self.jobs.first_key_value()?;
        let span = ((end - self.attained).max(0.0) / self.rate_per_job()).ceil();
        Some(self.updated_at.saturating_add(span.min(MAX_SPAN) as Micros))
    }

    /// Removes and returns the jobs that have completed by `now`.
    pub fn take_completed(&mut self, now: Micros) -> Vec<J> {
        self.advance(now);
        let mut completed = Vec::new();
        while let Some((&key, _)) = self.jobs.first_key_value() {
            // Times are whole microseconds, so a job within a small part of one counts as completed.
            if key.0 .0 > self.attained + COMPLETION_TOLERANCE * self.rate_per_job().max(1.0) {
                break;
            }
            if let Some((_, job)) = self.jobs.pop_first() {
                self.keys.remove(&job);
                completed.push(job);
            }
        }
        completed
    }

    /// Returns the number of jobs.
    pub fn len(&self) -> usize {
        self.jobs.len()
    }

    /// Returns whether there are no jobs.
    pub fn is_empty(&self) -> bool {
        self.jobs.is_empty()
    }

    /// Returns the work done since the start, in core-microseconds.
    pub fn work_done(&self) -> f64 {
        self.work_done
    }

    /// Removes and returns all jobs.
    pub fn clear(&mut self, now: Micros) -> Vec<J> {
        self.advance(now);
        self.keys.clear();
        std::mem::take(&mut self.jobs).into_values().collect()
    }
}
