//! `oakdeal zones`: what the fleet's plan for zones says, an operator's word on a zone, and what the planner would have done.

use super::group::send_admin_command;
use crate::config::Config;
use crate::failover::evidence::Digest;
use crate::failover::plan::{Plan, Planner};
use crate::group::task::EVIDENCE_TARGET;
use crate::operator::Operator;
use crate::serve::worthiest;
use clap::Subcommand;
use std::collections::BTreeMap;
use std::io::{BufRead, BufReader};
use std::net::SocketAddr;
use std::path::{Path, PathBuf};

/// What can be done.
#[derive(Subcommand, Debug)]
pub enum Zones {
    /// Shows state, reason, room and shares of each zone; at whoever makes the plan also who follows which
    Show {
        /// The admin address of a balancer
        admin: SocketAddr,
    },
    /// Empties a zone within a time; it goes before the planner until it ends or is released
    Evacuate {
        /// The admin address of any balancer of the group
        admin: SocketAddr,
        /// The zone
        zone: String,
        /// Within so long, as in `60s`
        #[arg(long, default_value = "60s")]
        over: humantime::Duration,
        /// It counts for so long
        #[arg(long, default_value = "1h")]
        lasts: humantime::Duration,
    },
    /// Keeps a zone as it is, whatever is seen, until that ends or is released
    Hold {
        /// The admin address of any balancer of the group
        admin: SocketAddr,
        /// The zone
        zone: String,
        /// It counts for so long
        #[arg(long, default_value = "1h")]
        lasts: humantime::Duration,
    },
    /// Takes back what an operator wanted of a zone
    Release {
        /// The admin address of any balancer of the group
        admin: SocketAddr,
        /// The zone
        zone: String,
    },
    /// Prints what the planner would have done on a recorded day
    Plan {
        /// A log in JSON lines with the target oakdeal::evidence at debug
        #[arg(long, value_name = "RECORD")]
        what_if: PathBuf,
        /// The operator's file whose [failover] counts
        #[arg(long, env = "OAKDEAL_OPERATOR", value_name = "FILE")]
        operator: PathBuf,
        /// The platform configuration, for zones and classes
        #[arg(long, env = "LB_CONFIG", value_name = "FILE")]
        config: PathBuf,
    },
}

/// Does it.
pub fn run(call: Zones) -> Result<(), String> {
    let seconds = |span: humantime::Duration| span.as_secs().max(1);
    match call {
        Zones::Show { admin } => send_admin_command(admin, "ZONES"),
        Zones::Evacuate { admin, zone, over, lasts } => {
            send_admin_command(admin, &format!("EVACUATE {zone} {} {}", seconds(over), seconds(lasts)))
        }
        Zones::Hold { admin, zone, lasts } => {
            send_admin_command(admin, &format!("HOLD {zone} {}", seconds(lasts)))
        }
        Zones::Release { admin, zone } => send_admin_command(admin, &format!("RELEASE {zone}")),
        Zones::Plan { what_if: record, operator, config } => what_if(&record, &operator, &config),
    }
}

/// Plays a record of digests to the planner; each plan that is another one is printed.
fn what_if(record: &Path, operator: &Path, config: &Path) -> Result<(), String> {
    let terms = Operator::read(operator, true).map_err(|e| e.to_string())?.failover;
    let terms = terms.ok_or_else(|| format!("{}: has no [failover]: add it", operator.display()))?;
    let (settings, names) = Config::read(config)?.0.settings.translate().map_err(|e| e.to_string())?;
    let worths: Vec<f64> = settings.classes.iter().map(|c| c.worth).collect();
    let classes = worthiest(names.classes(), &worths);
    let mut planner = Planner::new(terms.clone(), names.zones().to_vec(), classes);
    let file = std::fs::File::open(record).map_err(|e| format!("cannot read {}: {e}", record.display()))?;
    let (mut plan, mut now, mut first, mut seen) = (None::<Plan>, None::<u64>, 0, 0);
    let turn = |planner: &mut Planner, plan: &mut Option<Plan>, now: u64, first: u64| {
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
        // All follow what is planned here.
        digest.follows = plan.as_ref().map(|plan| plan.serial);
        first = if now.is_none() { us } else { first };
        let mut at = now.unwrap_or(us);
        while at + 250_000 <= us {
            at += 250_000;
            turn(&mut planner, &mut plan, at, first);
        }
        now = Some(at.max(now.unwrap_or(us)));
        planner.receive_digest(us, digest);
        seen += 1;
    }
    match seen {
        0 => Err(format!(
            "{}: no digest in it: log oakdeal::evidence at debug in JSON lines",
            record.display()
        )),
        _ => Ok(()),
    }
}
