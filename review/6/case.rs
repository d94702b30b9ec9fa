//! Planned restarts, one balancer after another, while half of the session servers hang: is every request answered?
#[path = "../common-2.rs"]
mod common;
use common::*;
use std::sync::atomic::Ordering;
use std::thread;
use std::time::Instant;

const BALANCERS: usize = 3;
const SERVERS: usize = 12;
const ROUNDS: usize = 7;
/// Requests of one restart, one every 30 ms: from the moment in which servers hang to 0.3 s after SIGTERM.
const REQUESTS: u64 = 13;
const BETWEEN: u64 = 60;
const TERM_AT: u64 = 500;
/// SIGKILL comes no sooner after SIGTERM than the longest deadline (counted as 3 s where it is longer) and 0.7 s.
const KILL_AFTER: u64 = 3_900;
const DEADLINE: u64 = 4_800;

/// The settings of `sabhalekh-guj`: three attempts, no probes.
fn settings(zone: &str) -> String {
    claims_settings(BALANCERS, zone)
        .replace(r#""manila","cebu","davao""#, r#""gandhinagar","vadodara""#)
        .replace(r#""Name":"claim-watch""#, r#""Name":"draft-minutes""#)
        .replace(r#""Name":"payout-watch""#, r#""Name":"speaker-tags""#)
        .replace(r#""MarksRetry":true"#, r#""MarksRetry":false"#)
        .replace(r#""ConnectTimeoutMs":100.0"#, r#""ConnectTimeoutMs":150.0"#)
        .replace(r#""CrossZone":0.016"#, r#""CrossZone":0.1"#)
        .replace(r#""Probes":true"#, r#""Probes":false"#)
        .replace(r#""SendCap":4"#, r#""SendCap":3"#)
}

fn main() {
    run_case(play)
}

fn play(record: &Record) -> Vec<String> {
    let folder = Folder::new("6");
    let zones = ["gandhinagar", "vadodara"];
    let name = |i: usize| format!("s-{:08x}", (i as u32 + 1).wrapping_mul(0x9e37_79b1));
    let servers: Vec<Server> = (0..SERVERS).map(|i| Server::start(&name(i), record)).collect();
    let discovery = Discovery::start(servers.iter().enumerate().map(|(i, s)| s.entry(zones[i % 2])).collect());
    let mut balancers = Vec::new();
    let mut configs = Vec::new();
    for i in 0..BALANCERS {
        let (name, listen) = (format!("n{i}"), free_address());
        let text = config(&name, listen, discovery.address, &discovery.whole(), &settings(zones[i % 2]));
        configs.push(folder.write(&format!("{name}.json"), &text));
        balancers.push(Balancer::start(&name, &configs[i], listen, &folder, &[]));
    }
    if !balancers.iter().all(|b| b.wait_ready(ms(15_000))) {
        cannot_run("a balancer is not ready");
    }
    let mut broken = Vec::new();
    for restart in 0..ROUNDS * BALANCERS {
        let i = restart % BALANCERS;
        // Half of the servers, another half each time.
        let hung: Vec<&Server> = another_half(restart as u64).into_iter().map(|n| &servers[n]).collect();
        let hangs = trouble();
        record.say(format!("restart {restart} of n{i}; hang: {}", if hangs { hung.iter().map(|s| s.name.as_str()).collect::<Vec<_>>().join(" ") } else { "none".into() }));
        hung.iter().for_each(|s| s.hangs.store(hangs, Ordering::SeqCst));
        let (begun, listen) = (Instant::now(), balancers[i].listen);
        let clients: Vec<_> = (0..REQUESTS)
            .map(|n| {
                let record = record.clone();
                thread::spawn(move || {
                    thread::sleep(ms(n * BETWEEN).saturating_sub(begun.elapsed()));
                    request(listen, restart, n, &record)
                })
            })
            .collect();
        thread::sleep(ms(TERM_AT).saturating_sub(begun.elapsed()));
        record.say(format!("SIGTERM to n{i}"));
        balancers[i].signal("TERM");
        let until = begun + ms(TERM_AT + KILL_AFTER);
        while Instant::now() < until && !balancers[i].ended() {
            thread::sleep(ms(10));
        }
        if balancers[i].ended() {
            record.say(format!("n{i} has ended by itself"));
        } else {
            record.say(format!("SIGKILL to n{i}"));
            balancers[i].signal("KILL");
        }
        let _ = balancers[i].child.wait();
        broken.extend(clients.into_iter().filter_map(|c| c.join().ok().flatten()));
        servers.iter().for_each(|s| s.hangs.store(false, Ordering::SeqCst));
        balancers[i] = Balancer::start(&format!("n{i}"), &configs[i], listen, &folder, &[]);
        if !balancers[i].wait_ready(ms(15_000)) {
            cannot_run("a restarted balancer is not ready");
        }
    }
    broken
}

/// Half of the servers' numbers, drawn by a seed.
fn another_half(seed: u64) -> Vec<usize> {
    let mut all: Vec<usize> = (0..SERVERS).collect();
    let mut z = seed + 1;
    for n in (1..SERVERS).rev() {
        z = z.wrapping_mul(6_364_136_223_846_793_005).wrapping_add(1_442_695_040_888_963_407);
        all.swap(n, (z >> 33) as usize % (n + 1));
    }
    all.truncate(SERVERS / 2);
    all
}

/// One request; returns what is broken. A client that got its answer leaves.
fn request(listen: std::net::SocketAddr, restart: usize, n: u64, record: &Record) -> Option<String> {
    let (id, sent_at) = (new_id(), record.ms());
    // Refused, or reset before the request is written: it was not taken, and the client comes again elsewhere.
    let Ok(mut client) = Client::connect(listen) else { return None };
    let line = format!("OPEN {id} key-{restart}-{n} c=draft-minutes,d={DEADLINE},g=group-{restart}-{n}");
    if client.send(&line).is_err() {
        return None;
    }
    let got = client.line(ms(DEADLINE + 550));
    record.say(format!("client {id} sent at {sent_at} to restart {restart}, got {got:?}"));
    match got {
        Got::Line(_) => None,
        Got::Ended(how) => Some(format!("request {id}, taken at {sent_at} ms, got no answer: its connection ended ({how}) {} ms later", record.ms() - sent_at)),
        Got::Nothing => Some(format!("request {id}, taken at {sent_at} ms, got no answer")),
    }
}
