//! The section `[group]`: who the balancers are that decide together, and how they find each other.

use super::spans::Span;
use crate::api::Micros;
use crate::group::{Settings, ACCOUNT_TASK, REBALANCE_TASK};
use serde::Deserialize;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::ops::Range;
use std::path::PathBuf;
use toml::Spanned;

/// As it is written.
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

/// Spans in microseconds: usual, least, most.
const PROBE: (u64, u64, u64) = (1_000_000, 100_000, 60_000_000);
const SPAN: (u64, u64, u64) = (6_000_000, 500_000, 600_000_000);
const TURN: (u64, u64, u64) = (30_000_000, 500_000, 86_400_000_000);

impl Table {
    /// Checked; what is wrong, where, and the mend.
    pub fn settings(self, print: u32, account: Micros) -> Result<Settings, (Range<usize>, String)> {
        let span =
            |told: &Option<Spanned<Span>>, (usual, least, most): (u64, u64, u64), name: &str| match told {
                Some(v) if !(least..=most).contains(&v.get_ref().0) => {
                    Err((v.span(), format!("{name} must be {} to {} ms", least / 1_000, most / 1_000)))
                }
                told => Ok(told.as_ref().map_or(usual, |v| v.get_ref().0)),
            };
        let voters = self.voters.get_ref();
        let members = self.members.get_ref();
        let mut once = voters.clone();
        once.sort();
        once.dedup();
        if !matches!(voters.len(), 3 | 5) || once.len() != voters.len() {
            return Err((
                self.voters.span(),
                "name three or five voters, each once, in different zones".into(),
            ));
        }
        if let Some(lost) = voters.iter().find(|name| !members.contains_key(*name)) {
            return Err((
                self.members.span(),
                format!("the voter {lost:?} has no address here: add it to [group.members]"),
            ));
        }
        if let Some(long) =
            members.keys().find(|name| name.is_empty() || name.len() > 32 || name.contains('#'))
        {
            return Err((self.members.span(), format!("{long:?} is no name: 1 to 32 bytes without '#'")));
        }
        let drift = match &self.drift {
            Some(v) if !(0.000_1..=0.2).contains(v.get_ref()) => {
                return Err((
                    v.span(),
                    "drift must be 0.0001 to 0.2: how far a clock may run from true time".into(),
                ))
            }
            told => told.as_ref().map_or(0.01, |v| *v.get_ref()),
        };
        Ok(Settings {
            probe_interval: span(&self.probe, PROBE, "probe")?,
            lease_span: span(&self.span, SPAN, "span")?,
            max_hold: span(&self.turn, TURN, "turn")?,
            drift: (drift * 1e6) as u64,
            tasks: self.tasks.unwrap_or_else(|| vec![REBALANCE_TASK.into(), ACCOUNT_TASK.into()]),
            account_interval: account,
            name: self.name,
            listen: self.listen,
            key: self.key,
            zone: self.zone,
            region: self.region,
            voters: self.voters.into_inner(),
            members: self.members.into_inner(),
            folder: self.folder,
            fingerprint: print,
        })
    }
}
