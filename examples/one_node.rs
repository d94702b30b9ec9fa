//! One node that places connections of two groups and handles the failure of one server.

use oakdeal::{Action, Demand, Entry, Event, ListKind, Outcome, PlacementPolicy, Settings, SettingsError};

fn main() -> Result<(), SettingsError> {
    let mut policy = PlacementPolicy::new(Settings::default(), 42)?;
    let mut actions: Vec<Action> = Vec::new();
    let hosts = (1..=5).map(Entry::ready).collect();
    policy.handle(0, Event::Members { kind: ListKind::Full, hosts }, &mut actions);
    for (i, group) in ["red", "blue", "red", "blue"].into_iter().enumerate() {
        let demand = Demand { group: Some(group.into()), ..Demand::new(&format!("call-{i}"), 0, 500_000) };
        policy.handle(1_000 * i as u64, Event::Demand(demand), &mut actions);
    }
    println!("placed: {actions:#?}");
    if let Some(Action::Send { call, host, .. }) = actions.first().cloned() {
        actions.clear();
        let outcome = Outcome::ConnectFailed;
        let finished = Event::Finished { call, attempt: 0, host, outcome, elapsed: 250_000, ended: false };
        policy.handle(260_000, finished, &mut actions);
        println!("connecting to host {host} failed; next actions: {actions:?}");
    }
    Ok(())
}
