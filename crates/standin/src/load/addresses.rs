//! Selects the addresses of each caller, and caches those that an entry assigned.

use std::{
    collections::HashMap,
    time::{Duration, Instant},
};

use bytes::Bytes;
use http::{Request, header};
use parking_lot::Mutex;
use serde::{Deserialize, Serialize};

use crate::client::{ClientError, HttpClient};

/// Response body of `GET /v1/addresses`.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
struct AddressResponse {
    addresses: Vec<String>,
    keep_ms: u64,
}

#[derive(Debug, Clone)]
struct CachedAddresses {
    addresses: Vec<String>,
    expires_at: Instant,
}

/// Addresses per caller: the configured ones in rotation, or fetched from an entry and cached.
#[derive(Debug)]
pub struct AddressBook {
    configured: Vec<String>,
    discover: bool,
    cached: Mutex<HashMap<u32, CachedAddresses>>,
}

impl AddressBook {
    /// With `discover`, the addresses of each caller are fetched from the `configured` ones.
    #[must_use]
    pub fn new(configured: Vec<String>, discover: bool) -> Self {
        Self { configured, discover, cached: Mutex::default() }
    }

    /// Addresses of `caller` at `now`, in order of preference.
    ///
    /// If no entry responds, returns the expired cached addresses, or else the configured ones.
    pub async fn addresses(
        &self,
        client: &HttpClient,
        key: &str,
        caller: u32,
        now: Instant,
    ) -> Vec<String> {
        if !self.discover {
            return self.rotated(caller);
        }
        let cached = self.cached.lock().get(&caller).cloned();
        if let Some(cached) = cached.as_ref().filter(|cached| cached.expires_at > now) {
            return cached.addresses.clone();
        }
        for address in self.rotated(caller) {
            if let Ok(response) = fetch_addresses(client, key, &address).await {
                let expires_at = now + Duration::from_millis(response.keep_ms);
                let entry = CachedAddresses { addresses: response.addresses.clone(), expires_at };
                self.cached.lock().insert(caller, entry);
                return response.addresses;
            }
        }
        cached.map_or_else(|| self.rotated(caller), |cached| cached.addresses)
    }

    fn rotated(&self, caller: u32) -> Vec<String> {
        let mut addresses = self.configured.clone();
        let first = caller as usize % addresses.len().max(1);
        addresses.rotate_left(first);
        addresses
    }
}

async fn fetch_addresses(
    client: &HttpClient,
    key: &str,
    address: &str,
) -> Result<AddressResponse, ClientError> {
    let request = Request::get(format!("http://{address}/v1/addresses"))
        .header(header::AUTHORIZATION, format!("Bearer {key}"))
        .body(Bytes::new())
        .map_err(|error| ClientError::Request(error.to_string()))?;
    client.call(request).await?.json()
}
