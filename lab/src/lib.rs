//! The laboratory of oakdeal. Data flows down this list; nothing below knows what stands above it.
//!
//! - [`scenario`]: what is rehearsed, as TOML, and the day that a seed draws from it.
//! - [`model`]: session servers, the network's delays and discovery, without I/O and clock.
//! - [`score`]: what a run was worth, whether the rules were kept, and the record of it.
//! - [`virt`]: plays a day in simulated time against the decision code; [`live`] plays it on loopback sockets
//!   against real processes.
//! - [`fleet`]: many real processes that decide together, a relay on every link, faults, witnesses, a checker.
//! - [`ledger`]: where the worth of a day went, from the debug logs of real balancers.
//! - [`report`]: records as one HTML file; [`cli`]: the sub-commands of `oakdeal-lab`.
//!
//! Nothing here is needed to build or to run the balancer.

pub mod cli;
pub mod fleet;
pub mod ledger;
pub mod live;
pub mod model;
pub mod report;
pub mod scenario;
pub mod score;
pub mod virt;
