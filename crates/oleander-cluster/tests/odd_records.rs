//! Records of hosts, and the shared secret, that another writer has spoilt.

use std::{net::SocketAddr, time::Duration};

use bytes::Bytes;
use oleander_cluster::{HostRecord, forward_address, join};
use oleander_core::Time;
use oleander_members::MemberRole;
use oleander_platform::{Created, MemoryPlatform, ObjectStore, decode_value};

fn record() -> HostRecord {
    HostRecord {
        host: "entry-1".parse().expect("host"),
        zone: "near".parse().expect("data centre"),
        role: MemberRole::Entry,
        link: ([127, 0, 0, 1], 2).into(),
        callers: None,
        started: Time(7),
    }
}

/// Guards against a process that ends at each start, since its record can't be read.
#[tokio::test]
async fn a_host_whose_record_can_not_be_read_replaces_it() {
    let far = serde_json::to_vec(&HostRecord { started: Time(u64::MAX), ..record() });
    for body in [b"\xff".to_vec(), b"{\"host\":1e400}".to_vec(), far.expect("encodable")] {
        let store = MemoryPlatform::new();
        let created = store.create("hosts/entry-1", Bytes::from(body.clone())).await;
        assert!(matches!(created, Ok(Created::New(_))));
        let joined = tokio::time::timeout(Duration::from_secs(2), join(&store, record())).await;
        let (_, written) = joined.expect("joins");
        let stored = store.get("hosts/entry-1").await.expect("up").expect("a record");
        assert_eq!(decode_value::<HostRecord>(&stored.body), Ok(written));
    }
}

/// Guards against a process that ends again and again while the secret can't be read.
#[tokio::test]
async fn a_host_waits_for_a_secret_that_can_be_read() {
    for body in [&b"\xff"[..], b"{\"text\":\"short\"}"] {
        let store = MemoryPlatform::new();
        let created = store.create("cluster/secret", Bytes::from_static(body)).await;
        let Ok(Created::New(revision)) = created else { panic!("{created:?}") };
        let joining = tokio::spawn({
            let store = store.clone();
            async move { join(&store, record()).await }
        });
        tokio::time::sleep(Duration::from_millis(400)).await;
        assert!(!joining.is_finished(), "the process would end");
        let sound = format!("{{\"text\":\"{}\"}}", "x".repeat(64));
        store.update("cluster/secret", Bytes::from(sound), revision).await.expect("up");
        let joined = tokio::time::timeout(Duration::from_secs(2), joining).await;
        assert!(joined.expect("in time").is_ok(), "joins");
    }
}

#[test]
fn an_address_at_the_last_port_has_no_overflow() {
    let link = SocketAddr::from(([127, 0, 0, 1], u16::MAX));
    assert_eq!(forward_address(link), link);
}
