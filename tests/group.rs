//! Stories of balancers that decide together: real processes, a relay on every link, and faults between them.

mod peers;
mod relay;

use peers::*;
use relay::{check, Act, Group, SPAN};
use std::sync::atomic::Ordering::Relaxed;
use std::sync::mpsc::channel;
use std::thread;
use std::time::{Duration, Instant};

const ALL: [usize; 5] = [0, 1, 2, 3, 4];

fn group(name: &str, rates: &[f64]) -> Group {
    let (told, _) = channel();
    let group = Group::start(name, 5, echo("a", told), rates);
    let took = group.until("all members", |g| ALL.iter().all(|&i| g.sees(i) == 5));
    println!("{name}: all five see each other after {took:?}");
    group
}

/// Kills, stops, one-way cuts, loss with doubling and jitter, and all voters at once; clocks 1% fast and slow. After each a
/// new holder is found and nobody acted beside another.
#[test]
fn one_holder_at_a_time_through_kills_stops_cuts_and_a_bad_net() {
    let mut g = group("faults", &[1.01, 0.99, 1.0, 1.01, 0.99]);
    let (mut holder, took) = g.taken(0);
    println!("first holder after {took:?}");

    // Killed, and back as a later process.
    let mark = g.mark();
    g.kill(holder);
    let (next, took) = g.taken(mark);
    println!("killed: next holder after {took:?}");
    assert_ne!(next, holder);
    g.run(holder);
    g.until("the killed one", |g| ALL.iter().all(|&i| g.sees(i) == 5));
    holder = next;

    // Stopped for three spans in mid-act: when it wakes it holds nothing.
    let mark = g.mark();
    g.signal(holder, "-STOP");
    let begun = Instant::now();
    let (next, took) = g.taken(mark);
    println!("stopped: next holder after {took:?}");
    thread::sleep(Duration::from_millis(3 * SPAN).saturating_sub(begun.elapsed()));
    g.signal(holder, "-CONT");
    g.logged(mark, &|i, line| i == holder && line.contains("no longer ours"));
    g.until("the stopped one", |g| ALL.iter().all(|&i| g.sees(i) == 5));
    holder = next;

    // It hears and is not heard.
    let mark = g.mark();
    g.ways(&[holder], &ALL, |way| way.cut.store(true, Relaxed));
    let (next, took) = g.taken(mark);
    println!("not heard: next holder after {took:?}");
    assert_ne!(next, holder);
    g.ways(&[holder], &ALL, |way| way.cut.store(false, Relaxed));
    g.until("the one that was not heard", |g| ALL.iter().all(|&i| g.sees(i) == 5));

    // Loss of 30%, as much doubling, 200 ms of jitter: somebody acts still, later.
    g.ways(&ALL, &ALL, |way| {
        way.lost.store(30, Relaxed);
        way.late.store(200, Relaxed);
    });
    thread::sleep(Duration::from_millis(2 * SPAN));
    g.ways(&ALL, &ALL, |way| {
        way.lost.store(0, Relaxed);
        way.late.store(0, Relaxed);
    });

    // All voters killed at once, and back with their folders.
    let before = g.acts().iter().map(|act| act.token).max().unwrap();
    (0..3).for_each(|i| g.kill(i));
    let mark = g.mark();
    (0..3).for_each(|i| g.run(i));
    let begun = Instant::now();
    g.until("acts again", |g| {
        g.acts().iter().any(|act| act.token > before) || g.mark() > mark && g.sees(0) == 5
    });
    let mark = g.mark();
    g.call(0, "STEPDOWN");
    (0..5).for_each(|i| drop(g.call(i, "GIVEUP")));
    g.taken(mark);
    println!("all voters killed: back after {:?}", begun.elapsed());
    let acts = g.acts();
    println!("{} acts seen, tokens up to {}", acts.len(), acts.iter().map(|act| act.token).max().unwrap());
    assert_eq!(check(&acts), Vec::<String>::new());
    assert!(acts.len() > 50 && acts.iter().any(|act| act.witness != act.holder));
}

/// Without a majority no task is granted and nobody's clients notice; both come back after it.
#[test]
fn without_a_majority_nothing_is_granted_and_clients_are_served() {
    let g = group("majority", &[]);
    let (holder, _) = g.taken(0);
    let mut clients: Vec<Lines> = [3, 4]
        .into_iter()
        .flat_map(|i| (0..10).map(move |n| (i, n)))
        .map(|(i, n)| {
            let mut client = g.client(i);
            assert_eq!(client.say(&format!("OPEN c{i}-{n} 2 c=watch,d=2000\r\n")).hear(), "UP 1");
            client
        })
        .collect();
    // Two voters are cut off from everybody, each alone.
    for i in [0, 1] {
        g.ways(&[i], &ALL, |way| way.cut.store(true, Relaxed));
        g.ways(&ALL, &[i], |way| way.cut.store(true, Relaxed));
    }
    g.logged(0, &|i, line| i == holder && line.contains("no longer ours"));
    let mark = g.mark();
    let until = Instant::now() + Duration::from_millis(3 * SPAN);
    let mut lines = 0;
    while Instant::now() < until {
        for client in &mut clients {
            assert_eq!(client.say("still here\r\n").hear(), "still here");
            lines += 1;
        }
        let mut new = g.client(4);
        assert_eq!(new.say(&format!("OPEN new-{lines} 2 c=watch,d=2000\r\n")).hear(), "UP 1");
    }
    // A grant that was decided before the cut may be told late, but not so late.
    let granted =
        g.acts().into_iter().filter(|act| act.witness == act.holder).map(|act| act.us).max().unwrap();
    for i in [0, 1] {
        g.ways(&[i], &ALL, |way| way.cut.store(false, Relaxed));
        g.ways(&ALL, &[i], |way| way.cut.store(false, Relaxed));
    }
    let (_, took) = g.taken(mark);
    println!("{lines} lines passed without a majority; a holder {took:?} after the healing");
    let again = g
        .acts()
        .into_iter()
        .filter(|act| act.witness == act.holder && act.us > granted)
        .map(|act| act.us)
        .min();
    assert!(again.unwrap() - granted >= 2 * SPAN * 1_000, "nothing was granted meanwhile");
    g.until("all members", |g| ALL.iter().all(|&i| g.sees(i) == 5));
    assert_eq!(check(&g.acts()), Vec::<String>::new());
}

/// Guards against a checker that finds nothing.
/// A voter synced its storage on the thread that serves clients, once a turn: with a disk that took 300 ms for it every line of a
/// client waited for up to 300 ms (`a write of the log was slow took_ms=303` and, just after it, `a turn came late`).
#[test]
fn a_voter_with_a_slow_disk_serves_its_clients_as_ever() {
    const DISK: u64 = 300;
    let mut g = group("slow-disk", &[]);
    g.taken(0);
    let mut client = g.client(0);
    client.say("OPEN slow 1 c=watch,d=2000\r\n");
    assert_eq!(client.hear(), "UP 1");
    drop(client);
    g.kill(0);
    g.write_delay = DISK;
    g.run(0);
    let mut client = g.client(0);
    client.say("OPEN slower 1 c=watch,d=2000\r\n");
    assert_eq!(client.hear(), "UP 1");
    let mark = g.mark();
    let mut times = Vec::new();
    let until = Instant::now() + Duration::from_millis(4 * SPAN);
    while Instant::now() < until {
        // Each of these makes the voters write.
        g.call(1, "GIVEUP");
        let begun = Instant::now();
        client.say("there?\r\n");
        client.hear();
        times.push(begun.elapsed());
        thread::sleep(Duration::from_millis(7));
    }
    let slow = |(i, line): &(usize, String)| *i == 0 && line.contains("a write of the log was slow");
    let slow_writes = g.log().iter().skip(mark).filter(|entry| slow(entry)).count();
    let late = times.iter().filter(|time| time.as_millis() as u64 >= DISK / 2).count();
    println!("{} lines, {slow_writes} slow writes, slowest line {:?}", times.len(), times.iter().max());
    assert!(slow_writes >= 3, "{slow_writes}");
    assert_eq!(late, 0, "of {} lines", times.len());
}

#[test]
fn the_checker_finds_each_planted_fault() {
    let act =
        |witness, holder, token, us, passes| Act { task: "t".into(), witness, holder, token, us, passes };
    let good =
        [act(0, 0, 1, 10, true), act(1, 0, 1, 12, true), act(1, 1, 2, 20, true), act(1, 0, 1, 25, false)];
    assert_eq!(check(&good), Vec::<String>::new());
    for (bad, what) in [
        (act(0, 0, 1, 30, true), "acts at"),
        (act(2, 2, 2, 21, true), "token 2 is n1's and n2's"),
        (act(1, 0, 1, 26, true), "carried out token 1 after 2"),
    ] {
        let acts = [&good[..], &[bad]].concat();
        assert!(check(&acts).iter().any(|wrong| wrong.contains(what)), "{what}: {:?}", check(&acts));
    }
}

/// Guards against a socket, a thread or a file where no group is wanted.
#[test]
fn without_the_section_there_is_no_datagram_socket_no_thread_and_no_folder() {
    let balancer = Balancer::operated(&Discovery::quiet(), &[], None);
    assert!(balancer.call("GROUP\r\n").starts_with("400 no group"));
    let proc = format!("/proc/{}", balancer.id());
    let status = std::fs::read_to_string(format!("{proc}/status")).unwrap();
    assert!(status.contains("Threads:\t1\n"), "{status}");
    let udp = std::fs::read_to_string("/proc/net/udp").unwrap();
    for fd in std::fs::read_dir(format!("{proc}/fd")).unwrap().flatten() {
        let Ok(target) = std::fs::read_link(fd.path()) else { continue };
        let target = target.to_string_lossy().into_owned();
        if let Some(inode) = target.strip_prefix("socket:[").and_then(|t| t.strip_suffix(']')) {
            assert!(!udp.split_whitespace().any(|word| word == inode), "{target} takes datagrams");
        }
        assert!(!target.ends_with(".redb"), "{target}");
    }
}

/// Guards against a wrong section that starts, or whose message does not name the line and the mend.
#[test]
fn a_wrong_section_is_told_by_file_line_and_mend() {
    let good =
        "[group]\nlisten = \"127.0.0.1:7946\"\nkey = \"k\"\nvoters = [\"a\", \"b\", \"c\"]\nspan = \"6s\"\n\
                [group.members]\na = \"127.0.0.1:1\"\nb = \"127.0.0.1:2\"\nc = \"127.0.0.1:3\"\n";
    let file = std::env::temp_dir().join(format!("oakdeal-group-{}.toml", std::process::id()));
    let check = |text: &str| {
        std::fs::write(&file, text).unwrap();
        let out = std::process::Command::new(env!("CARGO_BIN_EXE_oakdeal"))
            .arg("check")
            .arg(&file)
            .output()
            .unwrap();
        (out.status.success(), String::from_utf8_lossy(&out.stderr).into_owned())
    };
    assert!(check(good).0, "{}", check(good).1);
    for (from, to, line, mend) in [
        ("\"a\", \"b\", \"c\"", "\"a\", \"b\"", 4, "name three or five"),
        ("span = \"6s\"", "span = \"6\"", 5, "needs a unit"),
        ("span = \"6s\"", "span = \"1ms\"", 5, "must be"),
        ("span = \"6s\"", "drift = 0.9", 5, "drift must be"),
        ("span = \"6s\"", "spam = \"6s\"", 5, "correct the key"),
        ("c = \"127.0.0.1:3\"", "", 6, "has no address here"),
    ] {
        let (good, text) = check(&good.replace(from, to));
        assert!(!good && text.contains(&format!(".toml:{line}:")) && text.contains(mend), "{to}: {text}");
    }
    // The plan for zones, behind a good group and without one.
    let zones = |more: &str| {
        format!("{good}[failover]\nconnections = 100.0\nregions = {{ a = \"n\", b = \"s\" }}\n{more}")
    };
    assert!(check(&zones("stay = \"20s\"")).0, "{}", check(&zones("stay = \"20s\"")).1);
    for (text, line, mend) in [
        (zones("stay = \"1ms\""), 13, "stay must be"),
        (zones("fill = 2.0"), 13, "fill must be"),
        (zones("stat = \"20s\""), 13, "correct the key"),
        (zones("[[failover.distance]]\nfrom = \"a\"\nto = \"x\"\nis = 3"), 13, "is not in regions"),
        (zones("").replace(", b = \"s\"", ""), 12, "name two to"),
        ("[failover]\nconnections = 1.0\nregions = { a = \"n\", b = \"s\" }\n".into(), 1, "add one"),
    ] {
        let (good, told) = check(&text);
        assert!(!good && told.contains(&format!(".toml:{line}:")) && told.contains(mend), "{text}: {told}");
    }
    std::fs::remove_file(file).unwrap();
}
