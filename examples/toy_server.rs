//! Toy servers to try the balancer with: a discovery server and two echoing session servers on loopback.
//!
//! Start it, then the balancer with `LB_CONFIG=examples/try/config.json`; see README.md.

use std::io::{BufRead, BufReader, Write};
use std::net::{TcpListener, TcpStream};
use std::thread;
use std::time::Duration;

/// Accepts connections on `address` and serves each in a separate thread.
fn listen(address: &'static str, serve: fn(&'static str, TcpStream) -> std::io::Result<()>) {
    let listener = TcpListener::bind(address).unwrap_or_else(|e| panic!("cannot listen on {address}: {e}"));
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            thread::spawn(move || serve(address, stream));
        }
    });
    println!("listening on {address}");
}

/// Answers a discovery watch with the full list, then sends an empty line every two seconds as a heartbeat.
fn serve_discovery(_: &'static str, mut stream: TcpStream) -> std::io::Result<()> {
    let mut reader = BufReader::new(stream.try_clone()?);
    let mut line = String::new();
    while reader.read_line(&mut line)? > 2 {
        line.clear();
    }
    let entry = |name: &str, port: u16| {
        format!(
            r#"{{"name":"{name}","address":"127.0.0.1:{port}","zone":"here","group":0,"status":"ready","weight":1.0,"since_ms":0}}"#
        )
    };
    let list = [entry("s-00000001", 3101), entry("s-00000002", 3102)].join(",");
    let list = format!("{{\"index\":1,\"snapshot\":true,\"endpoints\":[{list}]}}\n");
    write!(stream, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n{:x}\r\n{list}\r\n", list.len())?;
    loop {
        thread::sleep(Duration::from_secs(2));
        stream.write_all(b"1\r\n\n\r\n")?;
    }
}

/// Answers `PING`, and `OPEN` with `UP`; then echoes every line until `bye`.
fn serve_session(address: &'static str, mut stream: TcpStream) -> std::io::Result<()> {
    let mut lines = BufReader::new(stream.try_clone()?).lines();
    let first = lines.next().transpose()?.unwrap_or_default();
    if !first.starts_with("OPEN ") {
        return stream.write_all(if first == "PING" { b"PONG\r\n" } else { b"SYNTAX\r\n" });
    }
    println!("{address}: {first}");
    stream.write_all(b"UP 1\r\n")?;
    for line in lines {
        match line?.as_str() {
            "bye" => return stream.write_all(b"BYE\r\n"),
            line => write!(stream, "{line} (from {address})\r\n")?,
        }
    }
    Ok(())
}

fn main() {
    listen("127.0.0.1:8500", serve_discovery);
    listen("127.0.0.1:3101", serve_session);
    listen("127.0.0.1:3102", serve_session);
    loop {
        thread::park();
    }
}
