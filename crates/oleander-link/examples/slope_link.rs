//! Cost of a call between two links over loopback, by size of the request and by connections.
//!
//! Both ends run in this process, so the processor time is that of caller and server together.

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
const SIZES: [usize; 5] = [64, 1_024, 4_096, 16_384, 65_536];
const PEERS: [usize; 4] = [8, 50, 100, 200];
const CALLS: usize = 3_000;
/// Calls a second while the pace is that of idle processes.
const PACED: [usize; 4] = [50, 100, 200, 400];
const PACED_SECONDS: usize = 4;

fn now() -> Time {
    let since = SystemTime::now().duration_since(UNIX_EPOCH).expect("a clock after 1970");
    Time(Span::from(since).0)
}

fn link(host: &str) -> Link {
    Link::new(host.parse().expect("id"), LinkKey::from_secret(SECRET).expect("key"), now)
}

fn serve(workers: usize) -> (String, Server) {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
    let address = listener.local_addr().expect("address").to_string();
    drop(listener);
    let answer = |_, payload: Vec<u8>| async move { payload.len() as u64 };
    let server = link("server").serve(&address, workers, answer).expect("listens");
    (address, server)
}

async fn call(link: &Link, address: &str, payload: &Vec<u8>) {
    let answer: Result<u64, _> = link.call(address, payload, TIMEOUT).await;
    assert_eq!(answer, Ok(payload.len() as u64));
}

#[tokio::main]
async fn main() {
    println!("# link: x = bytes of the request; {CALLS} calls one after another, both ends");
    let (address, _server) = serve(16);
    let caller = link("caller");
    for size in SIZES {
        let payload = vec![7; size];
        call(&caller, &address, &payload).await;
        let before = processor_time();
        for _ in 0..CALLS {
            call(&caller, &address, &payload).await;
        }
        let nanos = (processor_time() - before).as_nanos() as f64;
        point("link.call_us", size, nanos / 1e3 / CALLS as f64);
    }
    println!("# link: x = calls a second, evenly spaced, 256 B; y = processor time a call");
    let payload = vec![7; 256];
    for rate in PACED {
        let mut ticks = tokio::time::interval(Duration::from_secs(1) / rate as u32);
        let before = processor_time();
        for _ in 0..rate * PACED_SECONDS {
            ticks.tick().await;
            call(&caller, &address, &payload).await;
        }
        let nanos = (processor_time() - before).as_nanos() as f64;
        point("link.paced_call_us", rate, nanos / 1e3 / (rate * PACED_SECONDS) as f64);
    }
    println!("# link: x = connections to one server, both ends in this process");
    for peers in PEERS {
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
