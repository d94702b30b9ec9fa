//! Discrete-event simulation: runs a scenario against the decision code in simulated time, as fast as the machine
//! allows.
//!
//! - [`engine`]: the simulation's state and its event queue, in which simultaneous events keep the order in which they
//!   were scheduled. Its methods are split by subject: `requests` (a request and its connection), `faults`,
//!   `seconds` (scoring) and `common` (the fleet's zone plan).
//! - [`decider`]: the implementations that decide for a balancer: this build's core in the same process, another
//!   build's `oakdeal-drill` as a child process, or a baseline.
//!
//! Guaranteed: equal scenario, seed and build give an identical record on any machine and with any number of threads.
//! The design alternatives are discussed in docs/lab.md.

mod common;
pub mod decider;
pub mod drill;
pub mod engine;
mod faults;
mod requests;
mod seconds;

pub use engine::simulate;
