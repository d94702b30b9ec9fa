//! What the fleet decides in common: a record that a majority of voters keeps, and leases on the fleet's tasks.
//!
//! Promised: what is in the record was kept by a majority before anybody was told; a task has one holder at a time
//! ([`lease`] says what that rests on); nobody's clients wait for any of it. Not promised: progress without a majority.
//! docs/group.md weighs the ways and has the operators' page.

pub mod folder;
pub mod lease;
pub mod record;
pub mod voter;
