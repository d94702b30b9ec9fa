//! Group decisions of a fleet of balancers: a record replicated by a majority of voters, and leases on the fleet's tasks.
//!
//! Guarantees: a change of the record is announced only after a majority of voters has stored it; a task has one holder at a
//! time ([`lease`] states the assumptions); clients never wait for any of this. Not guaranteed: progress without a majority.
//! [`task::Group`] runs a member with its socket; [`member::Member`] is the same without I/O. docs/group.md discusses the
//! alternatives and has the operators' page.

pub mod account;
#[cfg(feature = "failpoints")]
mod failpoint;
pub mod folder;
mod holder_tasks;
pub mod lease;
pub mod member;
pub mod messages;
pub mod outbox;
pub mod record;
pub mod task;
pub mod voter;
pub mod writer;

use crate::api::Micros;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::path::PathBuf;

/// Task of rebalancing: only its holder moves connections back to their preferred servers, so one balancer does so at a time.
pub const REBALANCE_TASK: &str = "rebalance";
/// Task of writing the fleet's account.
pub const ACCOUNT_TASK: &str = "account";

/// The section `[group]` of the operator's file, checked.
#[derive(Clone, Debug, PartialEq)]
pub struct Settings {
    /// Name of this process in the group, if it differs from the platform's name.
    pub name: Option<String>,
    /// Address on which datagrams are received.
    pub listen: SocketAddr,
    /// File with the key that authenticates datagrams.
    pub key: PathBuf,
    /// Zone of this process.
    pub zone: String,
    /// Region of this process.
    pub region: String,
    /// Names of the voters.
    pub voters: Vec<String>,
    /// Addresses of members as reached from this process, by name.
    pub members: BTreeMap<String, SocketAddr>,
    /// Folder of a voter's storage.
    pub folder: Option<PathBuf>,
    /// Interval between two probes of the membership protocol.
    pub probe_interval: Micros,
    /// Time that a lease allows its holder to act, counted from its request.
    pub lease_span: Micros,
    /// Maximum deviation of clocks from true time, in millionths.
    pub drift: u64,
    /// Tasks that this process tries to hold.
    pub tasks: Vec<String>,
    /// Interval between two pages of the fleet's account.
    pub account_interval: Micros,
    /// Maximum time that a task is held before it is released to other members.
    pub max_hold: Micros,
    /// Hash of the operator's file, by which members with different files are noticed.
    pub fingerprint: u32,
}
