//! The operators' door: one line in, one answer, the end. It has a lobby of its own, so whoever sits there and says
//! nothing takes nothing from clients, and leaves when another wants the seat.

use super::buffer::trimmed;
use super::links::Link;
use super::lobby::Lobby;
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

/// Connections that the door holds at most.
pub const SEATS: usize = 24;
/// Callers may be silent for seconds and ask then; a whole call is answered at once.
const PATIENCE: Micros = 10_000_000;

/// What can be asked.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Call {
    /// Whether this process is ready to serve.
    Health,
    /// All figures.
    Dump,
    /// Drain.
    Leave,
    /// Back to work.
    Join,
    /// The group, as this process sees it.
    Group,
    /// Another voter is to lead.
    StepDown,
    /// Tasks held here are to be given back.
    GiveUp,
    /// The zones by the fleet's plan.
    Zones,
    /// Something is wanted of a zone, or nothing any more, for so many milliseconds.
    Zone(String, Option<OrderKind>, u64),
}

/// An operator's word on a zone counts for so long where nothing else is said.
const LASTS: u64 = 3_600;

/// `EVACUATE zone seconds [lasts]`, `HOLD zone [lasts]`, `RELEASE zone`, in seconds.
fn zone(input: &mut &[u8]) -> ModalResult<Call> {
    let name = || {
        let name = (b' ', take_while(1..=64, |c: u8| c.is_ascii_graphic()));
        name.map(|(_, name): (u8, &[u8])| String::from_utf8_lossy(name).into_owned())
    };
    let seconds = || preceded(b' ', dec_uint::<_, u32, _>).map(u64::from);
    let lasts = || opt(seconds()).map(|lasts| 1_000 * lasts.unwrap_or(LASTS));
    alt((
        (preceded("EVACUATE", name()), seconds(), lasts())
            .map(|(zone, over, lasts)| Call::Zone(zone, Some(OrderKind::Evacuate(1_000 * over)), lasts)),
        (preceded("HOLD", name()), lasts())
            .map(|(zone, lasts)| Call::Zone(zone, Some(OrderKind::Hold), lasts)),
        preceded("RELEASE", name()).map(|zone| Call::Zone(zone, None, 0)),
    ))
    .parse_next(input)
}

fn call(input: &mut &[u8]) -> ModalResult<Call> {
    let words = alt((
        "HEALTH".value(Call::Health),
        "DUMP".value(Call::Dump),
        "LEAVE".value(Call::Leave),
        "JOIN".value(Call::Join),
        "GROUP".value(Call::Group),
        "STEPDOWN".value(Call::StepDown),
        "GIVEUP".value(Call::GiveUp),
        "ZONES".value(Call::Zones),
        zone,
    ));
    terminated(words, eof).parse_next(input)
}

impl Call {
    /// Reads a line without its end.
    pub fn parse(line: &[u8]) -> Option<Call> {
        call.parse(line).ok()
    }
}

/// The door.
pub struct Door {
    operations: Operations,
    group: Option<Rc<StatusBoard>>,
    lobby: Rc<Lobby>,
}

impl Door {
    /// A door to these operations, with seats of its own.
    pub fn new(operations: Operations, group: Option<Rc<StatusBoard>>, lobby: Rc<Lobby>) -> Rc<Door> {
        Rc::new(Door { operations, group, lobby })
    }

    fn zones(&self) -> Option<String> {
        self.group.as_ref()?.zone_status()
    }

    fn order(&self, order: OperatorCommand) -> String {
        if let Some(group) = &self.group {
            group.send(order);
        }
        "200 ordered\r\n".into()
    }

    fn answer(&self, call: Option<Call>) -> String {
        match call {
            Some(Call::Health) if self.operations.ready() => "200 ready\r\n".into(),
            Some(Call::Health) => "400 not ready\r\n".into(),
            Some(Call::Dump) => format!("200 figures\r\n{}EOF\r\n", self.operations.metrics()),
            Some(Call::Leave) => {
                self.operations.leave();
                "200 draining\r\n".into()
            }
            Some(Call::Join) => match self.operations.join() {
                Ok(()) => "200 ready\r\n".into(),
                Err(_) => "400 the program is ending\r\n".into(),
            },
            Some(Call::Group | Call::StepDown | Call::GiveUp | Call::Zones | Call::Zone(..)) if self.group.is_none() => {
                "400 no group here: see [group] in docs/group.md\r\n".into()
            }
            Some(Call::Group) => {
                let text = self.group.as_ref().map(|group| group.status()).unwrap_or_default();
                format!("200 group\r\n{text}EOF\r\n")
            }
            Some(Call::StepDown) => self.order(OperatorCommand::StepDown),
            Some(Call::GiveUp) => self.order(OperatorCommand::ReleaseTasks),
            Some(Call::Zones | Call::Zone(..)) if self.zones().is_none() => {
                "400 no plan for zones here: see [failover] in docs/failover.md\r\n".into()
            }
            Some(Call::Zones) => format!("200 zones\r\n{}EOF\r\n", self.zones().unwrap_or_default()),
            Some(Call::Zone(zone, wish, lasts)) => self.order(OperatorCommand::Zone(zone, wish, lasts)),
            None => "400 unknown call: HEALTH, DUMP, LEAVE, JOIN, GROUP, STEPDOWN, GIVEUP, ZONES, EVACUATE, HOLD or RELEASE\r\n".into(),
        }
    }
}

/// Serves one caller from its line to its end.
pub async fn serve(door: Rc<Door>, stream: TcpStream, from: SocketAddr) {
    let mut link = Link::new(stream);
    let answer = {
        let seat = door.lobby.seat();
        let line = tokio::select! {
            biased;
            line = link.line() => line,
            _ = seat.over(door.lobby.broker().now() + PATIENCE) => return,
        };
        let call = match line {
            // One line a connection: whoever sends more has not understood it, and nothing is done.
            Ok(n) if n == link.buffer.data().len() => Call::parse(trimmed(link.buffer.data())),
            Ok(_) => None,
            Err(_) if link.buffer.data().is_empty() => return,
            Err(_) => None,
        };
        if call.is_none() {
            let said = String::from_utf8_lossy(link.buffer.data()).into_owned();
            tracing::warn!("operator {from}: no call that is known in {said:.40?}");
        }
        door.answer(call)
    };
    let written = async {
        if link.write(answer.as_bytes()).await.is_ok() {
            relay::close(&door.lobby, &mut link).await;
        }
    };
    tokio::select! {
        () = written => {}
        () = door.lobby.broker().sleep(PATIENCE) => {}
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use proptest::prelude::*;

    #[test]
    fn the_words_are_read_and_nothing_else() {
        assert_eq!(Call::parse(b"HEALTH"), Some(Call::Health));
        assert_eq!(Call::parse(b"DUMP"), Some(Call::Dump));
        assert_eq!(Call::parse(b"LEAVE"), Some(Call::Leave));
        assert_eq!(Call::parse(b"JOIN"), Some(Call::Join));
        for bad in
            [&b""[..], b"health", b"HEALTH ", b" HEALTH", b"HEALTHY", b"\xff\xfe", b"LEAVE JOIN", b"\0"]
        {
            assert_eq!(Call::parse(bad), None, "{bad:?}");
        }
    }

    proptest! {
        /// Guards against a panic, and against anything but the words themselves taking a balancer out.
        #[test]
        fn no_other_bytes_mean_anything(line in proptest::collection::vec(any::<u8>(), 0..40)) {
            let known: [&[u8]; 7] = [b"HEALTH", b"DUMP", b"LEAVE", b"JOIN", b"GROUP", b"STEPDOWN", b"GIVEUP"];
            prop_assert_eq!(Call::parse(&line).is_some(), known.contains(&&line[..]));
        }
    }
}
