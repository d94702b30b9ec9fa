//! The built-in scenarios of the laboratory.

use super::Scenario;
use std::path::Path;

/// Name and TOML text of each built-in scenario.
pub const ALL: [(&str, &str); 18] = [
    ("calm", include_str!("../../scenarios/calm.toml")),
    ("typhoon", include_str!("../../scenarios/typhoon.toml")),
    ("cold-server", include_str!("../../scenarios/cold-server.toml")),
    ("silent-site", include_str!("../../scenarios/silent-site.toml")),
    ("mass-death", include_str!("../../scenarios/mass-death.toml")),
    ("long-lived", include_str!("../../scenarios/long-lived.toml")),
    ("rolling-restart", include_str!("../../scenarios/rolling-restart.toml")),
    ("team-flood", include_str!("../../scenarios/team-flood.toml")),
    ("discovery-down", include_str!("../../scenarios/discovery-down.toml")),
    ("drains", include_str!("../../scenarios/drains.toml")),
    ("large", include_str!("../../scenarios/large.toml")),
    ("fleet-release", include_str!("../../scenarios/fleet-release.toml")),
    ("fleet-stale-lists", include_str!("../../scenarios/fleet-stale-lists.toml")),
    ("fleet-zone", include_str!("../../scenarios/fleet-zone.toml")),
    ("fleet-mass-roll", include_str!("../../scenarios/fleet-mass-roll.toml")),
    ("fleet-mass-zone", include_str!("../../scenarios/fleet-mass-zone.toml")),
    ("fleet-replaced", include_str!("../../scenarios/fleet-replaced.toml")),
    ("small", include_str!("../../scenarios/small.toml")),
];

/// Returns the built-in scenario of this name, or else reads the file with this path.
pub fn find(name: &str) -> Result<Scenario, String> {
    if let Some((_, text)) = ALL.iter().find(|(n, _)| *n == name) {
        return Scenario::parse(Path::new(name), text);
    }
    let path = Path::new(name);
    let text = std::fs::read_to_string(path).map_err(|e| {
        let names: Vec<&str> = ALL.iter().map(|(n, _)| *n).collect();
        format!(
            "{name:?} is not a built-in scenario ({}) and cannot be read as a file: {e}",
            names.join(", ")
        )
    })?;
    Scenario::parse(path, &text)
}
