//! The group's replicated record: a small state that changes only by commands that a majority of the voters has stored.
//!
//! Guarantees: the same commands in the same order give the same state, independent of any clock; the token of a grant never
//! decreases and is never given twice. State and commands are stored as JSON with field names, so that a neighbouring version
//! ignores fields that it does not know and takes the default for those that are missing. A release may propose a new kind of
//! command only if the release before it already knows that kind; a voter that cannot decode a committed command stops
//! voting.

use crate::failover::plan::{Order, OrderKind, Plan};
use crate::failover::MAX_ZONES;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// Maximum length of the name of a task, a lease holder or a zone, in bytes.
pub const MAX_NAME_BYTES: usize = 64;
/// Maximum number of tasks in the record.
pub const MAX_TASKS: usize = 8;

/// A lease on a task.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(default)]
pub struct Lease {
    /// Name of the lease holder; none while the task is free.
    pub holder: Option<String>,
    /// Token of the latest grant.
    pub token: u64,
    /// Number of renewals, the grant included. `Command::Free` names the last renewal that the leader saw, so that a lease
    /// renewed meanwhile is not freed.
    pub renewals: u64,
}

/// The replicated state.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(default)]
pub struct State {
    /// Number of changes. A renewal does not count: only the leader needs it, the members that follow the record do not.
    pub version: u64,
    /// The highest token granted so far.
    #[serde(rename = "tokens")]
    pub last_token: u64,
    /// Leases by task.
    pub leases: BTreeMap<String, Lease>,
    /// Names of the voters by folder id. During a membership change these are the voters of both configurations.
    #[serde(rename = "seats")]
    pub voters: BTreeMap<u64, String>,
    /// Number of the last page of the fleet's account that was begun.
    #[serde(rename = "pages")]
    pub last_page: u64,
    /// The latest plan for zones.
    pub plan: Option<Plan>,
    /// Operators' orders in force, by zone.
    pub orders: BTreeMap<String, Order>,
    /// Number of the last order.
    #[serde(rename = "ordered")]
    pub last_order: u64,
}

/// A requested change of the record.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Command {
    /// Requests the lease on a task; from its holder it is a renewal.
    Acquire {
        /// The task.
        task: String,
        /// Name of the client.
        holder: String,
    },
    /// The lease holder renews its lease.
    Renew {
        /// The task.
        task: String,
        /// The token of its grant.
        token: u64,
    },
    /// The lease holder releases its lease.
    Return {
        /// The task.
        task: String,
        /// The token of its grant.
        token: u64,
    },
    /// The leader has waited until the lease expired and frees the task.
    Free {
        /// The task.
        task: String,
        /// The token of the grant that expired.
        token: u64,
        /// The last renewal that the leader saw.
        renewals: u64,
    },
    /// The lease holder begins a page of the account. Each page number is granted once, so a page has one writer.
    Page {
        /// The task.
        task: String,
        /// The token of its grant.
        token: u64,
        /// The page's number, one more than that of the last page.
        page: u64,
    },
    /// The lease holder publishes the next plan, or renews the latest.
    Plan {
        /// The task.
        task: String,
        /// The token of its grant.
        token: u64,
        /// The plan.
        plan: Plan,
    },
    /// An operator gives an order for a zone, or withdraws it.
    Order {
        /// The zone.
        zone: String,
        /// The order; none withdraws the one in force.
        wish: Option<OrderKind>,
        /// How long the order is valid, in milliseconds.
        lasts_ms: u64,
    },
    /// The lease holder has found that an order has ended.
    Ended {
        /// The zone.
        zone: String,
        /// The order's number.
        number: u64,
    },
}

/// The result of a command.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Outcome {
    /// The client holds the lease under this token.
    Granted(u64),
    /// Another client, named here, holds the lease.
    Held(String),
    /// The change was made.
    Done,
    /// The command was rejected: its token is not that of the current grant, its number is not the next one, a name is empty
    /// or too long, or a bound is reached.
    Stale,
}

impl State {
    /// Applies one command to the state.
    pub fn apply(&mut self, command: &Command) -> Outcome {
        let token_before = self.last_token;
        let outcome = self.transition(command);
        if outcome == Outcome::Done || self.last_token > token_before {
            self.version += 1;
        }
        outcome
    }

    /// Sets the voters to the folders with these ids; `new` is the id and name of an added one.
    pub fn set_voters(&mut self, ids: &[u64], new: Option<(u64, String)>) {
        self.voters.extend(new);
        self.voters.retain(|id, _| ids.contains(id));
        self.version += 1;
    }

    fn transition(&mut self, command: &Command) -> Outcome {
        match command {
            Command::Acquire { task, holder } => {
                let full = self.leases.len() >= MAX_TASKS && !self.leases.contains_key(task);
                let valid = |text: &str| !text.is_empty() && text.len() <= MAX_NAME_BYTES;
                if full || !valid(task) || !valid(holder) {
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
 let is_next = (plan.serial, plan.renewals) == (serial + 1, 0); let is_renewal = self.plan.is_some() && (plan.serial, plan.renewals) == (serial, renewed + 1); if !is_next && !is_renewal || plan.zones.len() > MAX_ZONES || self.current_lease(task, *token).is_none() { 
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

    /// Returns the lease on a task if it is held under this token.
    fn current_lease(&mut self, task: &str, token: u64) -> Option<&mut Lease> {
        self.leases.get_mut(task).filter(|lease| lease.holder.is_some() && lease.token == token)
    }

    /// Returns the state encoded as JSON.
    pub fn encode(&self) -> Vec<u8> {
        serde_json::to_vec(self).unwrap_or_default()
    }

    /// Decodes a state; `None` where the bytes are not one.
    pub fn decode(bytes: &[u8]) -> Option<State> {
        serde_json::from_slice(bytes).ok()
    }
}

impl Command {
    /// Returns the command encoded as JSON.
    pub fn encode(&self) -> Vec<u8> {
        serde_json::to_vec(self).unwrap_or_default()
    }

    /// Decodes a command; `None` where the bytes are not one or its kind is unknown.
    pub fn decode(bytes: &[u8]) -> Option<Command> {
        serde_json::from_slice(bytes).ok()
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use proptest::prelude::*;

    fn any_command() -> impl Strategy<Value = Command> {
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
        /// Guards against a token that decreases or is granted to two clients, a change that leaves the version as it was,
        /// and a state or command that differs after encoding and decoding.
        #[test]
        fn tokens_never_decrease_and_each_has_one_holder(commands in prop::collection::vec(any_command(), 0..60)) {
            let (mut state, mut granted) = (State::default(), BTreeMap::<u64, (String, String)>::new());
            for command in commands {
                let before = state.clone();
                let outcome = state.apply(&command);
                prop_assert!(state.last_token >= before.last_token);
                // Every change but a renewal is a new version.
                let without_renewals = |state: &State| {
                    let mut state = state.clone();
                    state.leases.values_mut().for_each(|lease| lease.renewals = 0);
                    state
                };
                prop_assert_eq!(state.version > before.version, without_renewals(&state) != without_renewals(&before));
                prop_assert!(state.last_page == before.last_page || state.last_page == before.last_page + 1);
                let plan_number = |state: &State| state.plan.as_ref().map_or((0, 0), |plan| (plan.serial, plan.renewals));
                prop_assert!(plan_number(&state) >= plan_number(&before), "the plan went back to an older one");
                if let (Command::Acquire { task, holder }, Outcome::Granted(token)) = (&command, &outcome) {
                    let client = (task.clone(), holder.clone());
                    prop_assert_eq!(granted.entry(*token).or_insert(client.clone()), &client);
                }
                prop_assert_eq!(State::decode(&state.encode()), Some(state.clone()));
                prop_assert_eq!(Command::decode(&command.encode()), Some(command));
            }
        }

        /// Guards against a panic on arbitrary bytes.
        #[test]
        fn decoding_arbitrary_bytes_does_not_panic(bytes in prop::collection::vec(any::<u8>(), 0..200)) {
            let _ = (State::decode(&bytes), Command::decode(&bytes));
        }
    }

    /// Guards against neighbouring versions that cannot decode each other's state: unknown fields are ignored and missing
    /// ones take their default.
    #[test]
    fn unknown_fields_are_ignored_and_missing_ones_take_their_default() {
        let newer = br#"{"version":3,"tokens":2,"plans":[1],"leases":{"a":{"holder":"x","token":2,"renewals":1,"by":7}}}"#;
        let state = State::decode(newer).unwrap();
        assert_eq!((state.version, state.leases["a"].token), (3, 2));
        assert_eq!(State::decode(b"{}"), Some(State::default()));
    }
}
