//! Platform stand-in, called through the system's own client.

#![allow(clippy::unwrap_used)]

mod common;

use std::time::Duration;

use bytes::Bytes;
use common::{set_faults, wait_until};
use http::{Method, StatusCode};
use oleander_core::Revision;
use oleander_platform::{Created, ObjectStore as _, Platform as _, PlatformError, Updated};
use serde_json::json;
use standin::{
    client::HttpClient,
    platform::{Faults, Options, Platform},
    server::Server,
};

const SHORT_TIMEOUT: Duration = Duration::from_millis(200);

struct Fixture {
    base: String,
    platform: Platform,
    server: Server,
    store: oleander_platform::HttpPlatform,
    client: HttpClient,
}

async fn start() -> Fixture {
    let platform = Platform::new(Options::default());
    let server_platform = platform.clone();
    let server = Server::start(|listener| server_platform.serve(listener)).await.unwrap();
    let base = format!("http://{}", server.address());
    let store = oleander_platform::HttpPlatform::new(&server.address().to_string());
    Fixture { base, platform, server, store, client: HttpClient::default() }
}

#[tokio::test]
async fn writes_need_a_matching_precondition() {
    let Fixture { store, .. } = &start().await;
    let first = store.create("a/b", Bytes::from("1")).await.unwrap();
    assert_eq!(first, Created::New(Revision(1)));
    assert_eq!(store.create("a/b", Bytes::from("2")).await.unwrap(), Created::Exists);
    let updated = store.update("a/b", Bytes::from("3"), Revision(1)).await.unwrap();
    assert_eq!(updated, Updated::Done(Revision(2)));
    let stale = store.update("a/b", Bytes::from("4"), Revision(1)).await.unwrap();
    assert_eq!(stale, Updated::Stale(Some(Revision(2))));
    assert_eq!(store.get("a/b").await.unwrap().unwrap().body, Bytes::from("3"));
    let missing = store.update("a/c", Bytes::new(), Revision(1)).await.unwrap();
    assert_eq!(missing, Updated::Stale(None));
}

#[tokio::test]
async fn values_above_the_limit_are_rejected() {
    let Fixture { store, .. } = &start().await;
    let limit = 1024 * 1024;
    assert!(store.create("full", Bytes::from(vec![0; limit])).await.is_ok());
    for size in [limit + 1, 3 * limit] {
        let rejected = store.create("over", Bytes::from(vec![0; size])).await;
        assert!(matches!(rejected, Err(PlatformError::Rejected(_))), "{rejected:?}");
    }
    assert_eq!(store.get("over").await.unwrap(), None);
}

#[tokio::test]
async fn deletes_are_conditional() {
    let Fixture { store, base, client, .. } = &start().await;
    store.create("k", Bytes::new()).await.unwrap();
    let delete = async |revision: &str| {
        let request = http::Request::delete(format!("{base}/v1/objects/k"))
            .header("if-match", revision)
            .body(Bytes::new())
            .unwrap();
        client.call(request).await.unwrap().status
    };
    assert_eq!(delete("9").await, StatusCode::PRECONDITION_FAILED);
    assert_eq!(delete("1").await, StatusCode::NO_CONTENT);
    assert_eq!(delete("1").await, StatusCode::NOT_FOUND);
}

#[tokio::test]
async fn pages_of_a_listing_have_no_gap_or_overlap() {
    let Fixture { store, .. } = &start().await;
    for key in ["a", "p/1", "p/2", "p/3", "q"] {
        store.create(key, Bytes::from(key)).await.unwrap();
    }
    let first = store.list("p/", "", 2).await.unwrap();
    let second = store.list("p/", &first.objects[1].key, 2).await.unwrap();
    assert!(first.more && !second.more);
    let keys: Vec<&str> =
        first.objects.iter().chain(&second.objects).map(|object| object.key.as_str()).collect();
    assert_eq!(keys, ["p/1", "p/2", "p/3"]);
}

#[tokio::test]
async fn a_write_with_a_lost_response_takes_effect() {
    let Fixture { store, platform, .. } = &start().await;
    platform.set_faults(Faults { lose_answers: 1, ..Faults::default() });
    let lost = store.create("k", Bytes::from("v")).await.unwrap_err();
    assert!(lost.may_have_written());
    assert_eq!(store.get("k").await.unwrap().unwrap().body, Bytes::from("v"));
    assert_eq!(store.create("k", Bytes::from("w")).await.unwrap(), Created::Exists);
}

#[tokio::test]
async fn an_outage_has_no_effect() {
    let Fixture { store, platform, .. } = &start().await;
    platform.set_faults(Faults { down: true, ..Faults::default() });
    assert!(store.create("k", Bytes::new()).await.is_err());
    platform.set_faults(Faults { silent: true, ..Faults::default() });
    let silent = tokio::time::timeout(SHORT_TIMEOUT, store.create("k", Bytes::new())).await;
    assert!(silent.is_err());
    platform.set_faults(Faults::default());
    assert_eq!(store.get("k").await.unwrap(), None);
}

#[tokio::test]
async fn a_delayed_write_takes_effect_after_its_client_disconnects() {
    let Fixture { store, platform, .. } = &start().await;
    platform.set_faults(Faults { delay_ms: 2_000, ..Faults::default() });
    let response = tokio::time::timeout(SHORT_TIMEOUT, store.create("k", Bytes::new())).await;
    assert!(response.is_err());
    platform.set_faults(Faults::default());
    wait_until(async || store.get("k").await.unwrap().is_some()).await;
}

#[tokio::test]
async fn watches_report_changes_below_the_prefix() {
    let Fixture { store, platform, .. } = &start().await;
    let revision = store.create("w/1", Bytes::new()).await.unwrap();
    assert_eq!(revision, Created::New(Revision(1)));
    assert_eq!(store.changed("w/", Revision(0)).await.unwrap(), Revision(1));
    let (changed, _) = tokio::join!(store.changed("w/", Revision(1)), async {
        wait_until(async || platform.stats().watching == 1).await;
        store.create("v/1", Bytes::new()).await.unwrap();
        store.create("w/2", Bytes::new()).await.unwrap();
    });
    assert_eq!(changed.unwrap(), Revision(3));
    wait_until(async || platform.stats().watching == 0).await;
}

#[tokio::test]
async fn a_watch_gap_omits_a_change() {
    let Fixture { store, platform, .. } = &start().await;
    platform.set_faults(Faults { watch_gap: 1, ..Faults::default() });
    store.create("w/1", Bytes::new()).await.unwrap();
    store.create("w/2", Bytes::new()).await.unwrap();
    assert_eq!(store.changed("w/", Revision(0)).await.unwrap(), Revision(2));
}

#[tokio::test]
async fn the_list_of_hosts_lags() {
    let Fixture { store, platform, base, client, .. } = &start().await;
    let host = json!({
        "name": "t1", "role": "target", "zone": "junin", "address": "127.0.0.1:1", "state": "live",
    });
    platform.set_faults(Faults { hosts_lag_ms: 3_600_000, ..Faults::default() });
    let url = format!("{base}/v1/hosts/t1");
    let response = client.send_json(Method::PUT, &url, &host).await.unwrap();
    assert_eq!(response.status, StatusCode::NO_CONTENT);
    assert!(store.hosts().await.unwrap().hosts.is_empty());
    set_faults(client, base, json!({})).await;
    assert_eq!(store.hosts().await.unwrap().hosts.len(), 1);
}

#[tokio::test]
async fn a_stopped_server_refuses_and_keeps_its_objects() {
    let Fixture { store, platform, server, .. } = start().await;
    store.create("k", Bytes::new()).await.unwrap();
    let address = server.address();
    server.stop().await;
    assert!(store.get("k").await.is_err());
    let _server = Server::start_at(address, |listener| platform.serve(listener)).await.unwrap();
    wait_until(async || matches!(store.get("k").await, Ok(Some(_)))).await;
}
