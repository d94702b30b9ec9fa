//! The operators' endpoint: each connection carries one command line and its answer, and is then closed. It has its own
//! bounded set of idle connections, so silent callers take nothing from clients, and a new caller evicts the oldest.

use super::buffer::strip_line_end;
use super::idle::IdleConnections;
use super::links::Link;
use super::relay;
use crate::api::Micros;
use crate::broker::operations::Operations;
use crate::failover::plan::OrderKind;
use crate::group::task::{OperatorCommand, StatusBoard};
use std::net::SocketAddr;
use std::rc::Rc;
use tokio::net::TcpStream;
use winnow::ascii::dec_uint;
use winnow::combinator::{alt, eof, opt, preceded, terminated};
use winnow::token::take_while;
use winnow::{ModalResult, Parser};

/// Largest number of operators' connections held at once.
pub const MAX_CONNECTIONS: usize = 24;
/// Time allowed for a command to arrive, and again for its answer to be taken, in microseconds. Operators' tools may
/// connect seconds before they send the command.
const COMMAND_TIMEOUT: Micros = 10_000_000;

/// A command of the operators' endpoint.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum AdminCommand {
    /// Reports whether this process is ready to serve.
    Health,
    /// Reports all metrics.
    Dump,
    /// Starts to drain this balancer.
    Leave,
    /// Ends the drain.
    Join,
    /// Reports the state of the group as this process sees it.
    Group,
    /// Makes another voter the leader.
    StepDown,
    /// Releases the tasks that this process holds.
    GiveUp,
    /// Reports the zones according to the fleet's plan.
    Zones,
    /// Orders an evacuation or a hold of a zone for a time in milliseconds; `None` withdraws the order.
    Zone(String, Option<OrderKind>, u64),
}

/// Duration of an order for a zone that states none, in seconds.
const DEFAULT_ORDER_SECONDS: u64 = 3_600;

/// Longest name of a zone in a command, in bytes.
const MAX_ZONE_NAME_BYTES: usize = 64;

/// Parses `EVACUATE zone seconds [lasts]`, `HOLD zone [lasts]` and `RELEASE zone`, with times in seconds.
fn zone_order(input: &mut &[u8]) -> ModalResult<AdminCommand> {
    let name = || {
        let name = (b' ', take_while(1..=MAX_ZONE_NAME_BYTES, |c: u8| c.is_ascii_graphic()));
        name.map(|(_, name): (u8, &[u8])| String::from_utf8_lossy(name).into_owned())
    };
    let seconds = || preceded(b' ', dec_uint::<_, u32, _>).map(u64::from);
    let lasts_ms = || opt(seconds()).map(|lasts| 1_000 * lasts.unwrap_or(DEFAULT_ORDER_SECONDS));
    alt((
        (preceded("EVACUATE", name()), seconds(), lasts_ms()).map(|(zone, over_seconds, lasts_ms)| {
            AdminCommand::Zone(zone, Some(OrderKind::Evacuate(1_000 * over_seconds)), lasts_ms)
        }),
        (preceded("HOLD", name()), lasts_ms())
            .map(|(zone, lasts_ms)| AdminCommand::Zone(zone, Some(OrderKind::Hold), lasts_ms)),
        preceded("RELEASE", name()).map(|zone| AdminCommand::Zone(zone, None, 0)),
    ))
    .parse_next(input)
}

fn admin_command(input: &mut &[u8]) -> ModalResult<AdminCommand> {
    let command = alt((
        "HEALTH".value(AdminCommand::Health),
        "DUMP".value(AdminCommand::Dump),
        "LEAVE".value(AdminCommand::Leave),
        "JOIN".value(AdminCommand::Join),
        "GROUP".value(AdminCommand::Group),
        "STEPDOWN".value(AdminCommand::StepDown),
        "GIVEUP".value(AdminCommand::GiveUp),
        "ZONES".value(AdminCommand::Zones),
        zone_order,
    ));
    terminated(command, eof).parse_next(input)
}

impl AdminCommand {
    /// Parses a line without its line end; returns none for anything but a command.
    pub fn parse(line: &[u8]) -> Option<AdminCommand> {
        admin_command.parse(line).ok()
    }
}

/// Answers operators' commands.
pub struct AdminServer {
    operations: Operations,
    group: Option<Rc<StatusBoard>>,
    idle: Rc<IdleConnections>,
}

impl AdminServer {
    /// Returns a server for `operations`; `idle` must not be shared with clients.
    pub fn new(
        operations: Operations,
        group: Option<Rc<StatusBoard>>,
        idle: Rc<IdleConnections>,
    ) -> Rc<AdminServer> {
        Rc::new(AdminServer { operations, group, idle })
    }

    fn zone_status(&self) -> Option<String> {
        self.group.as_ref()?.zone_status()
    }

    fn send_to_group(&self, command: OperatorCommand) -> String {
        if let Some(group) = &self.group {
            group.send(command);
        }
        "200 ordered\r\n".into()
    }

    fn answer(&self, command: Option<AdminCommand>) -> String {
        match command {
            Some(AdminCommand::Health) if self.operations.ready() => "200 ready\r\n".into(),
            Some(AdminCommand::Health) => "400 not ready\r\n".into(),
            Some(AdminCommand::Dump) => format!("200 figures\r\n{}EOF\r\n", self.operations.metrics()),
            Some(AdminCommand::Leave) => {
                self.operations.leave();
                "200 draining\r\n".into()
            }
            Some(AdminCommand::Join) => match self.operations.join() {
                Ok(()) => "200 ready\r\n".into(),
                Err(_) => "400 the program is ending\r\n".into(),
            },
            Some(
                AdminCommand::Group
                | AdminCommand::StepDown
                | AdminCommand::GiveUp
                | AdminCommand::Zones
                | AdminCommand::Zone(..),
            ) if self.group.is_none() => {
                "400 no group here: see [group] in docs/group.md\r\n".into()
            }
            Some(AdminCommand::Group) => {
                let text = self.group.as_ref().map(|group| group.status()).unwrap_or_default();
                format!("200 group\r\n{text}EOF\r\n")
            }
            Some(AdminCommand::StepDown) => self.send_to_group(OperatorCommand::StepDown),
            Some(AdminCommand::GiveUp) => self.send_to_group(OperatorCommand::ReleaseTasks),
            Some(AdminCommand::Zones | AdminCommand::Zone(..)) if self.zone_status().is_none() => {
                "400 no plan for zones here: see [failover] in docs/failover.md\r\n".into()
            }
            Some(AdminCommand::Zones) => {
                format!("200 zones\r\n{}EOF\r\n", self.zone_status().unwrap_or_default())
            }
            Some(AdminCommand::Zone(zone, order, lasts_ms)) => {
                self.send_to_group(OperatorCommand::Zone(zone, order, lasts_ms))
            }
            None => "400 unknown call: HEALTH, DUMP, LEAVE, JOIN, GROUP, STEPDOWN, GIVEUP, ZONES, EVACUATE, HOLD or RELEASE\r\n".into(),
        }
    }
}

/// Returns the command of a received line with this length. One line per connection: more than that is a misuse of the
/// protocol, and nothing is carried out.
fn received_command(link: &Link, line_len: Option<usize>) -> Option<AdminCommand> {
    line_len.filter(|&n| n == link.buffer.data().len())?;
    AdminCommand::parse(strip_line_end(link.buffer.data()))
}

/// Serves one operator connection until it is closed.
pub async fn serve(server: Rc<AdminServer>, stream: TcpStream, from: SocketAddr) {
    let mut link = Link::new(stream);
    let answer = {
        let slot = server.idle.acquire_slot();
        let deadline = server.idle.broker().now() + COMMAND_TIMEOUT;
        match slot.receive(deadline, link.read_line()).await {
            Ok(Err(_)) if link.buffer.data().is_empty() => return,
            Ok(line) => {
                let command = received_command(&link, line.ok());
                if command.is_none() {
                    let received = String::from_utf8_lossy(link.buffer.data()).into_owned();
                    tracing::warn!("operator {from}: not a known command: {received:.40?}");
                }
                server.answer(command)
            }
            // The call may be on its way at this moment: it is answered, and not carried out.
            Err(_) => "400 no call in time: connect again\r\n".into(),
        }
    };
    let written = async {
        if link.write_all(answer.as_bytes()).await.is_ok() {
            relay::close_gracefully(&server.idle, &mut link).await;
        }
    };
    tokio::select! {
        () = written => {}
        () = server.idle.broker().sleep(COMMAND_TIMEOUT) => {}
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use proptest::prelude::*;

    #[test]
    fn commands_are_parsed_and_near_misses_are_rejected() {
        assert_eq!(AdminCommand::parse(b"HEALTH"), Some(AdminCommand::Health));
        assert_eq!(AdminCommand::parse(b"DUMP"), Some(AdminCommand::Dump));
        assert_eq!(AdminCommand::parse(b"LEAVE"), Some(AdminCommand::Leave));
        assert_eq!(AdminCommand::parse(b"JOIN"), Some(AdminCommand::Join));
        for bad in
            [&b""[..], b"health", b"HEALTH ", b" HEALTH", b"HEALTHY", b"\xff\xfe", b"LEAVE JOIN", b"\0"]
        {
            assert_eq!(AdminCommand::parse(bad), None, "{bad:?}");
        }
    }

    proptest! {
        /// Guards against a panic on arbitrary bytes, and against anything but an exact command draining a balancer.
        #[test]
        fn arbitrary_bytes_are_no_command_unless_equal_to_one(line in proptest::collection::vec(any::<u8>(), 0..40)) {
            let known: [&[u8]; 7] = [b"HEALTH", b"DUMP", b"LEAVE", b"JOIN", b"GROUP", b"STEPDOWN", b"GIVEUP"];
            prop_assert_eq!(AdminCommand::parse(&line).is_some(), known.contains(&&line[..]));
        }
    }
}
