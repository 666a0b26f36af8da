//! Validation of a settings file; collects all faults.

use std::{fmt::Display, net::SocketAddr, ops::RangeInclusive, path::PathBuf, str::FromStr};

use oleander_core::Span;

use super::{
    BatchSettings, EntrySettings, Fault, LogSettings, RawBatchSettings, RawEntrySettings,
    RawLogSettings, RawSettings, Settings, SettingsError,
};

/// Accepted address lifetimes, in milliseconds.
const ADDRESS_TTL_MS: RangeInclusive<u64> = 100..=600_000;

/// Accepted group commit intervals, in milliseconds.
const COMMIT_INTERVAL_MS: RangeInclusive<u64> = 1..=1_000;

/// Accepted numbers of request log shards.
const SHARDS: RangeInclusive<u32> = 1..=1_024;

/// Accepted numbers of batch slots.
const SLOTS: RangeInclusive<u32> = 1..=65_536;

/// Accepted claim timeouts, in milliseconds.
const CLAIM_TIMEOUT_MS: RangeInclusive<u64> = 100..=3_600_000;

impl TryFrom<RawSettings> for Settings {
    type Error = SettingsError;

    fn try_from(raw: RawSettings) -> Result<Self, Self::Error> {
        let mut faults = Faults::default();
        let validated = validate(raw, &mut faults);
        match validated {
            Some(settings) if faults.0.is_empty() => Ok(settings),
            _ => Err(SettingsError::Faults(faults.0)),
        }
    }
}

/// Checks all fields before it returns at the first missing one, so that no fault is left out.
fn validate(raw: RawSettings, faults: &mut Faults) -> Option<Settings> {
    let host = faults.parse("host", &raw.host);
    let zone = faults.parse("zone", &raw.zone);
    let listen = faults.parse_address("listen", &raw.listen);
    let link = faults.parse_address("link", &raw.link);
    let admin = faults.parse_address("admin", &raw.admin);
    let platform = faults.parse_address("platform", &raw.platform);
    let link_key_file = faults.check_path("link_key_file", raw.link_key_file);
    let operator_key_file = faults.check_path("operator_key_file", raw.operator_key_file);
    let data_folder = raw.data_folder.map(|path| faults.check_path("data_folder", path));
    let log = validate_log(raw.log, faults);
    let entry = validate_entry(&raw.entry, faults);
    let batch = validate_batch(&raw.batch, faults);
    faults.check_distinct(&[("listen", listen), ("link", link), ("admin", admin)]);
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

fn validate_log(raw: RawLogSettings, faults: &mut Faults) -> LogSettings {
    let file = raw.file.map(|path| faults.check_path("log.file", path));
    LogSettings { json: raw.json, level: raw.level, file }
}

fn validate_entry(raw: &RawEntrySettings, faults: &mut Faults) -> EntrySettings {
    faults.check_range("entry.keep_addresses_ms", raw.keep_addresses_ms, ADDRESS_TTL_MS);
    faults.check_range("entry.commit_interval_ms", raw.commit_interval_ms, COMMIT_INTERVAL_MS);
    faults.check_range("entry.shards", raw.shards, SHARDS);
    EntrySettings {
        address_ttl: Span::from_millis(raw.keep_addresses_ms.min(*ADDRESS_TTL_MS.end())),
        commit_interval: Span::from_millis(raw.commit_interval_ms.min(*COMMIT_INTERVAL_MS.end())),
        shards: raw.shards,
        policy: raw.policy,
    }
}

fn validate_batch(raw: &RawBatchSettings, faults: &mut Faults) -> BatchSettings {
    faults.check_range("batch.slots", raw.slots, SLOTS);
    faults.check_range("batch.claim_ms", raw.claim_ms, CLAIM_TIMEOUT_MS);
    BatchSettings {
        slots: raw.slots,
        claim_timeout: Span::from_millis(raw.claim_ms.min(*CLAIM_TIMEOUT_MS.end())),
        policy: raw.policy,
    }
}

/// Collected faults.
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

    fn parse_address(&mut self, path: &str, text: &str) -> Option<SocketAddr> {
        let address = text.parse::<SocketAddr>().ok().filter(|a| a.port() != 0);
        if address.is_none() {
            self.add(path, format_args!("{text:?} is not an IP address with a port"));
        }
        address
    }

    fn check_path(&mut self, path: &str, text: String) -> PathBuf {
        if text.is_empty() {
            self.add(path, "path is empty");
        }
        PathBuf::from(text)
    }

    fn check_range<T>(&mut self, path: &str, value: T, range: RangeInclusive<T>)
    where
        T: PartialOrd + Display,
    {
        if !range.contains(&value) {
            let (min, max) = range.into_inner();
            self.add(path, format_args!("{value} is not within {min} to {max}"));
        }
    }

    fn check_distinct(&mut self, addresses: &[(&str, Option<SocketAddr>)]) {
        for (index, (path, address)) in addresses.iter().enumerate() {
            let earlier = addresses[..index].iter().find(|(_, a)| a.is_some() && a == address);
            if let Some((other, _)) = earlier {
                self.add(path, format_args!("same address as {other}"));
            }
        }
    }
}
