//! Turns a settings file into checked settings, listing every fault.

use std::{fmt::Display, net::SocketAddr, ops::RangeInclusive, path::PathBuf, str::FromStr};

use oleander_core::Span;

use super::{
    BatchSettings, EntrySettings, Fault, LogSettings, RawBatchSettings, RawEntrySettings,
    RawLogSettings, RawSettings, Settings, SettingsError,
};

/// Accepted times to keep addresses, in milliseconds.
const KEEP_ADDRESSES_MS: RangeInclusive<u64> = 100..=600_000;

/// Accepted group commit intervals, in milliseconds.
const COMMIT_INTERVAL_MS: RangeInclusive<u64> = 1..=1_000;

/// Accepted numbers of request log shards.
const SHARDS: RangeInclusive<u32> = 1..=1_024;

/// Accepted numbers of batch slots.
const SLOTS: RangeInclusive<u32> = 1..=65_536;

/// Accepted claim times, in milliseconds.
const CLAIM_MS: RangeInclusive<u64> = 100..=3_600_000;

impl TryFrom<RawSettings> for Settings {
    type Error = SettingsError;

    fn try_from(raw: RawSettings) -> Result<Self, Self::Error> {
        let mut faults = Faults::default();
        let checked = check(raw, &mut faults);
        match checked {
            Some(settings) if faults.0.is_empty() => Ok(settings),
            _ => Err(SettingsError::Faults(faults.0)),
        }
    }
}

/// Checks each field before the first missing one ends the function.
fn check(raw: RawSettings, faults: &mut Faults) -> Option<Settings> {
    let host = faults.parse("host", &raw.host);
    let zone = faults.parse("zone", &raw.zone);
    let listen = faults.address("listen", &raw.listen);
    let link = faults.address("link", &raw.link);
    let admin = faults.address("admin", &raw.admin);
    let platform = faults.address("platform", &raw.platform);
    let link_key_file = faults.path("link_key_file", raw.link_key_file);
    let operator_key_file = faults.path("operator_key_file", raw.operator_key_file);
    let data_folder = raw.data_folder.map(|path| faults.path("data_folder", path));
    let log = check_log(raw.log, faults);
    let entry = check_entry(&raw.entry, faults);
    let batch = check_batch(&raw.batch, faults);
    faults.distinct(&[("listen", listen), ("link", link), ("admin", admin)]);
    Some(Settings {
        host: host?,
        zone: zone?,
        role: raw.role,
        listen: listen?,
        link: link?,
        admin: admin?,
        platform: platform?,
        link_key_file,
        operator_key_file,
        data_folder,
        log,
        entry,
        batch,
    })
}

fn check_log(raw: RawLogSettings, faults: &mut Faults) -> LogSettings {
    let file = raw.file.map(|path| faults.path("log.file", path));
    LogSettings { json: raw.json, level: raw.level, file }
}

fn check_entry(raw: &RawEntrySettings, faults: &mut Faults) -> EntrySettings {
    faults.range("entry.keep_addresses_ms", raw.keep_addresses_ms, KEEP_ADDRESSES_MS);
    faults.range("entry.commit_interval_ms", raw.commit_interval_ms, COMMIT_INTERVAL_MS);
    faults.range("entry.shards", raw.shards, SHARDS);
    EntrySettings {
        address_ttl: Span::from_millis(raw.keep_addresses_ms.min(*KEEP_ADDRESSES_MS.end())),
        commit_interval: Span::from_millis(raw.commit_interval_ms.min(*COMMIT_INTERVAL_MS.end())),
        shards: raw.shards,
        policy: raw.policy,
    }
}

fn check_batch(raw: &RawBatchSettings, faults: &mut Faults) -> BatchSettings {
    faults.range("batch.slots", raw.slots, SLOTS);
    faults.range("batch.claim_ms", raw.claim_ms, CLAIM_MS);
    BatchSettings {
        slots: raw.slots,
        claim_timeout: Span::from_millis(raw.claim_ms.min(*CLAIM_MS.end())),
        policy: raw.policy,
    }
}

/// Faults collected so far.
#[derive(Default)]
struct Faults(Vec<Fault>);

impl Faults {
    fn add(&mut self, path: &str, reason: impl Display) {
        self.0.push(Fault { path: path.to_owned(), reason: reason.to_string() });
    }

    fn parse<T>(&mut self, path: &str, text: &str) -> Option<T>
    where
        T: FromStr<Err: Display>,
    {
        text.parse().map_err(|error: T::Err| self.add(path, error)).ok()
    }

    fn address(&mut self, path: &str, text: &str) -> Option<SocketAddr> {
        let address = text.parse::<SocketAddr>().ok().filter(|a| a.port() != 0);
        if address.is_none() {
            self.add(path, format_args!("{text:?} is not an IP address with a port"));
        }
        address
    }

    fn path(&mut self, path: &str, text: String) -> PathBuf {
        if text.is_empty() {
            self.add(path, "path is empty");
        }
        PathBuf::from(text)
    }

    fn range<T>(&mut self, path: &str, value: T, range: RangeInclusive<T>)
    where
        T: PartialOrd + Display,
    {
        if !range.contains(&value) {
            let (low, high) = range.into_inner();
            self.add(path, format_args!("{value} is not within {low} to {high}"));
        }
    }

    fn distinct(&mut self, addresses: &[(&str, Option<SocketAddr>)]) {
        for (n, (path, address)) in addresses.iter().enumerate() {
            let earlier = addresses[..n].iter().find(|(_, a)| a.is_some() && a == address);
            if let Some((other, _)) = earlier {
                self.add(path, format_args!("same address as {other}"));
            }
        }
    }
}
