//! Measures the CPU time of a call over loopback, by request size, call rate and number of
//! connections, and the memory of connections.
//!
//! Caller and server run in this process, so the CPU time includes both.

#![allow(clippy::print_stdout, reason = "prints its measurements")]

#[path = "../../../scripts/slopes/meter.rs"]
mod meter;

use std::{
    net::TcpListener,
    time::{Duration, SystemTime, UNIX_EPOCH},
};

use meter::{point, processor_time, resident_bytes};
use oleander_core::{Span, Time};
use oleander_link::{Link, LinkKey, Server};

const SECRET: &[u8] = b"a shared secret of the example";
const TIMEOUT: Duration = Duration::from_secs(20);
const REQUEST_BYTES: [usize; 5] = [64, 1_024, 4_096, 16_384, 65_536];
const PEER_COUNTS: [usize; 4] = [8, 50, 100, 200];
const CALLS: usize = 3_000;
/// Call rates of mostly idle processes, per second.
const CALL_RATES: [usize; 4] = [50, 100, 200, 400];
const RATE_SECONDS: usize = 4;

fn now() -> Time {
    let elapsed = SystemTime::now().duration_since(UNIX_EPOCH).expect("clock is after 1970");
    Time(Span::from(elapsed).0)
}

fn link(host: &str) -> Link {
    Link::new(
        host.parse().expect("valid host id"),
        LinkKey::from_secret(SECRET).expect("valid key"),
        now,
    )
}

fn serve(workers: usize) -> (String, Server) {
    let listener = TcpListener::bind("127.0.0.1:0").expect("free port");
    let address = listener.local_addr().expect("local address").to_string();
    drop(listener);
    let handler = |_, payload: Vec<u8>| async move { payload.len() as u64 };
    let server = link("server").serve(&address, workers, handler).expect("server listens");
    (address, server)
}

async fn call(link: &Link, address: &str, payload: &Vec<u8>) {
    let response: Result<u64, _> = link.call(address, payload, TIMEOUT).await;
    assert_eq!(response, Ok(payload.len() as u64));
}

#[tokio::main]
async fn main() {
    println!(
        "# link: x = request size in bytes; y = CPU time per call, both ends, over {CALLS} calls"
    );
    let (address, _server) = serve(16);
    let caller = link("caller");
    for size in REQUEST_BYTES {
        let payload = vec![7; size];
        call(&caller, &address, &payload).await;
        let before = processor_time();
        for _ in 0..CALLS {
            call(&caller, &address, &payload).await;
        }
        let nanos = (processor_time() - before).as_nanos() as f64;
        point("link.call_us", size, nanos / 1e3 / CALLS as f64);
    }
    println!("# link: x = calls per second, evenly spaced, 256 B; y = CPU time per call");
    let payload = vec![7; 256];
    for rate in CALL_RATES {
        let mut interval = tokio::time::interval(Duration::from_secs(1) / rate as u32);
        let before = processor_time();
        for _ in 0..rate * RATE_SECONDS {
            interval.tick().await;
            call(&caller, &address, &payload).await;
        }
        let nanos = (processor_time() - before).as_nanos() as f64;
        point("link.paced_call_us", rate, nanos / 1e3 / (rate * RATE_SECONDS) as f64);
    }
    println!("# link: x = connections to one server, both ends; y = memory, CPU time per call");
    for peers in PEER_COUNTS {
        let before = resident_bytes();
        let (address, server) = serve(16);
        let links: Vec<Link> = (0..peers).map(|n| link(&format!("host-{n}"))).collect();
        for caller in &links {
            call(caller, &address, &payload).await;
        }
        point("link.connections.memory_bytes", peers, resident_bytes() - before);
        let before = processor_time();
        for n in 0..CALLS {
            call(&links[n % peers], &address, &payload).await;
        }
        let nanos = (processor_time() - before).as_nanos() as f64;
        point("link.connections.call_us", peers, nanos / 1e3 / CALLS as f64);
        drop(server);
    }
}
