//! `oakdeal group`: a voter's folder, and what a running process shows and is told.

use crate::group::folder::{StoredVoter, VoterFolder};
use crate::operator::Operator;
use clap::Subcommand;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::path::PathBuf;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

/// What can be done.
#[derive(Subcommand, Debug)]
pub enum Group {
    /// Makes a voter's folder, once, when the group is founded
    Found {
        /// The operator's file
        #[arg(long, env = "OAKDEAL_OPERATOR", value_name = "FILE")]
        operator: PathBuf,
        /// The voter, unless the file says its `name`
        #[arg(long, env = "LB_NAME")]
        name: Option<String>,
        /// The group is there already: it takes the place of this voter, of its own name where its folder was lost
        #[arg(long, value_name = "VOTER")]
        instead: Option<String>,
    },
    /// Shows members, leader, record and leases as the process at this door sees them
    Show {
        /// Its admin address
        admin: SocketAddr,
    },
    /// Has another voter lead, if the one at this door does
    StepDown {
        /// Its admin address
        admin: SocketAddr,
    },
    /// Has the process at this door give back the tasks that it holds
    GiveUp {
        /// Its admin address
        admin: SocketAddr,
    },
}

/// Does it.
pub fn run(call: Group) -> Result<(), String> {
    match call {
        Group::Found { operator: path, name, instead } => {
            let operator = Operator::read(&path, true).map_err(|e| e.to_string())?;
            let said = |what: &str| format!("{}: {what}", path.display());
            let group =
                operator.group.ok_or_else(|| said("has no [group]: add it, docs/group.md shows how"))?;
            let name = group.name.or(name).ok_or("whose folder? give --name")?;
            if !group.voters.contains(&name) {
                return Err(said(&format!("{name:?} is no voter: name one of {}", group.voters.join(", "))));
            }
            let folder = group
                .folder
                .ok_or_else(|| said("has no `folder` in [group]: add where the voter keeps its memory"))?;
            let drawn = SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |at| at.as_nanos() as u64);
            let kept = match &instead {
                Some(instead) => StoredVoter::for_replacement(&name, instead, drawn),
                None => StoredVoter::for_new_group(&name, &group.voters),
            };
            VoterFolder::create(&folder, &name, &kept)?;
            println!("{}: the memory of {name}, empty", folder.display());
            Ok(())
        }
        Group::Show { admin } => ask(admin, "GROUP"),
        Group::StepDown { admin } => ask(admin, "STEPDOWN"),
        Group::GiveUp { admin } => ask(admin, "GIVEUP"),
    }
}

/// Says a line at a door, and prints what it answers.
pub fn ask(admin: SocketAddr, word: &str) -> Result<(), String> {
    let told = |e: std::io::Error| format!("{admin}: {e}");
    let mut door = TcpStream::connect_timeout(&admin, Duration::from_secs(5)).map_err(told)?;
    door.set_read_timeout(Some(Duration::from_secs(10))).map_err(told)?;
    door.write_all(format!("{word}\r\n").as_bytes()).map_err(told)?;
    let mut text = String::new();
    door.read_to_string(&mut text).map_err(told)?;
    let (first, rest) = text.split_once("\r\n").unwrap_or((&text, ""));
    if !first.starts_with("200 ") {
        return Err(format!("{admin}: {first}"));
    }
    rest.lines().filter(|line| *line != "EOF").for_each(|line| println!("{line}"));
    Ok(())
}
