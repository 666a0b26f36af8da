//! Which entry addresses a caller uses, and for how long.

use std::{
    collections::HashMap,
    time::{Duration, Instant},
};

use bytes::Bytes;
use http::{Request, header};
use parking_lot::Mutex;
use serde::{Deserialize, Serialize};

use crate::client::{ClientError, HttpClient};

/// Body of `GET /v1/addresses`.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
struct AddressAnswer {
    addresses: Vec<String>,
    keep_ms: u64,
}

#[derive(Debug, Clone)]
struct KeptAnswer {
    addresses: Vec<String>,
    until: Instant,
}

/// Addresses by caller: given ones in turn, or asked for and kept.
#[derive(Debug)]
pub struct AddressBook {
    given: Vec<String>,
    ask: bool,
    kept: Mutex<HashMap<u32, KeptAnswer>>,
}

impl AddressBook {
    /// A book of `given` addresses; with `ask`, they are only asked which ones to use.
    #[must_use]
    pub fn new(given: Vec<String>, ask: bool) -> Self {
        Self { given, ask, kept: Mutex::default() }
    }

    /// The addresses that `caller` uses at `now`, in order of preference.
    pub async fn addresses(
        &self,
        client: &HttpClient,
        key: &str,
        caller: u32,
        now: Instant,
    ) -> Vec<String> {
        if !self.ask {
            return self.rotated(caller);
        }
        let kept = self.kept.lock().get(&caller).cloned();
        if let Some(kept) = kept.as_ref().filter(|kept| kept.until > now) {
            return kept.addresses.clone();
        }
        for address in self.rotated(caller) {
            if let Ok(answer) = ask_addresses(client, key, &address).await {
                let until = now + Duration::from_millis(answer.keep_ms);
                let fresh = KeptAnswer { addresses: answer.addresses.clone(), until };
                self.kept.lock().insert(caller, fresh);
                return answer.addresses;
            }
        }
        kept.map_or_else(|| self.rotated(caller), |kept| kept.addresses)
    }

    fn rotated(&self, caller: u32) -> Vec<String> {
        let mut addresses = self.given.clone();
        let first = caller as usize % addresses.len().max(1);
        addresses.rotate_left(first);
        addresses
    }
}

async fn ask_addresses(
    client: &HttpClient,
    key: &str,
    address: &str,
) -> Result<AddressAnswer, ClientError> {
    let request = Request::get(format!("http://{address}/v1/addresses"))
        .header(header::AUTHORIZATION, format!("Bearer {key}"))
        .body(Bytes::new())
        .map_err(|error| ClientError::Request(error.to_string()))?;
    client.call(request).await?.json()
}
