//! Group membership by the SWIM protocol (the foca crate), as a driver without I/O: its inputs are datagrams and the time, its
//! outputs datagrams to send and membership events.
//!
//! Guarantees that a name identifies one member, and that of two processes with the same name the one started later counts; that
//! a member which is declared down by mistake rejoins with a higher renewal count; and that the configured address of a name
//! takes precedence over the one that its member announces. Does not guarantee that all processes see the same members at the
//! same moment: gossip is informative, decisions rest on the replicated record ([`crate::group`]).

pub mod seal;

use crate::api::Micros;
use foca::{Config, Foca, Identity, Notification, PeriodicParams, PostcardCodec, Runtime, Timer};
use rand_chacha::rand_core::SeedableRng;
use rand_chacha::ChaCha8Rng;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::num::{NonZeroU8, NonZeroUsize};
use std::time::Duration;

/// A member as it describes itself to the others.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Member {
    /// Unique name of the member.
    pub name: String,
    /// The address that it announces.
    pub address: SocketAddr,
    /// Start of its process, in Unix milliseconds.
    pub started: u64,
    /// Number of times it has renewed its identity since `started`.
    pub renewed: u32,
    /// Zone of the member.
    pub zone: String,
    /// Region of the member.
    pub region: String,
    /// Version of the program.
    pub version: String,
    /// Fingerprint of the operator's file.
    pub settings: u32,
    /// Whether it is draining and accepts no new clients.
    pub drains: bool,
}

impl Identity for Member {
    type Addr = String;

    fn renew(&self) -> Option<Member> {
        Some(Member { renewed: self.renewed + 1, ..self.clone() })
    }

    fn addr(&self) -> String {
        self.name.clone()
    }

    fn win_addr_conflict(&self, other: &Member) -> bool {
        (self.started, self.renewed) > (other.started, other.renewed)
    }
}

/// A change of the membership.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum MemberEvent {
    /// The member with this name is up.
    Up(String),
    /// The member with this name has left, or no member gets an answer from it.
    Down(String),
}

/// Output of the protocol that has not been collected yet.
#[derive(Default)]
struct Outbox {
    datagrams: Vec<(Member, Vec<u8>)>,
    timers: Vec<(Duration, Timer<Member>)>,
    events: Vec<MemberEvent>,
}

impl Runtime<Member> for &mut Outbox {
    fn notify(&mut self, notification: Notification<'_, Member>) {
        match notification {
            Notification::MemberUp(member) => self.events.push(MemberEvent::Up(member.name.clone())),
            Notification::MemberDown(member) => self.events.push(MemberEvent::Down(member.name.clone())),
            _ => {}
        }
    }

    fn send_to(&mut self, to: Member, data: &[u8]) {
        self.datagrams.push((to, data.to_vec()));
    }

    fn submit_after(&mut self, event: Timer<Member>, after: Duration) {
        self.timers.push((after, event));
    }
}

/// The members of the group as this process sees them.
pub struct Peers {
    foca: Foca<Member, PostcardCodec, ChaCha8Rng, foca::NoCustomBroadcast>,
    outbox: Outbox,
    /// Timers by their time; the second part of the key distinguishes timers of the same time.
    timers: BTreeMap<(Micros, u64), Timer<Member>>,
    /// Number of timers set so far.
    timer_count: u64,
    /// Configured addresses of the other members, by name.
    addresses: BTreeMap<String, SocketAddr>,
    /// Time of the latest announcement to configured members that are not seen.
    last_announcement: Micros,
    probe_interval: Micros,
}

/// Minimum of every duration in the protocol's configuration, in microseconds.
const MIN_PROTOCOL_SPAN: Micros = 1_000;

/// Returns the protocol's configuration for a probe interval and a maximum packet size in bytes.
fn config(probe_interval: Micros, max_packet_bytes: usize) -> Config {
    let span = |us: Micros| Duration::from_micros(us.max(MIN_PROTOCOL_SPAN));
    let nonzero = |n: usize| NonZeroUsize::new(n).unwrap_or(NonZeroUsize::MIN);
    let every = |us: Micros, n: usize| Some(PeriodicParams { frequency: span(us), num_members: nonzero(n) });
    Config {
        probe_period: span(probe_interval),
        probe_rtt: span(probe_interval / 3),
        num_indirect_probes: nonzero(3),
        max_transmissions: NonZeroU8::new(8).unwrap_or(NonZeroU8::MIN),
        suspect_to_down_after: span(3 * probe_interval),
        // A restarted process has a later start time: it rejoins without waiting for the removal of its old entry.
        remove_down_after: Some(Duration::from_secs(3_600)),
        max_packet_size: nonzero(max_packet_bytes),
        notify_down_members: true,
        periodic_announce: every(10 * probe_interval, 2),
        // Lets the two sides of a partition that has healed rejoin.
        periodic_announce_to_down_members: every(3 * probe_interval, 2),
        periodic_gossip: every(probe_interval / 2, 3),
    }
}

impl Peers {
    /// Creates the driver of this process; no other member is known yet. `addresses` are the configured addresses by name,
    /// `probe_interval` is the time between two probes, `max_packet_bytes` the maximum size of a packet.
    pub fn new(
        local_member: Member,
        addresses: BTreeMap<String, SocketAddr>,
        probe_interval: Micros,
        max_packet_bytes: usize,
        seed: u64,
    ) -> Peers {
        let rng = ChaCha8Rng::seed_from_u64(seed);
        let foca = Foca::new(local_member, config(probe_interval, max_packet_bytes), rng, PostcardCodec);
        let (outbox, timers) = (Outbox::default(), BTreeMap::new());
        Peers { foca, outbox, timers, timer_count: 0, addresses, last_announcement: 0, probe_interval }
    }

    /// Returns the member that this process is.
    pub fn local_member(&self) -> &Member {
        self.foca.identity()
    }

    /// Returns all members that are up, this process included, sorted by name.
    pub fn members(&self) -> Vec<Member> {
        let others = self.foca.iter_members().map(|member| member.id().clone());
        let mut all: Vec<Member> = others.chain([self.local_member().clone()]).collect();
        all.sort_by(|a, b| a.name.cmp(&b.name));
        all
    }

    /// Returns the address at which this process reaches a member.
    pub fn address(&self, name: &str) -> Option<SocketAddr> {
        let announced = || self.foca.iter_members().find(|m| m.id().name == name).map(|m| m.id().address);
        self.addresses.get(name).copied().or_else(announced)
    }

    /// Schedules the timers that the protocol has requested.
    fn schedule_timers(&mut self, now: Micros) {
        for (after, timer) in std::mem::take(&mut self.outbox.timers) {
            self.timer_count += 1;
            self.timers.insert((now + after.as_micros() as Micros, self.timer_count), timer);
        }
    }

    /// Handles a received packet. One that cannot be decoded is an error and changes nothing.
    pub fn receive(&mut self, now: Micros, packet: &[u8]) -> Result<(), String> {
        let result = self.foca.handle_data(packet, &mut self.outbox).map_err(|e| e.to_string());
        self.schedule_timers(now);
        result
    }

    /// Runs the timers that are due, and announces this process to configured members that are not seen.
    pub fn tick(&mut self, now: Micros) {
        while let Some(first) = self.timers.first_entry().filter(|first| first.key().0 <= now) {
            let timer = first.remove();
            // Errors are ignored: the crate tolerates timers that are late or obsolete.
            let _ = self.foca.handle_timer(timer, &mut self.outbox);
            self.schedule_timers(now);
        }
        // Finds members at the start, and after a partition that lasted until down members were removed.
        if now >= self.last_announcement + 2 * self.probe_interval {
            self.last_announcement = now;
            let seen: Vec<String> = self.members().into_iter().map(|m| m.name).collect();
            let missing: Vec<Member> = self
                .addresses
                .iter()
                .filter(|(name, _)| !seen.contains(name))
                .map(|(name, address)| Member {
                    name: name.clone(),
                    address: *address,
                    started: 0,
                    renewed: 0,
                    ..self.local_member().clone()
                })
                .collect();
            for member in missing {
                let _ = self.foca.announce(member, &mut self.outbox);
            }
            self.schedule_timers(now);
        }
    }

    /// Announces whether this process is draining.
    pub fn set_draining(&mut self, now: Micros, drains: bool) {
        if self.local_member().drains != drains {
            let renewed =
                Member { drains, renewed: self.local_member().renewed + 1, ..self.local_member().clone() };
            let _ = self.foca.change_identity(renewed, &mut self.outbox);
            self.schedule_timers(now);
        }
    }

    /// Announces that this process leaves, so that the others need not detect it.
    pub fn leave(&mut self, now: Micros) {
        let _ = self.foca.leave_cluster(&mut self.outbox);
        self.schedule_timers(now);
    }

    /// Returns the datagrams to send, with their addresses.
    pub fn take_datagrams(&mut self) -> Vec<(SocketAddr, Vec<u8>)> {
        let datagrams = std::mem::take(&mut self.outbox.datagrams);
        datagrams
            .into_iter()
            .map(|(to, data)| (self.addresses.get(&to.name).copied().unwrap_or(to.address), data))
            .collect()
    }

    /// Returns the membership changes since the last call.
    pub fn take_events(&mut self) -> Vec<MemberEvent> {
        std::mem::take(&mut self.outbox.events)
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use proptest::prelude::*;

    fn member(i: u16, started: u64) -> Member {
        Member {
            name: format!("n{i}"),
            address: SocketAddr::from(([127, 0, 0, 1], BASE_PORT + i)),
            started,
            renewed: 0,
            zone: "a".into(),
            region: "r".into(),
            version: "1".into(),
            settings: 0,
            drains: false,
        }
    }

    /// A simulated network of processes; an entry is `None` while its process is stopped.
    struct Network {
        processes: Vec<Option<Peers>>,
        now: Micros,
        bytes: u64,
    }

    const PROBE: Micros = 1_000_000;
    const MAX_PACKET_BYTES: usize = 1_300;
    /// Time step of the simulation.
    const STEP: Micros = 20_000;
    /// Port of the first process.
    const BASE_PORT: u16 = 10_000;

    impl Network {
        fn new(n: u16) -> Network {
            let processes = (0..n).map(|i| Some(Network::process(i, n, 1))).collect();
            Network { processes, now: 0, bytes: 0 }
        }

        fn process(i: u16, n: u16, started: u64) -> Peers {
            let addresses =
                (0..n).filter(|&j| j != i).map(|j| (format!("n{j}"), member(j, 0).address)).collect();
            Peers::new(member(i, started), addresses, PROBE, MAX_PACKET_BYTES, u64::from(i))
        }

        /// Runs the network for a time; `lost` decides by sender, receiver and time which packets are lost.
        fn run(&mut self, span: Micros, lost: impl Fn(usize, usize, Micros) -> bool) {
            let until = self.now + span;
            while self.now < until {
                self.now += STEP;
                let mut sent = Vec::new();
                for (i, peers) in self.processes.iter_mut().enumerate() {
                    let Some(peers) = peers else { continue };
                    peers.tick(self.now);
                    sent.extend(
                        peers
                            .take_datagrams()
                            .into_iter()
                            .map(|(to, data)| (i, usize::from(to.port() - BASE_PORT), data)),
                    );
                }
                for (from, to, data) in sent {
                    assert!(data.len() <= MAX_PACKET_BYTES);
                    self.bytes += (data.len() + seal::SEAL_OVERHEAD + 1) as u64;
                    if let Some(peers) = self.processes[to].as_mut().filter(|_| !lost(from, to, self.now)) {
                        peers.receive(self.now, &data).unwrap();
                    }
                }
            }
        }

        /// Returns the number of members that a process sees.
        fn seen_by(&self, i: usize) -> usize {
            self.processes[i].as_ref().unwrap().members().len()
        }
    }

    /// Guards against members that are not discovered, not detected as down, not readmitted, or excluded for good after a
    /// partition.
    #[test]
    fn members_are_seen_after_a_start_a_stop_a_restart_and_a_partition() {
        let mut network = Network::new(9);
        network.run(6 * PROBE, |_, _, _| false);
        (0..9).for_each(|i| assert_eq!(network.seen_by(i), 9));
        network.processes[4] = None;
        network.run(15 * PROBE, |_, _, _| false);
        (0..9).filter(|&i| i != 4).for_each(|i| assert_eq!(network.seen_by(i), 8));
        network.processes[4] = Some(Network::process(4, 9, 2));
        network.run(8 * PROBE, |_, _, _| false);
        (0..9).for_each(|i| assert_eq!(network.seen_by(i), 9));
        // Three processes are cut off from the other six.
        network.run(30 * PROBE, |a, b, _| (a < 3) != (b < 3));
        assert_eq!((network.seen_by(0), network.seen_by(8)), (3, 6));
        network.run(30 * PROBE, |_, _, _| false);
        (0..9).for_each(|i| assert_eq!(network.seen_by(i), 9, "{i}"));
    }

    /// Guards against a member that is declared down because one link fails in one direction and others lose packets.
    #[test]
    fn a_bad_link_does_not_take_down_members_that_others_reach() {
        let mut network = Network::new(7);
        network.run(6 * PROBE, |_, _, _| false);
        // All packets from n0 to n1 are lost, and a tenth of the others, by a hash of time and link.
        let draw = |a: usize, b: usize, t: Micros| {
            xxhash_rust::xxh64::xxh64(&(t + (a * 64 + b) as u64).to_le_bytes(), 3)
        };
        for _ in 0..40 {
            network.run(PROBE, |a, b, t| (a, b) == (0, 1) || draw(a, b, t) % 100 < 10);
        }
        (2..7).for_each(|i| assert_eq!(network.seen_by(i), 7, "{i}"));
    }

    /// Guards against a leave that the others have to detect, and a drain that is not announced.
    #[test]
    fn a_leave_and_a_drain_are_announced_to_all_members() {
        let mut network = Network::new(5);
        network.run(6 * PROBE, |_, _, _| false);
        let now = network.now;
        network.processes[1].as_mut().unwrap().set_draining(now, true);
        network.run(4 * PROBE, |_, _, _| false);
        (0..5).for_each(|i| {
            let members = network.processes[i].as_ref().unwrap().members();
            assert_eq!(
                members.iter().filter(|m| m.drains).map(|m| &*m.name).collect::<Vec<_>>(),
                ["n1"],
                "{i}"
            );
        });
        let now = network.now;
        network.processes[2].as_mut().unwrap().leave(now);
        network.run(PROBE / 10, |_, _, _| false);
        network.processes[2] = None;
        network.run(2 * PROBE, |_, _, _| false);
        [0, 1, 3, 4].into_iter().for_each(|i| assert_eq!(network.seen_by(i), 4, "{i}"));
    }

    /// Guards against gossip that grows with the fleet: the bytes that a member sends per second, and the largest packet.
    #[test]
    fn the_traffic_of_a_member_is_bounded_for_growing_fleets() {
        let requested_size = std::env::var("OAKDEAL_MEMBERS").ok().and_then(|n| n.parse().ok());
        for n in [3, 15, 60].into_iter().chain(requested_size) {
            let mut network = Network::new(n);
            network.run(20 * PROBE, |_, _, _| false);
            let (seen, from) = ((0..usize::from(n)).map(|i| network.seen_by(i)).min(), network.bytes);
            network.run(20 * PROBE, |_, _, _| false);
            let each = (network.bytes - from) / 20 / u64::from(n);
            println!("{n} members, each sees {seen:?} at least: {each} bytes a second each");
            assert!(seen == Some(usize::from(n)) && each < 20_000, "{n}: {seen:?}, {each}");
        }
    }

    proptest! {
        /// Guards against a panic on a random packet, and against members that it adds.
        #[test]
        fn a_random_packet_adds_no_member(packet in prop::collection::vec(any::<u8>(), 0..400)) {
            let mut peers = Network::process(0, 3, 1);
            let _ = peers.receive(1, &packet);
            prop_assert!(peers.members().len() <= 2);
        }
    }
}
