//! What the fleet has decided: a small state, changed only by commands that a majority of the voters has kept.
//!
//! Promised: the same commands in the same order give the same state, whatever the clock says; a token never falls and is
//! never given twice. Both are written as JSON with names: a neighbouring version passes over what it does not know and
//! takes the usual for what it misses. A command's kind may be proposed only by a release whose neighbour knows it; a voter
//! that cannot read what was decided votes no more.

use crate::failover::plan::{Order, OrderKind, Plan};
use crate::failover::MAX_ZONES;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// A task's name, and a holder's, are no longer than this.
pub const MAX_NAME_BYTES: usize = 64;
/// So many tasks are known at most.
pub const MAX_TASKS: usize = 8;

/// A lease on a task.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(default)]
pub struct Lease {
    /// Who holds it.
    pub holder: Option<String>,
    /// The token of the latest grant.
    pub token: u64,
    /// How often it was renewed, the grant included: whoever frees it says which renewal it saw last.
    pub renewals: u64,
}

/// The record.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(default)]
pub struct State {
    /// How often it has changed for those who watch it: a renewal is for the leader alone.
    pub version: u64,
    /// The highest token given.
    #[serde(rename = "tokens")]
    pub last_token: u64,
    /// By task.
    pub leases: BTreeMap<String, Lease>,
    /// The voters: one number for each folder that was ever let in, and whose it is.
    #[serde(rename = "seats")]
    pub voters: BTreeMap<u64, String>,
    /// Pages of the fleet's account that were begun.
    #[serde(rename = "pages")]
    pub last_page: u64,
    /// The plan for zones.
    pub plan: Option<Plan>,
    /// What operators want of zones, and how many orders there were.
    pub orders: BTreeMap<String, Order>,
    /// See `orders`.
    #[serde(rename = "ordered")]
    pub last_order: u64,
}

/// A change that is asked for.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Command {
    /// Somebody wants a task; from its holder it is a renewal.
    Acquire {
        /// The task.
        task: String,
        /// Who asks.
        holder: String,
    },
    /// Its holder goes on.
    Renew {
        /// The task.
        task: String,
        /// The token of its grant.
        token: u64,
    },
    /// Its holder gives it back.
    Return {
        /// The task.
        task: String,
        /// The token of its grant.
        token: u64,
    },
    /// The leader has waited for the holder's span.
    Free {
        /// The task.
        task: String,
        /// The token of the grant that is over.
        token: u64,
        /// The last renewal that the leader had seen.
        renewals: u64,
    },
    /// The holder of a task begins a page of the account: each number has one writer.
    Page {
        /// The task.
        task: String,
        /// The token of its grant.
        token: u64,
        /// The page: the next one.
        page: u64,
    },
    /// The holder of a task puts the next plan, or renews the last.
    Plan {
        /// The task.
        task: String,
        /// The token of its grant.
        token: u64,
        /// The plan.
        plan: Plan,
    },
    /// An operator wants something of a zone for so many milliseconds, or nothing any more.
    Order {
        /// The zone.
        zone: String,
        /// What.
        wish: Option<OrderKind>,
        /// For how long.
        lasts_ms: u64,
    },
    /// The holder has seen an order end.
    Ended {
        /// The zone.
        zone: String,
        /// The order's number.
        number: u64,
    },
}

/// What a command came to.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Outcome {
    /// The asker holds the task under this token.
    Granted(u64),
    /// Somebody else does.
    Held(String),
    /// It was given back or freed.
    Done,
    /// The token is not that of the holder, or the name is no name.
    Stale,
}

impl State {
    /// Changes the state by one command.
    pub fn apply(&mut self, command: &Command) -> Outcome {
        let tokens = self.last_token;
        let outcome = self.transition(command);
        if outcome == Outcome::Done || self.last_token > tokens {
            self.version += 1;
        }
        outcome
    }

    /// The voters are these from now on; a new one is called so.
    pub fn set_voters(&mut self, ids: &[u64], new: Option<(u64, String)>) {
        self.voters.extend(new);
        self.voters.retain(|id, _| ids.contains(id));
        self.version += 1;
    }

    fn transition(&mut self, command: &Command) -> Outcome {
        match command {
            Command::Acquire { task, holder } => {
                let full = self.leases.len() >= MAX_TASKS && !self.leases.contains_key(task);
                let named = |text: &str| !text.is_empty() && text.len() <= MAX_NAME_BYTES;
                if full || !named(task) || !named(holder) {
                    return Outcome::Stale;
                }
                let lease = self.leases.entry(task.clone()).or_default();
                match &lease.holder {
                    Some(other) if other != holder => return Outcome::Held(other.clone()),
                    Some(_) => {}
                    None => {
                        self.last_token += 1;
                        (lease.holder, lease.token, lease.renewals) =
                            (Some(holder.clone()), self.last_token, 0);
                    }
                }
                lease.renewals += 1;
                Outcome::Granted(lease.token)
            }
            Command::Renew { task, token } => match self.current_lease(task, *token) {
                Some(lease) => {
                    lease.renewals += 1;
                    Outcome::Granted(*token)
                }
                None => Outcome::Stale,
            },
            Command::Return { task, token } => match self.current_lease(task, *token) {
                Some(lease) => {
                    lease.holder = None;
                    Outcome::Done
                }
                None => Outcome::Stale,
            },
            Command::Free { task, token, renewals } => match self.current_lease(task, *token) {
                Some(lease) if lease.renewals == *renewals => {
                    lease.holder = None;
                    Outcome::Done
                }
                _ => Outcome::Stale,
            },
            Command::Page { task, token, page } => {
                if *page != self.last_page + 1 || self.current_lease(task, *token).is_none() {
                    return Outcome::Stale;
                }
                self.last_page = *page;
                Outcome::Done
            }
            Command::Plan { task, token, plan } => {
                let (serial, renewed) =
                    self.plan.as_ref().map_or((0, 0), |plan| (plan.serial, plan.renewals));
                let next = (plan.serial, plan.renewals) == (serial + 1, 0);
                let again = self.plan.is_some() && (plan.serial, plan.renewals) == (serial, renewed + 1);
                if !next && !again
                    || plan.zones.len() > MAX_ZONES
                    || self.current_lease(task, *token).is_none()
                {
                    return Outcome::Stale;
                }
                self.plan = Some(plan.clone());
                Outcome::Done
            }
            Command::Order { zone, wish, lasts_ms } => {
                let full = self.orders.len() >= MAX_ZONES && !self.orders.contains_key(zone);
                match wish {
                    _ if zone.is_empty() || zone.len() > MAX_NAME_BYTES => return Outcome::Stale,
                    Some(_) if full => return Outcome::Stale,
                    Some(wish) => {
                        self.last_order += 1;
                        let order =
                            Order { number: self.last_order, kind: wish.clone(), lasts_ms: *lasts_ms };
                        self.orders.insert(zone.clone(), order);
                    }
                    None if self.orders.remove(zone).is_none() => return Outcome::Stale,
                    None => {}
                }
                Outcome::Done
            }
            Command::Ended { zone, number } => match self.orders.get(zone) {
                Some(order) if order.number == *number => {
                    self.orders.remove(zone);
                    Outcome::Done
                }
                _ => Outcome::Stale,
            },
        }
    }

    fn current_lease(&mut self, task: &str, token: u64) -> Option<&mut Lease> {
        self.leases.get_mut(task).filter(|lease| lease.holder.is_some() && lease.token == token)
    }

    /// As bytes.
    pub fn encode(&self) -> Vec<u8> {
        serde_json::to_vec(self).unwrap_or_default()
    }

    /// From bytes.
    pub fn decode(bytes: &[u8]) -> Option<State> {
        serde_json::from_slice(bytes).ok()
    }
}

impl Command {
    /// As bytes.
    pub fn encode(&self) -> Vec<u8> {
        serde_json::to_vec(self).unwrap_or_default()
    }

    /// From bytes.
    pub fn decode(bytes: &[u8]) -> Option<Command> {
        serde_json::from_slice(bytes).ok()
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use proptest::prelude::*;

    fn command() -> impl Strategy<Value = Command> {
        let task = prop::sample::select(vec!["a", "b"]).prop_map(String::from);
        let holder = prop::sample::select(vec!["x", "y"]).prop_map(String::from);
        let token = 0u64..6;
        prop_oneof![
            (task.clone(), holder).prop_map(|(task, holder)| Command::Acquire { task, holder }),
            (task.clone(), token.clone()).prop_map(|(task, token)| Command::Renew { task, token }),
            (task.clone(), token.clone()).prop_map(|(task, token)| Command::Return { task, token }),
            (task, token, 0u64..4).prop_map(|(task, token, renewals)| Command::Free {
                task,
                token,
                renewals
            }),
            (prop::sample::select(vec!["a", "b"]), 0u64..6, 0u64..4)
                .prop_map(|(task, token, page)| Command::Page { task: task.into(), token, page }),
            (prop::sample::select(vec!["a", "b"]), 0u64..6, 0u64..4, 0u64..3).prop_map(
                |(task, token, serial, renewed)| {
                    Command::Plan {
                        task: task.into(),
                        token,
                        plan: Plan { serial, renewals: renewed, ..Plan::default() },
                    }
                }
            ),
            (0u8..4, any::<bool>()).prop_map(|(zone, some)| Command::Order {
                zone: format!("z{zone}"),
                wish: some.then_some(OrderKind::Evacuate(7)),
                lasts_ms: 9
            }),
            (0u8..4, 0u64..9).prop_map(|(zone, number)| Command::Ended { zone: format!("z{zone}"), number }),
        ]
    }

    proptest! {
        /// Guards against a token that falls or is given to two, and against a state that its own bytes do not give back.
        #[test]
        fn tokens_only_grow_and_each_has_one_holder(commands in prop::collection::vec(command(), 0..60)) {
            let (mut state, mut given) = (State::default(), BTreeMap::<u64, (String, String)>::new());
            for command in commands {
                let before = state.clone();
                let outcome = state.apply(&command);
                prop_assert!(state.last_token >= before.last_token);
                // Whatever changes but a renewal is a new version.
                let told = |state: &State| {
                    let mut state = state.clone();
                    state.leases.values_mut().for_each(|lease| lease.renewals = 0);
                    state
                };
                prop_assert_eq!(state.version > before.version, told(&state) != told(&before));
                prop_assert!(state.last_page == before.last_page || state.last_page == before.last_page + 1);
                let age = |state: &State| state.plan.as_ref().map_or((0, 0), |plan| (plan.serial, plan.renewals));
                prop_assert!(age(&state) >= age(&before), "a plan that falls");
                if let (Command::Acquire { task, holder }, Outcome::Granted(token)) = (&command, &outcome) {
                    let to = (task.clone(), holder.clone());
                    prop_assert_eq!(given.entry(*token).or_insert(to.clone()), &to);
                }
                prop_assert_eq!(State::decode(&state.encode()), Some(state.clone()));
                prop_assert_eq!(Command::decode(&command.encode()), Some(command));
            }
        }

        /// Guards against a panic on bytes that somebody made up.
        #[test]
        fn junk_is_no_state_and_no_command(bytes in prop::collection::vec(any::<u8>(), 0..200)) {
            let _ = (State::decode(&bytes), Command::decode(&bytes));
        }
    }

    /// Guards against a neighbouring version that cannot read what this one has written.
    #[test]
    fn what_a_neighbour_adds_is_passed_over_and_what_it_lacks_is_the_usual() {
        let newer = br#"{"version":3,"tokens":2,"plans":[1],"leases":{"a":{"holder":"x","token":2,"renewals":1,"by":7}}}"#;
        let state = State::decode(newer).unwrap();
        assert_eq!((state.version, state.leases["a"].token), (3, 2));
        assert_eq!(State::decode(b"{}"), Some(State::default()));
    }
}
