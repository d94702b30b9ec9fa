//! Tests of a group of balancers with real processes, a relay on every link between two of them, and faults on links and
//! processes.

mod peers;
mod relay;

use peers::*;
use relay::{check, Group, LoggedAction, LEASE_SPAN_MS};
use std::sync::atomic::Ordering::Relaxed;
use std::sync::mpsc::channel;
use std::thread;
use std::time::{Duration, Instant};

const ALL: [usize; 5] = [0, 1, 2, 3, 4];

fn start_group(name: &str, clock_rates: &[f64]) -> Group {
    let (echoed, _) = channel();
    let group = Group::start(name, 5, echo_instance("a", echoed), clock_rates);
    let took = group.wait_until("all members", |group| ALL.iter().all(|&i| group.visible_members(i) == 5));
    println!("{name}: all five see each other after {took:?}");
    group
}

/// Kills and stops a holder, cuts its outgoing links, makes links lossy and restarts all voters, with clocks 1% fast and slow:
/// each time there is a new holder, and no two processes act at once.
#[test]
fn one_holder_at_a_time_through_kills_stops_cuts_and_lossy_links() {
    let mut group = start_group("faults", &[1.01, 0.99, 1.0, 1.01, 0.99]);
    let (mut holder, took) = group.wait_for_lease_holder(0);
    println!("first holder after {took:?}");

    // The holder is killed, and started again as a new process.
    let mark = group.log_length();
    group.kill(holder);
    let (next, took) = group.wait_for_lease_holder(mark);
    println!("killed: next holder after {took:?}");
    assert_ne!(next, holder);
    group.start_process(holder);
    group.wait_until("the killed member", |group| ALL.iter().all(|&i| group.visible_members(i) == 5));
    holder = next;

    // The holder is stopped for three lease spans while it acts: when it continues it holds nothing.
    let mark = group.log_length();
    group.signal(holder, "-STOP");
    let started = Instant::now();
    let (next, took) = group.wait_for_lease_holder(mark);
    println!("stopped: next holder after {took:?}");
    thread::sleep(Duration::from_millis(3 * LEASE_SPAN_MS).saturating_sub(started.elapsed()));
    group.signal(holder, "-CONT");
    group.wait_for_log(mark, &|i, line| i == holder && line.contains("no longer ours"));
    group.wait_until("the stopped member", |group| ALL.iter().all(|&i| group.visible_members(i) == 5));
    holder = next;

    // The holder receives datagrams, and those that it sends are lost.
    let mark = group.log_length();
    group.change_links(&[holder], &ALL, |way| way.blocked.store(true, Relaxed));
    let (next, took) = group.wait_for_lease_holder(mark);
    println!("outgoing links cut: next holder after {took:?}");
    assert_ne!(next, holder);
    group.change_links(&[holder], &ALL, |way| way.blocked.store(false, Relaxed));
    group.wait_until("the member that was cut off", |group| {
        ALL.iter().all(|&i| group.visible_members(i) == 5)
    });

    // 30% loss, 30% duplication and 200 ms of jitter: the group continues, with more delay.
    group.change_links(&ALL, &ALL, |way| {
        way.loss_percent.store(30, Relaxed);
        way.max_delay_ms.store(200, Relaxed);
    });
    thread::sleep(Duration::from_millis(2 * LEASE_SPAN_MS));
    group.change_links(&ALL, &ALL, |way| {
        way.loss_percent.store(0, Relaxed);
        way.max_delay_ms.store(0, Relaxed);
    });

    // All voters are killed at once, and started again with their folders.
    let highest_token = group.acts().iter().map(|act| act.token).max().unwrap();
    (0..3).for_each(|i| group.kill(i));
    let mark = group.log_length();
    (0..3).for_each(|i| group.start_process(i));
    let started = Instant::now();
    group.wait_until("a new action", |group| {
        group.acts().iter().any(|act| act.token > highest_token)
            || group.log_length() > mark && group.visible_members(0) == 5
    });
    let mark = group.log_length();
    group.admin_command(0, "STEPDOWN");
    (0..5).for_each(|i| drop(group.admin_command(i, "GIVEUP")));
    group.wait_for_lease_holder(mark);
    println!("all voters killed: back after {:?}", started.elapsed());
    let acts = group.acts();
    println!(
        "{} actions logged, tokens up to {}",
        acts.len(),
        acts.iter().map(|act| act.token).max().unwrap()
    );
    assert_eq!(check(&acts), Vec::<String>::new());
    assert!(acts.len() > 50 && acts.iter().any(|act| act.witness != act.holder));
}

/// Without a majority of voters no task is granted and clients are served as before; once the links are restored tasks are granted
/// again.
#[test]
fn without_a_majority_nothing_is_granted_and_clients_are_served() {
    let group = start_group("majority", &[]);
    let (holder, _) = group.wait_for_lease_holder(0);
    let mut clients: Vec<LineConnection> = [3, 4]
        .into_iter()
        .flat_map(|i| (0..10).map(move |n| (i, n)))
        .map(|(i, n)| {
            let mut client = group.connect_client(i);
            assert_eq!(
                client.send_text(&format!("OPEN c{i}-{n} 2 c=watch,d=2000\r\n")).receive_line(),
                "UP 1"
            );
            client
        })
        .collect();
    // Two of the three voters are each cut off from all other members.
    for i in [0, 1] {
        group.change_links(&[i], &ALL, |way| way.blocked.store(true, Relaxed));
        group.change_links(&ALL, &[i], |way| way.blocked.store(true, Relaxed));
    }
    group.wait_for_log(0, &|i, line| i == holder && line.contains("no longer ours"));
    let mark = group.log_length();
    let until = Instant::now() + Duration::from_millis(3 * LEASE_SPAN_MS);
    let mut lines = 0;
    while Instant::now() < until {
        for client in &mut clients {
            assert_eq!(client.send_text("still here\r\n").receive_line(), "still here");
            lines += 1;
        }
        let mut new = group.connect_client(4);
        assert_eq!(new.send_text(&format!("OPEN new-{lines} 2 c=watch,d=2000\r\n")).receive_line(), "UP 1");
    }
    // A lease granted before the cut may be announced late, but at least two lease spans pass without any action.
    let last_before =
        group.acts().into_iter().filter(|act| act.witness == act.holder).map(|act| act.us).max().unwrap();
    for i in [0, 1] {
        group.change_links(&[i], &ALL, |way| way.blocked.store(false, Relaxed));
        group.change_links(&ALL, &[i], |way| way.blocked.store(false, Relaxed));
    }
    let (_, took) = group.wait_for_lease_holder(mark);
    println!("{lines} lines passed without a majority; a holder {took:?} after the links were restored");
    let first_after = group
        .acts()
        .into_iter()
        .filter(|act| act.witness == act.holder && act.us > last_before)
        .map(|act| act.us)
        .min();
    assert!(
        first_after.unwrap() - last_before >= 2 * LEASE_SPAN_MS * 1_000,
        "a task was granted without a majority"
    );
    group.wait_until("all members", |group| ALL.iter().all(|&i| group.visible_members(i) == 5));
    assert_eq!(check(&group.acts()), Vec::<String>::new());
}

/// Guards against a voter that syncs its storage on the thread that serves clients: with a disk that took 300 ms for a sync every
/// line of a client waited for up to 300 ms.
#[test]
fn a_slow_disk_of_a_voter_does_not_delay_its_clients() {
    /// Delay of each write of the voter, in milliseconds.
    const WRITE_DELAY_MS: u64 = 300;
    let mut group = start_group("slow-disk", &[]);
    group.wait_for_lease_holder(0);
    let mut client = group.connect_client(0);
    client.send_text("OPEN slow 1 c=watch,d=2000\r\n");
    assert_eq!(client.receive_line(), "UP 1");
    drop(client);
    group.kill(0);
    group.write_delay_ms = WRITE_DELAY_MS;
    group.start_process(0);
    let mut client = group.connect_client(0);
    client.send_text("OPEN slower 1 c=watch,d=2000\r\n");
    assert_eq!(client.receive_line(), "UP 1");
    let mark = group.log_length();
    let mut times = Vec::new();
    let until = Instant::now() + Duration::from_millis(4 * LEASE_SPAN_MS);
    while Instant::now() < until {
        // Each released task makes the voters write.
        group.admin_command(1, "GIVEUP");
        let started = Instant::now();
        client.send_text("there?\r\n");
        client.receive_line();
        times.push(started.elapsed());
        thread::sleep(Duration::from_millis(7));
    }
    let slow = |(i, line): &(usize, String)| *i == 0 && line.contains("a write of the log was slow");
    let slow_writes = group.log().iter().skip(mark).filter(|entry| slow(entry)).count();
    let late = times.iter().filter(|time| time.as_millis() as u64 >= WRITE_DELAY_MS / 2).count();
    println!("{} lines, {slow_writes} slow writes, slowest line {:?}", times.len(), times.iter().max());
    assert!(slow_writes >= 3, "{slow_writes}");
    assert_eq!(late, 0, "of {} lines", times.len());
}

/// Guards against a checker that finds no violations.
#[test]
fn the_checker_finds_each_planted_violation() {
    let act = |witness, holder, token, us, admitted| LoggedAction {
        task: "t".into(),
        witness,
        holder,
        token,
        us,
        admitted,
    };
    let good =
        [act(0, 0, 1, 10, true), act(1, 0, 1, 12, true), act(1, 1, 2, 20, true), act(1, 0, 1, 25, false)];
    assert_eq!(check(&good), Vec::<String>::new());
    for (bad, violation) in [
        (act(0, 0, 1, 30, true), "token 2 acted at"),
        (act(2, 2, 2, 21, true), "token 2 is held by both n1 and n2"),
        (act(1, 0, 1, 26, true), "carried out an action under token 1 after one under token 2"),
    ] {
        let acts = [&good[..], &[bad]].concat();
        assert!(
            check(&acts).iter().any(|found| found.contains(violation)),
            "{violation}: {:?}",
            check(&acts)
        );
    }
}

/// Guards against a socket, a thread or a file of the group in a process without the section `[group]`.
#[test]
fn without_the_section_there_is_no_datagram_socket_no_thread_and_no_folder() {
    let balancer = Balancer::start_with_admin(&Discovery::without_updates(), &[], None);
    assert!(balancer.admin_command("GROUP\r\n").starts_with("400 no group"));
    let proc = format!("/proc/{}", balancer.process_id());
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

/// Guards against an invalid section that is accepted, or whose error names neither the line nor the correction.
#[test]
fn an_invalid_section_is_reported_with_file_line_and_correction() {
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
    for (from, to, line, correction) in [
        ("\"a\", \"b\", \"c\"", "\"a\", \"b\"", 4, "name three or five"),
        ("span = \"6s\"", "span = \"6\"", 5, "needs a unit"),
        ("span = \"6s\"", "span = \"1ms\"", 5, "must be"),
        ("span = \"6s\"", "drift = 0.9", 5, "drift must be"),
        ("span = \"6s\"", "spam = \"6s\"", 5, "correct the key"),
        ("c = \"127.0.0.1:3\"", "", 6, "has no address here"),
    ] {
        let (accepted, text) = check(&good.replace(from, to));
        assert!(
            !accepted && text.contains(&format!(".toml:{line}:")) && text.contains(correction),
            "{to}: {text}"
        );
    }
    // The section `[failover]`, after a valid `[group]` and without one.
    let zones = |more: &str| {
        format!("{good}[failover]\nconnections = 100.0\nregions = {{ a = \"n\", b = \"s\" }}\n{more}")
    };
    assert!(check(&zones("stay = \"20s\"")).0, "{}", check(&zones("stay = \"20s\"")).1);
    for (text, line, correction) in [
        (zones("stay = \"1ms\""), 13, "stay must be"),
        (zones("fill = 2.0"), 13, "fill must be"),
        (zones("stat = \"20s\""), 13, "correct the key"),
        (zones("[[failover.distance]]\nfrom = \"a\"\nto = \"x\"\nis = 3"), 13, "is not in regions"),
        (zones("").replace(", b = \"s\"", ""), 12, "name two to"),
        ("[failover]\nconnections = 1.0\nregions = { a = \"n\", b = \"s\" }\n".into(), 1, "add one"),
    ] {
        let (accepted, error) = check(&text);
        assert!(
            !accepted && error.contains(&format!(".toml:{line}:")) && error.contains(correction),
            "{text}: {error}"
        );
    }
    std::fs::remove_file(file).unwrap();
}
