//! Who is there: membership by SWIM (the foca crate) as a driver without I/O. Datagrams and the time go in; datagrams to
//! send, and who came and went, come out.
//!
//! Promised: one name is one member, and of two processes under one name the later started counts; a member that is declared
//! gone and is not comes back under a new count; what a name's address is, is this process's own book where it has the name.
//! Not promised: that all see the same members at the same moment. Gossip informs; the record decides ([`crate::group`]).

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

/// A member as it tells of itself.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Member {
    /// Its name; no two members have one.
    pub name: String,
    /// Where it says that it is reached.
    pub address: SocketAddr,
    /// When its process started, in Unix milliseconds, and how often it has renewed itself since.
    pub started: u64,
    /// See `started`.
    pub renewed: u32,
    /// Its zone and region.
    pub zone: String,
    /// See `zone`.
    pub region: String,
    /// The version of the program.
    pub version: String,
    /// A number that differs where the operator's files differ.
    pub settings: u32,
    /// It takes no new clients.
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

/// What happened among the members.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum MemberEvent {
    /// It is there.
    Up(String),
    /// It has left, or answers nobody.
    Down(String),
}

/// What is to be done.
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

/// The members, as this process sees them.
pub struct Peers {
    foca: Foca<Member, PostcardCodec, ChaCha8Rng, foca::NoCustomBroadcast>,
    outbox: Outbox,
    /// What is due, in order; the second figure keeps those of one moment apart.
    due: BTreeMap<(Micros, u64), Timer<Member>>,
    counted: u64,
    /// Where this process reaches the others; its own entry is passed over.
    book: BTreeMap<String, SocketAddr>,
    announced: Micros,
    probe: Micros,
}

fn config(probe: Micros, most: usize) -> Config {
    let span = |us: Micros| Duration::from_micros(us.max(1_000));
    let some = |n: usize| NonZeroUsize::new(n).unwrap_or(NonZeroUsize::MIN);
    let every = |us: Micros, n: usize| Some(PeriodicParams { frequency: span(us), num_members: some(n) });
    Config {
        probe_period: span(probe),
        probe_rtt: span(probe / 3),
        num_indirect_probes: some(3),
        max_transmissions: NonZeroU8::new(8).unwrap_or(NonZeroU8::MIN),
        suspect_to_down_after: span(3 * probe),
        // A process that comes back is a later one: it need not wait until it is forgotten.
        remove_down_after: Some(Duration::from_secs(3_600)),
        max_packet_size: some(most),
        notify_down_members: true,
        periodic_announce: every(10 * probe, 2),
        // So that two halves that have lost each other find together again.
        periodic_announce_to_down_members: every(3 * probe, 2),
        periodic_gossip: every(probe / 2, 3),
    }
}

impl Peers {
    /// One that knows nobody yet. `probe`: how often it asks somebody whether they are there; `most`: the longest packet.
    pub fn new(
        me: Member,
        book: BTreeMap<String, SocketAddr>,
        probe: Micros,
        most: usize,
        seed: u64,
    ) -> Peers {
        let rng = ChaCha8Rng::seed_from_u64(seed);
        let foca = Foca::new(me, config(probe, most), rng, PostcardCodec);
        let (outbox, due) = (Outbox::default(), BTreeMap::new());
        Peers { foca, outbox, due, counted: 0, book, announced: 0, probe }
    }

    /// Itself.
    pub fn local_member(&self) -> &Member {
        self.foca.identity()
    }

    /// All members that are there, itself among them, by name.
    pub fn members(&self) -> Vec<Member> {
        let others = self.foca.iter_members().map(|member| member.id().clone());
        let mut all: Vec<Member> = others.chain([self.local_member().clone()]).collect();
        all.sort_by(|a, b| a.name.cmp(&b.name));
        all
    }

    /// Where a member is reached from here.
    pub fn address(&self, name: &str) -> Option<SocketAddr> {
        let told = || self.foca.iter_members().find(|m| m.id().name == name).map(|m| m.id().address);
        self.book.get(name).copied().or_else(told)
    }

    fn took(&mut self, now: Micros) {
        for (after, timer) in std::mem::take(&mut self.outbox.timers) {
            self.counted += 1;
            self.due.insert((now + after.as_micros() as Micros, self.counted), timer);
        }
    }

    /// A packet came. One that nobody can read is an error, and changes nothing.
    pub fn receive(&mut self, now: Micros, packet: &[u8]) -> Result<(), String> {
        let read = self.foca.handle_data(packet, &mut self.outbox).map_err(|e| e.to_string());
        self.took(now);
        read
    }

    /// Does what is due.
    pub fn tick(&mut self, now: Micros) {
        while let Some(first) = self.due.first_entry().filter(|first| first.key().0 <= now) {
            let timer = first.remove();
            // What is late is late for a reason of its own: the crate bears it.
            let _ = self.foca.handle_timer(timer, &mut self.outbox);
            self.took(now);
        }
        // Whoever is in the book and not seen is looked for: at the start, and after a partition that outlived memory.
        if now >= self.announced + 2 * self.probe {
            self.announced = now;
            let seen: Vec<String> = self.members().into_iter().map(|m| m.name).collect();
            let missing: Vec<Member> = self
                .book
                .iter()
                .filter(|(name, _)| !seen.contains(name))
                .map(|(name, at)| Member {
                    name: name.clone(),
                    address: *at,
                    started: 0,
                    renewed: 0,
                    ..self.local_member().clone()
                })
                .collect();
            for member in missing {
                let _ = self.foca.announce(member, &mut self.outbox);
            }
            self.took(now);
        }
    }

    /// It drains now, or no longer.
    pub fn set_draining(&mut self, now: Micros, drains: bool) {
        if self.local_member().drains != drains {
            let me =
                Member { drains, renewed: self.local_member().renewed + 1, ..self.local_member().clone() };
            let _ = self.foca.change_identity(me, &mut self.outbox);
            self.took(now);
        }
    }

    /// It goes: the others need not find out.
    pub fn leave(&mut self, now: Micros) {
        let _ = self.foca.leave_cluster(&mut self.outbox);
        self.took(now);
    }

    /// What is to be sent, and where.
    pub fn take_datagrams(&mut self) -> Vec<(SocketAddr, Vec<u8>)> {
        let datagrams = std::mem::take(&mut self.outbox.datagrams);
        datagrams
            .into_iter()
            .map(|(to, data)| (self.book.get(&to.name).copied().unwrap_or(to.address), data))
            .collect()
    }

    /// What happened.
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
            address: SocketAddr::from(([127, 0, 0, 1], 10_000 + i)),
            started,
            renewed: 0,
            zone: "a".into(),
            region: "r".into(),
            version: "1".into(),
            settings: 0,
            drains: false,
        }
    }

    /// So many processes in one thread; `lost` says which packet from one to another does not arrive.
    struct Net {
        all: Vec<Option<Peers>>,
        now: Micros,
        bytes: u64,
    }

    const PROBE: Micros = 1_000_000;

    impl Net {
        fn new(n: u16) -> Net {
            let all = (0..n).map(|i| Some(Net::one(i, n, 1))).collect();
            Net { all, now: 0, bytes: 0 }
        }

        fn one(i: u16, n: u16, started: u64) -> Peers {
            let book = (0..n).filter(|&j| j != i).map(|j| (format!("n{j}"), member(j, 0).address)).collect();
            Peers::new(member(i, started), book, PROBE, 1_300, u64::from(i))
        }

        fn run(&mut self, span: Micros, lost: impl Fn(usize, usize, Micros) -> bool) {
            let until = self.now + span;
            while self.now < until {
                self.now += 20_000;
                let mut sent = Vec::new();
                for (i, peers) in self.all.iter_mut().enumerate() {
                    let Some(peers) = peers else { continue };
                    peers.tick(self.now);
                    sent.extend(
                        peers
                            .take_datagrams()
                            .into_iter()
                            .map(|(to, data)| (i, usize::from(to.port() - 10_000), data)),
                    );
                }
                for (from, to, data) in sent {
                    assert!(data.len() <= 1_300);
                    self.bytes += (data.len() + seal::SEAL_OVERHEAD + 1) as u64;
                    if let Some(peers) = self.all[to].as_mut().filter(|_| !lost(from, to, self.now)) {
                        peers.receive(self.now, &data).unwrap();
                    }
                }
            }
        }

        fn sees(&self, i: usize) -> usize {
            self.all[i].as_ref().unwrap().members().len()
        }
    }

    /// Guards against members that are not found, not missed, not found again, or kept out for good by a partition.
    #[test]
    fn members_join_are_missed_come_back_and_find_together_after_a_partition() {
        let mut net = Net::new(9);
        net.run(6 * PROBE, |_, _, _| false);
        (0..9).for_each(|i| assert_eq!(net.sees(i), 9));
        net.all[4] = None;
        net.run(15 * PROBE, |_, _, _| false);
        (0..9).filter(|&i| i != 4).for_each(|i| assert_eq!(net.sees(i), 8));
        net.all[4] = Some(Net::one(4, 9, 2));
        net.run(8 * PROBE, |_, _, _| false);
        (0..9).for_each(|i| assert_eq!(net.sees(i), 9));
        // Three cannot talk to the six.
        net.run(30 * PROBE, |a, b, _| (a < 3) != (b < 3));
        assert_eq!((net.sees(0), net.sees(8)), (3, 6));
        net.run(30 * PROBE, |_, _, _| false);
        (0..9).for_each(|i| assert_eq!(net.sees(i), 9, "{i}"));
    }

    /// Guards against a link that is cut one way, or that loses a third, taking out a member that is there.
    #[test]
    fn a_bad_link_takes_nobody_out_who_is_reached_by_others() {
        let mut net = Net::new(7);
        net.run(6 * PROBE, |_, _, _| false);
        // What n0 says to n1 never arrives; a third of all else is lost, by a fixed draw.
        let draw = |a: usize, b: usize, t: Micros| {
            xxhash_rust::xxh64::xxh64(&(t + (a * 64 + b) as u64).to_le_bytes(), 3)
        };
        for _ in 0..40 {
            net.run(PROBE, |a, b, t| (a, b) == (0, 1) || draw(a, b, t) % 100 < 10);
        }
        (2..7).for_each(|i| assert_eq!(net.sees(i), 7, "{i}"));
    }

    /// Guards against a leave that the others have to find out, and a drain that is not told.
    #[test]
    fn a_leave_and_a_drain_are_told() {
        let mut net = Net::new(5);
        net.run(6 * PROBE, |_, _, _| false);
        let now = net.now;
        net.all[1].as_mut().unwrap().set_draining(now, true);
        net.run(4 * PROBE, |_, _, _| false);
        (0..5).for_each(|i| {
            let members = net.all[i].as_ref().unwrap().members();
            assert_eq!(
                members.iter().filter(|m| m.drains).map(|m| &*m.name).collect::<Vec<_>>(),
                ["n1"],
                "{i}"
            );
        });
        let now = net.now;
        net.all[2].as_mut().unwrap().leave(now);
        net.run(PROBE / 10, |_, _, _| false);
        net.all[2] = None;
        net.run(2 * PROBE, |_, _, _| false);
        [0, 1, 3, 4].into_iter().for_each(|i| assert_eq!(net.sees(i), 4, "{i}"));
    }

    /// Guards against gossip that grows with the fleet: what one member sends in a second, and the longest packet.
    #[test]
    fn what_a_member_sends_hardly_grows_with_the_fleet() {
        let told = std::env::var("OAKDEAL_MEMBERS").ok().and_then(|n| n.parse().ok());
        for n in [3, 15, 60].into_iter().chain(told) {
            let mut net = Net::new(n);
            net.run(20 * PROBE, |_, _, _| false);
            let (seen, from) = ((0..usize::from(n)).map(|i| net.sees(i)).min(), net.bytes);
            net.run(20 * PROBE, |_, _, _| false);
            let each = (net.bytes - from) / 20 / u64::from(n);
            println!("{n} members, each sees {seen:?} at least: {each} bytes a second each");
            assert!(seen == Some(usize::from(n)) && each < 20_000, "{n}: {seen:?}, {each}");
        }
    }

    proptest! {
        /// Guards against a panic on what somebody made up.
        #[test]
        fn junk_changes_nothing(packet in prop::collection::vec(any::<u8>(), 0..400)) {
            let mut peers = Net::one(0, 3, 1);
            let _ = peers.receive(1, &packet);
            prop_assert!(peers.members().len() <= 2);
        }
    }
}
