//! The laboratory of oakdeal: a simulator and a test bench for fleets of balancers. Data flows down this list; no
//! module depends on one that is listed after it.
//!
//! - [`scenario`]: scenario files in TOML, and the workload and faults that a seed generates from one.
//! - [`model`]: models of session servers, network delays and discovery, without I/O or a clock.
//! - [`score`]: the record of a run, the score computed from it, and the check of the service rules.
//! - [`virt`]: runs a scenario in simulated time against the decision code; [`live`] runs it on loopback sockets
//!   against real processes.
//! - [`fleet`]: runs many coordinating processes with a relay on every link, injects faults and checks the result.
//! - [`ledger`]: attributes the worth of a run to causes, from the debug logs of real balancers.
//! - [`report`]: renders records as one HTML file; [`cli`]: the sub-commands of `oakdeal-lab`.
//!
//! The balancer neither builds against this crate nor needs it to run.

pub mod cli;
pub mod fleet;
pub mod ledger;
pub mod live;
pub mod model;
pub mod report;
pub mod scenario;
pub mod score;
pub mod virt;
