//! `oakdeal group`: creates a voter's folder, and shows or commands the group of a running process.

use crate::group::folder::{StoredVoter, VoterFolder};
use crate::operator::Operator;
use clap::Subcommand;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::path::PathBuf;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

/// Maximum time to connect to an admin address.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(5);
/// Maximum time to wait for the next bytes of an answer.
const READ_TIMEOUT: Duration = Duration::from_secs(10);

/// Sub-commands of `oakdeal group`.
#[derive(Subcommand, Debug)]
pub enum Group {
    /// Creates a voter's folder, once, when the group is founded
    Found {
        /// Path of the operator's file
        #[arg(long, env = "OAKDEAL_OPERATOR", value_name = "FILE")]
        operator: PathBuf,
        /// Name of the voter, unless the file has its `name`
        #[arg(long, env = "LB_NAME")]
        name: Option<String>,
        /// Join an existing group in the place of this voter; the same name where its own folder was lost
        #[arg(long, value_name = "VOTER")]
        instead: Option<String>,
    },
    /// Shows members, leader, record and leases as seen by the process at this admin address
    Show {
        /// Admin address of the process
        admin: SocketAddr,
    },
    /// Transfers leadership to another voter, if the process at this admin address leads
    StepDown {
        /// Admin address of the process
        admin: SocketAddr,
    },
    /// Makes the process at this admin address release the tasks that it holds
    GiveUp {
        /// Admin address of the process
        admin: SocketAddr,
    },
}

/// Runs a sub-command.
pub fn run(command: Group) -> Result<(), String> {
    match command {
        Group::Found { operator: path, name, instead } => {
            let operator = Operator::read(&path, true).map_err(|e| e.to_string())?;
            let error = |what: &str| format!("{}: {what}", path.display());
            let group =
                operator.group.ok_or_else(|| error("has no [group]: add it, docs/group.md shows how"))?;
            let name = group.name.or(name).ok_or("the voter has no name: give --name")?;
            if !group.voters.contains(&name) {
                return Err(error(&format!(
                    "{name:?} is not a voter: name one of {}",
                    group.voters.join(", ")
                )));
            }
            let folder = group
                .folder
                .ok_or_else(|| error("has no `folder` in [group]: add the folder of the voter's storage"))?;
            let unique_id = SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |at| at.as_nanos() as u64);
            let kept = match &instead {
                Some(instead) => StoredVoter::for_replacement(&name, instead, unique_id),
                None => StoredVoter::for_new_group(&name, &group.voters),
            };
            VoterFolder::create(&folder, &name, &kept)?;
            println!("{}: created the storage of {name}, empty", folder.display());
            Ok(())
        }
        Group::Show { admin } => send_admin_command(admin, "GROUP"),
        Group::StepDown { admin } => send_admin_command(admin, "STEPDOWN"),
        Group::GiveUp { admin } => send_admin_command(admin, "GIVEUP"),
    }
}

/// Sends a command to an admin address and prints the lines of its answer.
pub fn send_admin_command(admin: SocketAddr, command: &str) -> Result<(), String> {
    let error = |e: std::io::Error| format!("{admin}: {e}");
    let mut connection = TcpStream::connect_timeout(&admin, CONNECT_TIMEOUT).map_err(error)?;
    connection.set_read_timeout(Some(READ_TIMEOUT)).map_err(error)?;
    connection.write_all(format!("{command}\r\n").as_bytes()).map_err(error)?;
    let mut text = String::new();
    connection.read_to_string(&mut text).map_err(error)?;
    let (first, rest) = text.split_once("\r\n").unwrap_or((&text, ""));
    if !first.starts_with("200 ") {
        return Err(format!("{admin}: {first}"));
    }
    rest.lines().filter(|line| *line != "EOF").for_each(|line| println!("{line}"));
    Ok(())
}
