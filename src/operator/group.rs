//! The section `[group]`: the balancers that coordinate, their voters, and how members find each other.

use super::spans::Span;
use crate::api::Micros;
use crate::group::{Settings, ACCOUNT_TASK, REBALANCE_TASK};
use serde::Deserialize;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::ops::{Range, RangeInclusive};
use std::path::PathBuf;
use toml::Spanned;

/// The section as it is written in the file.
#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Table {
    name: Option<String>,
    listen: SocketAddr,
    key: PathBuf,
    #[serde(default)]
    zone: String,
    #[serde(default)]
    region: String,
    voters: Spanned<Vec<String>>,
    members: Spanned<BTreeMap<String, SocketAddr>>,
    folder: Option<PathBuf>,
    probe: Option<Spanned<Span>>,
    span: Option<Spanned<Span>>,
    drift: Option<Spanned<f64>>,
    turn: Option<Spanned<Span>>,
    tasks: Option<Vec<String>>,
}

/// Interval between two membership probes, in microseconds: default, minimum, maximum.
const PROBE_INTERVAL: (u64, u64, u64) = (1_000_000, 100_000, 60_000_000);
/// Duration of a lease, in microseconds: default, minimum, maximum.
const LEASE_SPAN: (u64, u64, u64) = (6_000_000, 500_000, 600_000_000);
/// Maximum time for which one process holds a task, in microseconds: default, minimum, maximum.
const MAX_HOLD: (u64, u64, u64) = (30_000_000, 500_000, 86_400_000_000);
/// Maximum length of a member's name, in bytes.
const MAX_MEMBER_NAME_BYTES: usize = 32;
/// Range of the assumed drift of a clock from true time, as a fraction (unitless).
const DRIFT_RANGE: RangeInclusive<f64> = 0.000_1..=0.2;
/// Drift of a clock from true time that is assumed by default, as a fraction (unitless).
const DEFAULT_DRIFT: f64 = 0.01;
/// The number one in parts per million.
const ONE_IN_PPM: f64 = 1e6;
/// Microseconds in a millisecond.
const MICROS_PER_MS: Micros = 1_000;

impl Table {
    /// Checks the section and converts it to settings; an error has its position and the correction. `fingerprint` is of the
    /// whole file, `account_interval` the interval between two writes of the account.
    pub fn into_settings(
        self,
        fingerprint: u32,
        account_interval: Micros,
    ) -> Result<Settings, (Range<usize>, String)> {
        let span_or =
            |value: &Option<Spanned<Span>>, (default, min, max): (u64, u64, u64), name: &str| match value {
                Some(v) if !(min..=max).contains(&v.get_ref().0) => Err((
                    v.span(),
                    format!("{name} must be {} to {} ms", min / MICROS_PER_MS, max / MICROS_PER_MS),
                )),
                value => Ok(value.as_ref().map_or(default, |v| v.get_ref().0)),
            };
        let voters = self.voters.get_ref();
        let members = self.members.get_ref();
        let mut distinct = voters.clone();
        distinct.sort();
        distinct.dedup();
        if !matches!(voters.len(), 3 | 5) || distinct.len() != voters.len() {
            return Err((
                self.voters.span(),
                "name three or five voters, each once, in different zones".into(),
            ));
        }
        if let Some(unknown) = voters.iter().find(|name| !members.contains_key(*name)) {
            return Err((
                self.members.span(),
                format!("the voter {unknown:?} has no address here: add it to [group.members]"),
            ));
        }
        if let Some(invalid) = members
            .keys()
            .find(|name| name.is_empty() || name.len() > MAX_MEMBER_NAME_BYTES || name.contains('#'))
        {
            return Err((
                self.members.span(),
                format!("{invalid:?} is not a valid name: use 1 to 32 bytes without '#'"),
            ));
        }
        let drift = match &self.drift {
            Some(v) if !DRIFT_RANGE.contains(v.get_ref()) => {
                return Err((
                    v.span(),
                    "drift must be 0.0001 to 0.2: the maximum drift of a clock from true time".into(),
                ))
            }
            value => value.as_ref().map_or(DEFAULT_DRIFT, |v| *v.get_ref()),
        };
        Ok(Settings {
            probe_interval: span_or(&self.probe, PROBE_INTERVAL, "probe")?,
            lease_span: span_or(&self.span, LEASE_SPAN, "span")?,
            max_hold: span_or(&self.turn, MAX_HOLD, "turn")?,
            drift: (drift * ONE_IN_PPM) as u64,
            tasks: self.tasks.unwrap_or_else(|| vec![REBALANCE_TASK.into(), ACCOUNT_TASK.into()]),
            account_interval,
            name: self.name,
            listen: self.listen,
            key: self.key,
            zone: self.zone,
            region: self.region,
            voters: self.voters.into_inner(),
            members: self.members.into_inner(),
            folder: self.folder,
            fingerprint,
        })
    }
}
