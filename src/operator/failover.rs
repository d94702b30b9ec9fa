//! The section `[failover]`: regions of zones, capacity of zones, and how fast traffic leaves a zone and returns.

use super::spans::Span;
use crate::api::Micros;
use crate::failover::FailoverSettings;
use serde::Deserialize;
use std::collections::BTreeMap;
use std::ops::Range;
use toml::Spanned;

/// The section as it is written in the file.
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

/// Distance from one zone to another (unitless).
#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct Distance {
    from: String,
    to: String,
    is: u32,
}

/// Maximum of every duration of the section, in microseconds: one hour.
const MAX_SPAN: Micros = 3_600_000_000;
/// Microseconds in a millisecond.
const MICROS_PER_MS: Micros = 1_000;

impl Table {
    /// Checks the section and converts it to settings; an error has its position and the correction.
    pub fn into_settings(self) -> Result<FailoverSettings, (Range<usize>, String)> {
        let defaults = FailoverSettings::default();
        let regions = self.regions.get_ref();
        if !(2..=crate::failover::MAX_ZONES).contains(&regions.len()) {
            let max = crate::failover::MAX_ZONES;
            return Err((self.regions.span(), format!("name two to {max} zones, each with its region")));
        }
        for d in &self.distance {
            let Distance { from, to, is } = d.get_ref();
            if let Some(unknown) = [from, to].into_iter().find(|zone| !regions.contains_key(*zone)) {
                return Err((
                    d.span(),
                    format!("the zone {unknown:?} is not in regions: correct it, or add it there"),
                ));
            }
            if from == to || *is == 0 {
                return Err((
                    d.span(),
                    "a distance must be between two different zones, and 1 or more".into(),
                ));
            }
        }
        let span_or = |value: &Option<Spanned<Span>>, default: u64, min: u64, name: &str| match value {
            Some(v) if !(min..=MAX_SPAN).contains(&v.get_ref().0) => {
                Err((v.span(), format!("{name} must be {} ms to one hour", min / MICROS_PER_MS)))
            }
            value => Ok(value.as_ref().map_or(default, |v| v.get_ref().0)),
        };
        let number_or =
            |value: &Option<Spanned<f64>>, default: f64, min: f64, max: f64, name: &str| match value {
                Some(v) if !(min..=max).contains(v.get_ref()) => {
                    Err((v.span(), format!("{name} must be {min} to {max}")))
                }
                value => Ok(value.as_ref().map_or(default, |v| *v.get_ref())),
            };
        let connections = number_or(&Some(self.connections), 0.0, 0.01, 1e6, "connections")?;
        let distances = self.distance.iter().map(|d| d.get_ref());
        let settings = FailoverSettings {
            connections_per_server: connections,
            distances: distances.map(|d| ((d.from.clone(), d.to.clone()), d.is)).collect(),
            usable_share: number_or(&self.fill, defaults.usable_share, 0.1, 1.0, "fill")?,
            digest_interval: span_or(&self.tell, defaults.digest_interval, 100_000, "tell")?,
            failure_confirmation: span_or(&self.confirm, defaults.failure_confirmation, 0, "confirm")?,
            recovery_confirmation: span_or(&self.stay, defaults.recovery_confirmation, 500_000, "stay")?,
            return_step_interval: span_or(&self.step, defaults.return_step_interval, 100_000, "step")?,
            changeover_window: span_or(&self.over, defaults.changeover_window, 0, "over")?,
            plan_lifetime: span_or(&self.valid, defaults.plan_lifetime, 1_000_000, "valid")?,
            slow_setup: span_or(&self.slow, defaults.slow_setup, 1_000, "slow")?,
            fleet_moves_per_second: number_or(
                &self.moves,
                defaults.fleet_moves_per_second,
                0.0,
                1e6,
                "moves",
            )?,
            regions: self.regions.into_inner(),
        };
        Ok(settings)
    }
}
