//! oakdeal is a balancer for long-lived connections.
//!
//! Each balancing node owns one [`PlacementPolicy`]. The policy receives [`Event`]s and returns [`Action`]s;
//! it does no I/O, reads no clock and shares no state. Placement is consistent hashing on a ring that all
//! nodes build identically (see `docs/DESIGN.md`).
//!
//! ```
//! use oakdeal::{Action, Demand, Entry, Event, ListKind, PlacementPolicy, Settings};
//! let mut policy = PlacementPolicy::new(Settings::default(), 7).unwrap();
//! let mut out = Vec::new();
//! let hosts = vec![Entry::ready(11), Entry::ready(12)];
//! policy.handle(0, Event::Members { kind: ListKind::Full, hosts }, &mut out);
//! policy.handle(1_000, Event::Demand(Demand::new("call-1", 0, 500_000)), &mut out);
//! assert!(matches!(out.last(), Some(Action::Send { host: 11 | 12, .. })));
//! ```
pub mod api;
pub mod broker;
pub mod cli;
pub mod config;
pub mod contracts;
pub mod failover;
pub mod group;
pub mod import;
pub mod logging;
pub mod net;
pub mod operator;
pub mod peers;
pub mod placement;
pub mod rebalance;
pub mod serve;
pub mod wire;

pub use api::*;
pub use placement::PlacementPolicy;

/// The examples of README.md, which are compiled and run with the tests.
#[cfg(doctest)]
#[doc = include_str!("../README.md")]
struct Readme;
