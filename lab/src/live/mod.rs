//! Live runs: a scenario in real time, on loopback sockets, against real `oakdeal` processes.
//!
//! - [`servers`]: emulated session servers that speak the platform's protocol over the model of the simulation.
//! - [`discovery`]: the list of servers and its watches over HTTP.
//! - [`balancers`]: the balancer processes.
//! - [`clients`]: clients that request connections, check every echoed line, and reconnect.
//! - [`wire`]: the two protocols, line protocol and XMPP, behind one interface.
//! - [`site`]: the run as a whole: shared state, faults and the value of each second.
//!
//! A live run is bounded in time and connections, ends by itself and only uses loopback. It reports when the machine was
//! too slow for the result to count. It is not reproducible, because its timing depends on the operating system.

pub mod balancers;
pub mod clients;
pub mod discovery;
pub mod servers;
pub mod site;
pub mod wire;

pub use site::play;
