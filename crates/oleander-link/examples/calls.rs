//! Measures the latency and the CPU time of calls over loopback.
//!
//! Caller and server run in this process, so the CPU time of a call includes both.

#![allow(clippy::print_stdout, reason = "prints its measurements")]

use std::{
    fs,
    time::{Duration, Instant, SystemTime, UNIX_EPOCH},
};

use oleander_core::{Span, Time};
use oleander_link::{Link, LinkError, LinkKey};

const ADDRESS: &str = "127.0.0.1:47312";
const TIMEOUT: Duration = Duration::from_secs(10);
const SEQUENTIAL_CALLS: usize = 5_000;
const CALLERS: usize = 64;
const CALLS_PER_CALLER: usize = 500;
const PAYLOAD_BYTES: usize = 1_024;

/// Resolution of the CPU times in `/proc/self/stat`.
const TICKS_PER_SECOND: f64 = 100.0;

#[tokio::main]
async fn main() -> Result<(), LinkError> {
    let key = LinkKey::from_secret(b"a shared secret of the example")?;
    let host = "host-1".parse().map_err(|_| LinkError::Key("host".to_owned()))?;
    let link = Link::new(host, key, now);
    let _server = link.serve(ADDRESS, CALLERS, |_, text: Vec<u8>| async move { text.len() })?;
    measure_sequential(&link).await?;
    measure_concurrent(&link).await
}

async fn measure_sequential(link: &Link) -> Result<(), LinkError> {
    let mut micros = Vec::with_capacity(SEQUENTIAL_CALLS);
    for _ in 0..SEQUENTIAL_CALLS {
        let start = Instant::now();
        call(link).await?;
        micros.push(start.elapsed().as_micros());
    }
    micros.sort_unstable();
    let percentile = |percent: usize| micros[SEQUENTIAL_CALLS * percent / 100];
    println!("sequential: p50 {} us, p99 {} us", percentile(50), percentile(99));
    Ok(())
}

async fn measure_concurrent(link: &Link) -> Result<(), LinkError> {
    let (start, cpu_before) = (Instant::now(), cpu_seconds());
    let callers: Vec<_> = (0..CALLERS)
        .map(|_| {
            let link = link.clone();
            tokio::spawn(async move {
                for _ in 0..CALLS_PER_CALLER {
                    call(&link).await?;
                }
                Ok::<(), LinkError>(())
            })
        })
        .collect();
    for caller in callers {
        caller.await.map_err(|e| LinkError::NoResponse(e.to_string()))??;
    }
    let calls = (CALLERS * CALLS_PER_CALLER) as f64;
    let cpu_time = cpu_seconds() - cpu_before;
    let rate = calls / start.elapsed().as_secs_f64();
    println!(
        "{CALLERS} callers: {rate:.0} calls/s, {:.1} us CPU time per call",
        cpu_time * 1e6 / calls
    );
    Ok(())
}

async fn call(link: &Link) -> Result<(), LinkError> {
    let _: usize = link.call(ADDRESS, &vec![0_u8; PAYLOAD_BYTES], TIMEOUT).await?;
    Ok(())
}

/// User and system CPU time of this process.
fn cpu_seconds() -> f64 {
    let stat = fs::read_to_string("/proc/self/stat").unwrap_or_default();
    let after_name = stat.rsplit(") ").next().unwrap_or_default();
    let ticks = after_name.split(' ').skip(11).take(2);
    ticks.filter_map(|text| text.parse::<f64>().ok()).sum::<f64>() / TICKS_PER_SECOND
}

fn now() -> Time {
    let elapsed = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    Time(Span::from(elapsed).0)
}
