//! The jobs of the tests and their route.

use std::collections::BTreeMap;

use bytes::Bytes;
use oleander_core::{JobId, Span, Time, Tokens, ZoneId};
use oleander_relay::{RetryPolicy, Route, RouteKind, TrafficShare};
use oleander_worklist::{NewItem, Submission};

pub(crate) fn zone() -> ZoneId {
    "near".parse().expect("data centre")
}

pub(crate) fn job(name: &str) -> JobId {
    name.parse().expect("job")
}

/// A job of `count` items, whose ids begin with its name.
pub(crate) fn submission(name: &str, count: u32) -> Submission {
    let item = |number: u32| NewItem {
        id: format!("{name}-{number}"),
        path: format!("/drafts/{number}"),
        headers: BTreeMap::new(),
        body: Bytes::from_static(b"body"),
        tokens: 1,
    };
    let items = (0..count).map(item).collect();
    Submission { job: job(name), host: "a.example".to_owned(), items, received: Time(0) }
}

pub(crate) fn route() -> Route {
    Route {
        name: "drafts".to_owned(),
        host: "a.example".to_owned(),
        prefix: "/drafts/".to_owned(),
        kind: RouteKind::Batch {
            backlog: Some(Tokens(100_000)),
            due: Span::from_secs(18),
            retention: Span::from_secs(60),
        },
        retry: RetryPolicy::Never,
        timeout: Span::from_secs(5),
        latency_goal: Span::from_millis(500),
        max_pause: Span::from_millis(300),
        caller_timeout: None,
        priority: 2,
        max_attempts: 3,
        shares: vec![TrafficShare { service: "llm".parse().expect("service"), weight: 1 }],
    }
}
