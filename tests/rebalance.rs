//! Tests of slow rebalancing: invariants for random fleets, and one test with the program itself.

mod peers;
use oakdeal::rebalance::imbalance::LoadBalance;
use oakdeal::rebalance::{PlanEvent, RebalanceSettings, Rebalancer, View};
use oakdeal::{CallId, HostView, Micros, MisplacedConnection};
use peers::*;
use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use std::collections::BTreeMap;
use std::sync::mpsc::channel;
use std::time::{Duration, Instant};

const SECOND: Micros = 1_000_000;
const START: Micros = 1_000 * SECOND;

fn classes() -> Vec<(String, f64)> {
    vec![("watch".into(), 5.0), ("payout".into(), 15.0)]
}

/// Hosts with their sizes, and connections that are not at their home.
#[derive(Clone, Debug)]
struct Fleet {
    hosts: Vec<HostView>,
    strays: Vec<MisplacedConnection>,
    /// Load of the connections that are at their home, by host.
    load_at_home: Vec<f64>,
}

impl Fleet {
    fn view(&self) -> View {
        let mut hosts = self.hosts.clone();
        for (i, host) in hosts.iter_mut().enumerate() {
            let there = self.strays.iter().filter(|s| s.current_host == host.host);
            host.load = self.load_at_home[i] + there.map(|s| s.load).sum::<f64>();
        }
        View { hosts, strays: self.strays.clone() }
    }

    /// Moves a client that was asked to reconnect to its home.
    fn reconnect_at_home(&mut self, call: &CallId) -> MisplacedConnection {
        let i = self.strays.iter().position(|s| s.call == *call).expect("an open connection");
        let stray = self.strays.remove(i);
        let home = self.hosts.iter().position(|h| h.host == stray.home_host).expect("a host");
        self.load_at_home[home] += stray.load;
        stray
    }
}

fn any_fleet() -> impl Strategy<Value = Fleet> {
    let host = (0.5..4.0f64, any::<bool>(), 0.0..30.0f64);
    let stray = (0..6usize, 0..6usize, 0..3u64, 0..2usize, 0.1..4.0f64);
    (prop::collection::vec(host, 2..7), prop::collection::vec(stray, 0..80)).prop_map(|(hosts, strays)| {
        let n = hosts.len();
        let view = |(i, &(size, back, _)): (usize, &(f64, bool, f64))| HostView {
            host: i as u32,
            load: 0.0,
            size,
            warmth: 1.0,
            ready_at: if back { START - 30 * SECOND } else { 0 },
            accepts_connections: true,
        };
        let all = strays.into_iter().enumerate().filter(|(_, s)| s.0 % n != s.1 % n);
        Fleet {
            hosts: hosts.iter().enumerate().map(view).collect(),
            load_at_home: hosts.iter().map(|h| h.2).collect(),
            strays: all
                .map(|(i, (at, home, point, class, load))| MisplacedConnection {
                    call: format!("{i:04}").as_str().into(),
                    current_host: (at % n) as u32,
                    home_host: (home % n) as u32,
                    ring_position: point,
                    class,
                    load,
                })
                .collect(),
        }
    })
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 200,
        rng_seed: RngSeed::Fixed(11),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    #[test]
    fn a_plan_ends_never_increases_the_imbalance_and_keeps_to_the_rate(mut fleet in any_fleet(), rate in 1.0..20.0f64) {
        let settings = RebalanceSettings { moves_per_second: rate, min_age: 0, ..RebalanceSettings::default() };
        let mut rebalancer = Rebalancer::new(START, settings, &classes(), 1);
        fleet.strays.iter().for_each(|s| rebalancer.connection_established(START, &s.call));
        let (mut now, mut move_times, mut checks_without_moves) = (START, Vec::new(), 0);
        let connections = fleet.strays.len();
        while checks_without_moves < 60 {
            let view = fleet.view();
            let balance = LoadBalance::new(now, &view.hosts, 0.1);
            let ratio_before = balance.max_load_ratio();
            let moves = rebalancer.plan_moves(now, || view);
            checks_without_moves = if moves.is_empty() { checks_without_moves + 1 } else { 0 };
            for call in moves {
                move_times.push(now);
                let stray = fleet.reconnect_at_home(&call);
                let home = fleet.hosts.iter().find(|h| h.host == stray.home_host).expect("a host");
                prop_assert!(home.ready_at > 0, "moved to a server that was not restarted");
            }
            let ratio_after = LoadBalance::new(now, &fleet.view().hosts, 0.1).max_load_ratio();
            prop_assert!(ratio_after <= ratio_before + 1e-9, "from {ratio_before} to {ratio_after}");
            now = rebalancer.next_due(now);
            prop_assert!(move_times.len() <= connections, "more moves than connections: the plan does not end");
        }
        // In any ten seconds, no more moves than the rate allows, plus a burst of one second.
        for (i, &from) in move_times.iter().enumerate() {
            let within = move_times[i..].iter().take_while(|&&at| at < from + 10 * SECOND).count();
            prop_assert!(within as f64 <= 11.0 * rate.max(1.0) + 1.0, "{within} in ten seconds at {rate}");
        }
    }
}

fn stray(call: &str, point: u64, class: usize, load: f64) -> MisplacedConnection {
    MisplacedConnection {
        call: call.into(),
        current_host: 1,
        home_host: 2,
        ring_position: point,
        class,
        load,
    }
}

/// Two servers, of which the second was restarted recently and is empty.
fn two_servers_second_is_back(strays: Vec<MisplacedConnection>) -> Fleet {
    let host = |host, ready_at| HostView {
        host,
        load: 0.0,
        size: 1.0,
        warmth: 1.0,
        ready_at,
        accepts_connections: true,
    };
    Fleet { hosts: vec![host(1, 0), host(2, START - 60 * SECOND)], strays, load_at_home: vec![0.0, 0.0] }
}

#[test]
fn payouts_move_last_groups_move_together_and_young_connections_stay() {
    let strays = vec![
        stray("pay", 7, 1, 1.0),
        stray("b1", 9, 0, 1.0),
        stray("a1", 7, 0, 1.0),
        stray("b2", 9, 0, 1.0),
        stray("a2", 7, 0, 2.0),
        stray("young", 7, 0, 1.0),
        stray("c1", 11, 0, 8.0),
    ];
    let mut fleet = two_servers_second_is_back(strays);
    let mut rebalancer = Rebalancer::new(
        START,
        RebalanceSettings { moves_per_second: 100.0, ..RebalanceSettings::default() },
        &classes(),
        1,
    );
    fleet.strays.iter().for_each(|s| rebalancer.connection_established(START, &s.call));
    rebalancer.connection_established(START + 9 * SECOND, &"young".into());
    let (mut now, mut order) = (START + 10 * SECOND, Vec::new());
    while now < START + 18 * SECOND {
        for call in rebalancer.plan_moves(now, || fleet.view()) {
            order.push(call.0.to_string());
            fleet.reconnect_at_home(&call);
        }
        now = rebalancer.next_due(now);
    }
    assert_eq!(
        order,
        ["a1", "a2", "b1", "b2", "pay"],
        "a connection whose move would overload the home stays too"
    );
    assert!(matches!(rebalancer.take_events()[..], [PlanEvent::Started(5, _), PlanEvent::Finished(5, _)]));
}

/// Guards against moves during a failure, and against all of them at once after it.
#[test]
fn a_failure_stops_moves_at_once_and_they_resume_slowly() {
    let mut fleet =
        two_servers_second_is_back((0..400).map(|i| stray(&format!("{i:04}"), i, 0, 1.0)).collect());
    let mut rebalancer = Rebalancer::new(
        START,
        RebalanceSettings { moves_per_second: 100.0, min_age: 0, ..RebalanceSettings::default() },
        &classes(),
        1,
    );
    fleet.strays.iter().for_each(|s| rebalancer.connection_established(START, &s.call));
    let (mut now, mut moved) = (START, BTreeMap::new());
    for _ in 0..12 {
        let moves = rebalancer.plan_moves(now, || fleet.view());
        moved.insert(now, moves.len());
        moves.iter().for_each(|call| drop(fleet.reconnect_at_home(call)));
        now = rebalancer.next_due(now);
        if moved.len() == 6 {
            rebalancer.pause(now, "an instance failed");
            assert!(rebalancer.plan_moves(now, || fleet.view()).is_empty());
            now = rebalancer.next_due(now);
        }
    }
    let moved: Vec<(Micros, usize)> = moved.into_iter().collect();
    assert!(moved.windows(2).take(5).all(|two| two[0].1 <= two[1].1), "slowly at first: {moved:?}");
    assert_eq!(moved[6].0 - moved[5].0, 6 * SECOND, "one second between checks and five of pause: {moved:?}");
    assert!(moved[6].1 < moved[5].1 + 1 && moved[6].1 > 0, "slower after the failure: {moved:?}");
    let events = rebalancer.take_events();
    assert!(events.contains(&PlanEvent::Paused("an instance failed")), "{events:?}");
}

/// Runs the program with two servers, of which one leaves and returns. With rebalancing on, its connections return,
/// each moved once and none closed by force; with it off, they stay.
#[test]
fn connections_return_home_when_their_server_is_back_and_stay_when_rebalancing_is_off() {
    let run = |on: bool| -> (usize, usize) {
        let (sender, receiver) = channel();
        let (a, b) = (echo_instance("a", sender.clone()), echo_instance("b", sender));
        let unix = std::time::SystemTime::now().duration_since(std::time::UNIX_EPOCH).unwrap().as_millis();
        let back = list_entry("s-00000002", b, "ready")
            .replace("\"since_ms\":0", &format!("\"since_ms\":{}", unix - 1));
        let discovery = Discovery::new(vec![
            CHUNKED_RESPONSE.to_string()
                + &http_chunk(&watch_line(1, &[list_entry("s-00000001", a, "ready")])),
        ]);
        let operator = format!("[rebalance]\non = {on}\nrate = 200.0\nyoung = \"100ms\"\n");
        let list = [list_entry("s-00000001", a, "ready")];
        let balancer = Balancer::start(&discovery, &list, Some(&operator));
        discovery.next_request();
        let mut clients: Vec<LineConnection> = (0..40)
            .map(|i| {
                let mut client = balancer.connect_client();
                assert_eq!(
                    client.send_text(&format!("OPEN {i} k{i} c=watch,d=2000\r\n")).receive_line(),
                    "UP 1"
                );
                client
            })
            .collect();
        assert!(receiver.try_iter().all(|(name, _)| name == "a"));
        discovery.push(&watch_line(2, &[back]));
        balancer.wait_for_log("instance s-00000002");
        // Each client that is asked to move reconnects at once and reaches its home; the others stay connected.
        let (end, mut moved) = (Instant::now() + Duration::from_secs(4), 0);
        for client in &clients {
            client.stream.set_read_timeout(Some(Duration::from_millis(20))).unwrap();
        }
        let mut next = 1000;
        while Instant::now() < end {
            for (i, client) in clients.iter_mut().enumerate() {
                let mut byte = [0; 6];
                match client.stream.peek(&mut byte) {
                    Ok(0) => panic!("the connection was closed without a MOVE"),
                    Ok(_) => {
                        assert_eq!(
                            (client.receive_line(), client.receive_line()),
                            ("MOVE".into(), "END".into())
                        );
                        moved += 1;
                        next += 1;
                        *client = balancer.connect_client();
                        let open = format!("OPEN {next} k{i} c=watch,d=2000,again=1\r\n");
                        assert_eq!(client.send_text(&open).receive_line(), "UP 1");
                        client.stream.set_read_timeout(Some(Duration::from_millis(1))).unwrap();
                    }
                    Err(_) => {}
                }
            }
        }
        (moved, receiver.try_iter().filter(|(name, _)| *name == "b").count())
    };
    assert_eq!(run(false), (0, 0), "without rebalancing no connection moves");
    let (moved, home) = run(true);
    assert!((10..=30).contains(&moved) && home == moved, "{moved} moved, {home} of them to their home");
}
