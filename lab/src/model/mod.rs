//! Models of the systems around the balancers. They are deterministic: time is an argument, and nothing here draws
//! random numbers.
//!
//! - [`server`]: a session server: set-ups under processor sharing, connections as a continuous load, warm-up, and
//!   failure by overload.
//! - [`setups`]: the processor-sharing queue.
//! - [`network`]: delays between zones.
//! - [`discovery`]: the instance list and the timing of its calls.
//!
//! Processor sharing and its mean response time follow Kleinrock, *Queueing Systems* II, 4.4. The parameters of
//! machines, classes, warm-up and overload failure come from the operators' brief. Memory, packet loss and TLS are
//! not modelled.

pub mod discovery;
pub mod network;
pub mod server;
pub mod setups;
