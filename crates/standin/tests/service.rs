//! Service stand-in: runs, which are counted by request id, and faults.

#![allow(clippy::unwrap_used)]

mod common;

use bytes::Bytes;
use common::{events, is_incomplete, set_faults, wait_until};
use http::{Request, StatusCode};
use serde_json::{Value, json};
use standin::{
    client::{BufferedResponse, ClientError, HttpClient},
    response::expected_result,
    server::Server,
    service::{self, Options},
};

struct Fixture {
    base: String,
    _server: Server,
    client: HttpClient,
}

async fn start() -> Fixture {
    let server = Server::start(|listener| service::serve(listener, Options::default()));
    let server = server.await.unwrap();
    let base = format!("http://{}", server.address());
    Fixture { base, _server: server, client: HttpClient::default() }
}

impl Fixture {
    async fn call(&self, id: &str, body: &str) -> Result<BufferedResponse, ClientError> {
        let request = Request::post(format!("{}/dispatch", self.base))
            .header("x-request-id", id)
            .body(Bytes::from(body.to_owned()));
        self.client.call(request.unwrap()).await
    }

    async fn runs(&self, id: &str) -> Value {
        let url = format!("{}/_records?request_id={id}", self.base);
        let list: Value = self.client.get_json(&url).await.unwrap();
        list["runs"][id].clone()
    }
}

#[tokio::test]
async fn each_call_runs_and_is_counted() {
    let fixture = start().await;
    let response = fixture.call("a", r#"{"truck":1}"#).await.unwrap();
    let result = expected_result("dispatch", &json!({ "truck": 1 }));
    assert_eq!(response.json::<Value>().unwrap(), json!({ "request_id": "a", "result": result }));
    fixture.call("a", r#"{"truck":1}"#).await.unwrap();
    assert_eq!(fixture.runs("a").await, 2);
    let bad = fixture.call("b", "{").await.unwrap();
    assert_eq!(bad.status, StatusCode::BAD_REQUEST);
    assert_eq!(fixture.runs("b").await, Value::Null);
}

#[tokio::test]
async fn a_call_with_a_dropped_response_runs_and_a_failed_one_does_not() {
    let fixture = start().await;
    set_faults(&fixture.client, &fixture.base, json!({ "drop_answer": 1 })).await;
    let dropped = fixture.call("d", "{}").await;
    assert!(is_incomplete(&dropped), "{dropped:?}");
    assert_eq!(fixture.runs("d").await, 1);
    set_faults(&fixture.client, &fixture.base, json!({ "fail_status": 500 })).await;
    let failed = fixture.call("f", "{}").await.unwrap();
    assert_eq!(failed.status, StatusCode::INTERNAL_SERVER_ERROR);
    assert_eq!(fixture.runs("f").await, Value::Null);
}

#[tokio::test]
async fn a_run_continues_after_its_client_disconnects() {
    let fixture = start().await;
    let (client, base) = (&fixture.client, &fixture.base);
    set_faults(client, base, json!({ "freeze": true })).await;
    tokio::select! {
        _ = fixture.call("h", "{}") => panic!("a frozen run returned a response"),
        () = wait_until(async || events(client, base, "h").await.len() == 2) => {}
    }
    set_faults(client, base, json!({})).await;
    wait_until(async || events(client, base, "h").await.len() == 3).await;
    assert_eq!(events(client, base, "h").await, ["received", "started", "finished"]);
}
