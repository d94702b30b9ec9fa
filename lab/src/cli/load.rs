//! `oakdeal-lab load`: generates load on a balancer over the platform's line protocol.

use clap::Args;
use hdrhistogram::Histogram;
use std::cell::RefCell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};
use tokio::io::{AsyncBufReadExt, AsyncWriteExt, BufReader};
use tokio::net::TcpStream;
use tokio::task::{spawn_local, LocalSet};

/// Opens connections to a balancer and measures their times
#[derive(Args, Debug)]
pub struct Load {
    /// Address of the balancer; loopback only
    address: SocketAddr,
    /// Number of connections at a time
    #[arg(long, default_value_t = 100)]
    clients: usize,
    /// Duration in seconds, at most an hour
    #[arg(long, default_value_t = 10, value_parser = clap::value_parser!(u64).range(1..=3600))]
    seconds: u64,
    /// Lifetime of a connection in milliseconds
    #[arg(long, default_value_t = 5_000)]
    life: u64,
    /// Interval between two lines of a connection in milliseconds
    #[arg(long, default_value_t = 2_000)]
    beat: u64,
    /// Class of the requests
    #[arg(long, default_value = "claim-watch")]
    class: String,
    /// Team of the requests
    #[arg(long)]
    team: Option<String>,
}

/// Measurements of all clients.
struct Measurements {
    requests: u64,
    up: u64,
    busy: u64,
    other: u64,
    moved: u64,
    broken: u64,
    /// Time from the request to `UP`, in microseconds.
    to_up: Histogram<u64>,
    /// Time until a line is echoed, in microseconds.
    echo: Histogram<u64>,
}

/// Delay before a client connects again after a failed connection.
const RECONNECT_DELAY: Duration = Duration::from_millis(100);
/// Delay before a refused client's next request, in milliseconds, if the answer gives none.
const DEFAULT_RETRY_AFTER_MS: u64 = 200;

impl Load {
    /// Runs the command. Returns whether a request was served and all others were served or refused.
    pub fn run(&self) -> Result<bool, String> {
        if !self.address.ip().is_loopback() {
            return Err(format!("{} is not a loopback address: others are not allowed", self.address));
        }
        let histogram = || Histogram::new_with_bounds(1, 60_000_000, 3).map_err(|e| e.to_string());
        let measurements = Measurements {
            requests: 0,
            up: 0,
            busy: 0,
            other: 0,
            moved: 0,
            broken: 0,
            to_up: histogram()?,
            echo: histogram()?,
        };
        let measurements = Rc::new(RefCell::new(measurements));
        let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
        let end = Instant::now() + Duration::from_secs(self.seconds);
        LocalSet::new().block_on(&runtime.map_err(|e| e.to_string())?, async {
            let request = |c: usize| {
                let team = self.team.as_ref().map_or(String::new(), |t| format!(",t={t}"));
                format!("k{c} c={},d=5000{team}", self.class)
            };
            let (lifetime, line_interval) =
                (Duration::from_millis(self.life), Duration::from_millis(self.beat.max(1)));
            let tasks: Vec<_> = (0..self.clients)
                .map(|c| {
                    spawn_local(run_client(
                        self.address,
                        c,
                        request(c),
                        lifetime,
                        line_interval,
                        end,
                        measurements.clone(),
                    ))
                })
                .collect();
            for task in tasks {
                let _ = task.await;
            }
        });
        let m = measurements.borrow();
        let ms = |h: &Histogram<u64>, q: f64| h.value_at_quantile(q) as f64 / 1000.0;
        println!(
            "asked {}, up {}, busy {}, other answers {}, moved {}, broken {}",
            m.requests, m.up, m.busy, m.other, m.moved, m.broken
        );
        for (name, h) in [("time to UP", &m.to_up), ("time of a line", &m.echo)] {
            println!(
                "{name}, ms: 50% {:.2}, 90% {:.2}, 99% {:.2}, most {:.2}",
                ms(h, 0.5),
                ms(h, 0.9),
                ms(h, 0.99),
                ms(h, 1.0)
            );
        }
        Ok(m.other == 0 && m.up > 0)
    }
}

/// Runs one client until the end: it opens one connection after the other.
async fn run_client(
    address: SocketAddr,
    c: usize,
    request: String,
    lifetime: Duration,
    line_interval: Duration,
    end: Instant,
    measurements: Rc<RefCell<Measurements>>,
) {
    for n in 0u64.. {
        if Instant::now() >= end {
            return;
        }
        let Ok(stream) = TcpStream::connect(address).await else {
            measurements.borrow_mut().other += 1;
            tokio::time::sleep(RECONNECT_DELAY).await;
            continue;
        };
        let _ = stream.set_nodelay(true);
        let (read, mut write) = stream.into_split();
        let mut lines = BufReader::new(read).lines();
        let requested_at = Instant::now();
        measurements.borrow_mut().requests += 1;
        let _ = write.write_all(format!("OPEN load{c}-{n} {request}\r\n").as_bytes()).await;
        let answer = lines.next_line().await.ok().flatten().unwrap_or_default();
        if !answer.starts_with("UP") {
            let ms =
                answer.strip_prefix("BUSY ").and_then(|ms| ms.parse().ok()).unwrap_or(DEFAULT_RETRY_AFTER_MS);
            let busy = answer.starts_with("BUSY");
            {
                let mut m = measurements.borrow_mut();
                (m.busy, m.other) = (m.busy + u64::from(busy), m.other + u64::from(!busy));
            }
            tokio::time::sleep(Duration::from_millis(ms)).await;
            continue;
        }
        {
            let mut m = measurements.borrow_mut();
            m.up += 1;
            m.to_up.saturating_record(requested_at.elapsed().as_micros() as u64);
        }
        let until = (Instant::now() + lifetime).min(end);
        let mut line_timer = tokio::time::interval(line_interval);
        // Time at which the line was sent that has not been echoed yet.
        let mut sent = None;
        loop {
            tokio::select! {
                () = tokio::time::sleep_until(until.into()) => break,
                _ = line_timer.tick() => {
                    if sent.is_none() {
                        sent = Some(Instant::now());
                        if write.write_all(b"ping\r\n").await.is_err() {
                            measurements.borrow_mut().broken += 1;
                            break;
                        }
                    }
                }
                line = lines.next_line() => match line.ok().flatten().as_deref() {
                    Some("MOVE") => {
                        measurements.borrow_mut().moved += 1;
                        break;
                    }
                    Some(line) if line.starts_with("LOAD") => {}
                    Some(_) => if let Some(at) = sent.take() {
                        measurements.borrow_mut().echo.saturating_record(at.elapsed().as_micros() as u64);
                    },
                    None => {
                        measurements.borrow_mut().broken += 1;
                        break;
                    }
                },
            }
        }
    }
}
