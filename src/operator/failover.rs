//! The section `[failover]`: regions of zones, what a zone carries, and how fast traffic leaves it and comes back.

use super::spans::Span;
use crate::failover::FailoverSettings;
use serde::Deserialize;
use std::collections::BTreeMap;
use std::ops::Range;
use toml::Spanned;

/// As it is written.
#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Table {
    connections: Spanned<f64>,
    regions: Spanned<BTreeMap<String, String>>,
    #[serde(default)]
    distance: Vec<Spanned<Distance>>,
    fill: Option<Spanned<f64>>,
    tell: Option<Spanned<Span>>,
    confirm: Option<Spanned<Span>>,
    stay: Option<Spanned<Span>>,
    step: Option<Spanned<Span>>,
    over: Option<Spanned<Span>>,
    valid: Option<Spanned<Span>>,
    slow: Option<Spanned<Span>>,
    moves: Option<Spanned<f64>>,
}

/// How far it is from one zone to another.
#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct Distance {
    from: String,
    to: String,
    is: u32,
}

impl Table {
    /// Checked; what is wrong, where, and the mend.
    pub fn terms(self) -> Result<FailoverSettings, (Range<usize>, String)> {
        let usual = FailoverSettings::default();
        let regions = self.regions.get_ref();
        if !(2..=crate::failover::MAX_ZONES).contains(&regions.len()) {
            let most = crate::failover::MAX_ZONES;
            return Err((self.regions.span(), format!("name two to {most} zones, each with its region")));
        }
        for d in &self.distance {
            let Distance { from, to, is } = d.get_ref();
            if let Some(lost) = [from, to].into_iter().find(|zone| !regions.contains_key(*zone)) {
                return Err((
                    d.span(),
                    format!("the zone {lost:?} is not in regions: correct it, or add it there"),
                ));
            }
            if from == to || *is == 0 {
                return Err((d.span(), "a distance is from one zone to another, and 1 or more".into()));
            }
        }
        let span = |told: &Option<Spanned<Span>>, usual: u64, least: u64, name: &str| match told {
            Some(v) if !(least..=3_600_000_000).contains(&v.get_ref().0) => {
                Err((v.span(), format!("{name} must be {} ms to one hour", least / 1_000)))
            }
            told => Ok(told.as_ref().map_or(usual, |v| v.get_ref().0)),
        };
        let figure = |told: &Option<Spanned<f64>>, usual: f64, least: f64, most: f64, name: &str| match told {
            Some(v) if !(least..=most).contains(v.get_ref()) => {
                Err((v.span(), format!("{name} must be {least} to {most}")))
            }
            told => Ok(told.as_ref().map_or(usual, |v| *v.get_ref())),
        };
        let connections = figure(&Some(self.connections), 0.0, 0.01, 1e6, "connections")?;
        let distances = self.distance.iter().map(|d| d.get_ref());
        let terms = FailoverSettings {
            connections_per_server: connections,
            distances: distances.map(|d| ((d.from.clone(), d.to.clone()), d.is)).collect(),
            usable_share: figure(&self.fill, usual.usable_share, 0.1, 1.0, "fill")?,
            digest_interval: span(&self.tell, usual.digest_interval, 100_000, "tell")?,
            failure_confirmation: span(&self.confirm, usual.failure_confirmation, 0, "confirm")?,
            recovery_confirmation: span(&self.stay, usual.recovery_confirmation, 500_000, "stay")?,
            return_step_interval: span(&self.step, usual.return_step_interval, 100_000, "step")?,
            changeover_window: span(&self.over, usual.changeover_window, 0, "over")?,
            plan_lifetime: span(&self.valid, usual.plan_lifetime, 1_000_000, "valid")?,
            slow_setup: span(&self.slow, usual.slow_setup, 1_000, "slow")?,
            fleet_moves_per_second: figure(&self.moves, usual.fleet_moves_per_second, 0.0, 1e6, "moves")?,
            regions: self.regions.into_inner(),
        };
        Ok(terms)
    }
}
