//! One node that places a few connections of two groups and sees one server fail.

use oakdeal::{Action, Demand, Entry, Event, ListKind, Outcome, PlacementPolicy, Settings, SettingsError};

fn main() -> Result<(), SettingsError> {
    let mut policy = PlacementPolicy::new(Settings::default(), 42)?;
    let mut out: Vec<Action> = Vec::new();
    let hosts = (1..=5).map(Entry::ready).collect();
    policy.handle(0, Event::Members { kind: ListKind::Full, hosts }, &mut out);
    for (i, group) in ["red", "blue", "red", "blue"].into_iter().enumerate() {
        let demand = Demand { group: Some(group.into()), ..Demand::new(&format!("call-{i}"), 0, 500_000) };
        policy.handle(1_000 * i as u64, Event::Demand(demand), &mut out);
    }
    println!("placed: {out:#?}");
    if let Some(Action::Send { call, host, .. }) = out.first().cloned() {
        out.clear();
        let outcome = Outcome::ConnectFailed;
        let failed = Event::Finished { call, attempt: 0, host, outcome, elapsed: 250_000, ended: false };
        policy.handle(260_000, failed, &mut out);
        println!("host {host} did not answer, so: {out:?}");
    }
    Ok(())
}
