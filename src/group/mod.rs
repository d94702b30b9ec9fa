//! What the fleet decides in common: a record that a majority of voters keeps, and leases on the fleet's tasks.
//!
//! Promised: what is in the record was kept by a majority before anybody was told; a task has one holder at a time
//! ([`lease`] says what that rests on); nobody's clients wait for any of it. Not promised: progress without a majority.
//! Used through [`task::Group`], which has the socket; [`member::Member`] is the same without I/O. docs/group.md weighs the ways
//! and has the operators' page.

pub mod account;
mod duties;
#[cfg(feature = "failpoints")]
mod failpoint;
pub mod folder;
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

/// The task of moving connections home: one balancer's wave at a time.
pub const REBALANCE_TASK: &str = "rebalance";
/// The task of writing the fleet's account.
pub const ACCOUNT_TASK: &str = "account";

/// The section `[group]` of the operator's file.
#[derive(Clone, Debug, PartialEq)]
pub struct Settings {
    /// How the others call this process, where that is not the platform's name.
    pub name: Option<String>,
    /// Where it takes datagrams.
    pub listen: SocketAddr,
    /// The file of the fleet's key.
    pub key: PathBuf,
    /// Where it stands.
    pub zone: String,
    /// See `zone`.
    pub region: String,
    /// The voters' names.
    pub voters: Vec<String>,
    /// Where members are reached from here, by name.
    pub members: BTreeMap<String, SocketAddr>,
    /// A voter's memory.
    pub folder: Option<PathBuf>,
    /// How often somebody is asked whether they are there.
    pub probe_interval: Micros,
    /// How long a holder may act after it asked.
    pub lease_span: Micros,
    /// How far clocks run from true time, in millionths.
    pub drift: u64,
    /// The tasks that this process wants.
    pub tasks: Vec<String>,
    /// How often the fleet's account is written.
    pub account_interval: Micros,
    /// It holds one for so long at most, before another may.
    pub max_hold: Micros,
    /// A number that differs where the files differ.
    pub fingerprint: u32,
}
