//! `oakdeal zones`: shows the fleet's plan for zones, sends operators' orders on zones, and replays a log to the planner.

use super::group::send_admin_command;
use crate::api::Micros;
use crate::config::Config;
use crate::failover::evidence::Digest;
use crate::failover::plan::{Plan, Planner};
use crate::group::task::EVIDENCE_TARGET;
use crate::operator::Operator;
use crate::serve::classes_by_worth;
use clap::Subcommand;
use std::collections::BTreeMap;
use std::io::{BufRead, BufReader};
use std::net::SocketAddr;
use std::path::{Path, PathBuf};

/// Sub-commands of `oakdeal zones`.
#[derive(Subcommand, Debug)]
pub enum Zones {
    /// Shows state, reason, capacity and shares of each zone; on the planning balancer also which plan each balancer follows
    Show {
        /// Admin address of a balancer
        admin: SocketAddr,
    },
    /// Moves all traffic out of a zone; overrides the planner until it expires or is released
    Evacuate {
        /// Admin address of any balancer of the group
        admin: SocketAddr,
        /// Name of the zone
        zone: String,
        /// Time within which the traffic is moved, such as `60s`
        #[arg(long, default_value = "60s")]
        over: humantime::Duration,
        /// Time until the order expires
        #[arg(long, default_value = "1h")]
        lasts: humantime::Duration,
    },
    /// Keeps a zone in its present state, whatever is observed, until the order expires or is released
    Hold {
        /// Admin address of any balancer of the group
        admin: SocketAddr,
        /// Name of the zone
        zone: String,
        /// Time until the order expires
        #[arg(long, default_value = "1h")]
        lasts: humantime::Duration,
    },
    /// Cancels an operator's order on a zone
    Release {
        /// Admin address of any balancer of the group
        admin: SocketAddr,
        /// Name of the zone
        zone: String,
    },
    /// Prints the plans that the planner would have made from a log
    Plan {
        /// Path of a log in JSON lines with the target oakdeal::evidence at debug
        #[arg(long, value_name = "RECORD")]
        what_if: PathBuf,
        /// Path of the operator's file whose [failover] is used
        #[arg(long, env = "OAKDEAL_OPERATOR", value_name = "FILE")]
        operator: PathBuf,
        /// Path of the platform configuration, for zones and classes
        #[arg(long, env = "LB_CONFIG", value_name = "FILE")]
        config: PathBuf,
    },
}

/// Runs a sub-command.
pub fn run(command: Zones) -> Result<(), String> {
    let seconds = |span: humantime::Duration| span.as_secs().max(1);
    match command {
        Zones::Show { admin } => send_admin_command(admin, "ZONES"),
        Zones::Evacuate { admin, zone, over, lasts } => {
            send_admin_command(admin, &format!("EVACUATE {zone} {} {}", seconds(over), seconds(lasts)))
        }
        Zones::Hold { admin, zone, lasts } => {
            send_admin_command(admin, &format!("HOLD {zone} {}", seconds(lasts)))
        }
        Zones::Release { admin, zone } => send_admin_command(admin, &format!("RELEASE {zone}")),
        Zones::Plan { what_if: log, operator, config } => replay(&log, &operator, &config),
    }
}

/// Interval at which the planner runs during a replay, in microseconds.
const REPLAY_STEP: Micros = 250_000;

/// Replays the digests of a log to the planner and prints each plan with a new serial number.
fn replay(log: &Path, operator: &Path, config: &Path) -> Result<(), String> {
    let failover = Operator::read(operator, true).map_err(|e| e.to_string())?.failover;
    let failover = failover.ok_or_else(|| format!("{}: has no [failover]: add it", operator.display()))?;
    let (settings, names) = Config::read(config)?.0.settings.translate().map_err(|e| e.to_string())?;
    let worths: Vec<f64> = settings.classes.iter().map(|c| c.worth).collect();
    let classes = classes_by_worth(names.classes(), &worths);
    let mut planner = Planner::new(failover.clone(), names.zones().to_vec(), classes);
    let file = std::fs::File::open(log).map_err(|e| format!("cannot read {}: {e}", log.display()))?;
    let (mut plan, mut now, mut first, mut digests) = (None::<Plan>, None::<u64>, 0, 0);
    let advance = |planner: &mut Planner, plan: &mut Option<Plan>, now: u64, first: u64| {
        let Some(next) = planner.advance(now, plan.as_ref(), &BTreeMap::new()).0 else { return };
        if plan.as_ref().is_none_or(|old| old.serial != next.serial) {
            for (name, zone) in &next.zones {
                let at = (now - first) as f64 / 1e6;
                println!(
                    "{at:8.1} s plan {} zone {name} {} room={} why={:?}",
                    next.serial,
                    zone.state.name(),
                    zone.capacity,
                    zone.reason
                );
            }
        }
        *plan = Some(next);
    };
    for line in BufReader::new(file).lines().map_while(Result::ok) {
        let Ok(line) = serde_json::from_str::<serde_json::Value>(&line) else { continue };
        if line["target"] != EVIDENCE_TARGET {
            continue;
        }
        let digest =
            line["fields"]["digest"].as_str().and_then(|text| serde_json::from_str::<Digest>(text).ok());
        let (Some(mut digest), Some(us)) = (digest, line["fields"]["us"].as_u64()) else { continue };
        // In the replay every balancer follows the replayed plan.
        digest.follows = plan.as_ref().map(|plan| plan.serial);
        first = if now.is_none() { us } else { first };
        let mut at = now.unwrap_or(us);
        while at + REPLAY_STEP <= us {
            at += REPLAY_STEP;
            advance(&mut planner, &mut plan, at, first);
        }
        now = Some(at.max(now.unwrap_or(us)));
        planner.receive_digest(us, digest);
        digests += 1;
    }
    match digests {
        0 => Err(format!(
            "{}: contains no digest: log oakdeal::evidence at debug in JSON lines",
            log.display()
        )),
        _ => Ok(()),
    }
}
