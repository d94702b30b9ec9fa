//! Requests on resting connections, in the moment in which the balancer ends these: is each answered?
#[path = "../common-2.rs"]
mod common;
use common::*;
use std::thread;
use std::time::Instant;

const SERVERS: usize = 9;
const ROUNDS: usize = 8;
const CLIENTS: usize = 10;
/// The balancer is held up from this moment after the clients came; it ends resting connections after 2.5 s.
const HELD_FROM: u64 = 2_430;
/// "a balancer that is held up for up to 0.15 s"
const HELD_FOR: u64 = 130;
/// When the clients send their request.
const SENT_AT: u64 = 2_460;
const DEADLINE: u64 = 4_800;

fn main() {
    run_case(play)
}

fn play(record: &Record) -> Vec<String> {
    let folder = Folder::new("8");
    let zones = ["manila", "cebu", "davao"];
    let name = |i: usize| format!("s-{:08x}", (i as u32 + 1).wrapping_mul(0x9e37_79b1));
    let servers: Vec<Server> = (0..SERVERS).map(|i| Server::start(&name(i), record)).collect();
    let discovery = Discovery::start(servers.iter().enumerate().map(|(i, s)| s.entry(zones[i % 3])).collect());
    let listen = free_address();
    let text = config("n0", listen, discovery.address, &discovery.whole(), &claims_settings(3, "manila"));
    let balancer = Balancer::start("n0", &folder.write("n0.json", &text), listen, &folder, &[]);
    if !balancer.wait_ready(ms(15_000)) {
        cannot_run("the balancer is not ready");
    }
    let (mut broken, mut counted) = (Vec::new(), 0);
    for round in 0..ROUNDS {
        let begun = Instant::now();
        let wait_until = |at: u64| thread::sleep(ms(at).saturating_sub(begun.elapsed()));
        let mut clients: Vec<(String, Client)> =
            (0..CLIENTS).filter_map(|_| Some((new_id(), Client::connect(listen).ok()?))).collect();
        record.say(format!("round {round}: {} clients have come and rest", clients.len()));
        wait_until(HELD_FROM);
        if trouble() {
            record.say("the balancer is held up");
            balancer.signal("STOP");
        }
        wait_until(SENT_AT);
        // A connection that was ended before its request was written is none that was taken.
        clients.retain_mut(|(id, client)| {
            let open = is_open(client);
            let line = format!("OPEN {id} key-{id} c=claim-watch,d={DEADLINE},g=file-{}", &id[..1]);
            let sent = open && client.send(&line).is_ok();
            record.say(format!("client {id}: {}", if sent { "sent its request" } else { "its connection was ended before" }));
            sent
        });
        if begun.elapsed() > ms(HELD_FROM + HELD_FOR - 10) {
            record.say("this machine was too slow in this round: it does not count");
            clients.clear();
        } else {
            counted += 1;
        }
        wait_until(HELD_FROM + HELD_FOR);
        if trouble() {
            balancer.signal("CONT");
            record.say("the balancer goes on");
        }
        for (id, client) in &mut clients {
            let got = client.line(ms(DEADLINE + 500));
            record.say(format!("client {id}: got {got:?}"));
            if !matches!(got, Got::Line(_)) {
                broken.push(format!("request {id} of round {round}, written to an open connection, got no answer: {got:?}"));
            }
        }
    }
    if counted == 0 {
        cannot_run("this machine was too slow in each round");
    }
    record.say(format!("{counted} of {ROUNDS} rounds count"));
    broken
}

/// Whether the connection has not been ended by the balancer, and nothing has come on it.
fn is_open(client: &Client) -> bool {
    let _ = client.stream.set_nonblocking(true);
    let peeked = client.stream.peek(&mut [0; 1]);
    let _ = client.stream.set_nonblocking(false);
    peeked.is_err_and(|e| e.kind() == std::io::ErrorKind::WouldBlock)
}
