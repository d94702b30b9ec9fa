//! The score of a run, and the check of the service rules.
//!
//! - [`record`]: every event of a run as compressed JSON lines; all results can be computed from it.
//! - [`checker`]: checks the rules against the record of a simulated or a live run.
//! - [`service`]: the score: the worth of the connection time served well, over the worth of that asked for.

pub mod checker;
pub mod record;
pub mod service;
