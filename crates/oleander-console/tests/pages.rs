//! The console driven like a browser does, against a fake admin listener of an entry host.

#[path = "../../oleanderctl/tests/fake/mod.rs"]
mod fake;

use axum::{Router, body::Body};
use base64::{Engine, engine::general_purpose::STANDARD};
use fake::{FakeHost, KEY};
use http::{Request, StatusCode, header};
use http_body_util::BodyExt;
use oleander_console::{Console, router};
use oleander_host::OperatorKey;
use oleanderctl::{AdminKey, Fleet};
use scraper::{ElementRef, Html, Selector};
use serde_json::{Value, json};
use tower::ServiceExt;

const EXAMPLE: &str = include_str!("../../../examples/ventiladores.json");
const HOST: &str = "console.example:7400";
const RESERVE: &str = "$.services[0].online.reserve";

/// Response of the console.
struct PageResponse {
    status: StatusCode,
    location: Option<String>,
    text: String,
}

/// A simulated browser, the console and the fake entry host.
struct Browser {
    entry: FakeHost,
    console: Router,
}

impl Browser {
    /// Starts a console; the entry host serves the example document at revision 4.
    async fn start() -> Self {
        let entry = FakeHost::start("entry-1").await;
        entry.with(|m| (m.document, m.revision) = (example(), 4));
        let key = AdminKey::try_from(KEY).expect("a key");
        let fleet = Fleet::new(&[entry.address], &key).expect("a fleet");
        let key = OperatorKey::try_from(KEY.as_bytes()).expect("a key");
        Self { entry, console: router(Console::new(fleet, key)) }
    }

    async fn send(&self, request: Request<Body>) -> PageResponse {
        let response = self.console.clone().oneshot(request).await.expect("a response");
        let (parts, body) = response.into_parts();
        let bytes = body.collect().await.expect("a body").to_bytes();
        let location = parts.headers.get(header::LOCATION);
        PageResponse {
            status: parts.status,
            location: location.map(|value| value.to_str().expect("text").to_owned()),
            text: String::from_utf8(bytes.to_vec()).expect("UTF-8"),
        }
    }

    /// Loads the page; returns its form fields.
    async fn load_form(&self) -> Vec<(String, String)> {
        let request = Request::get("/").header(header::AUTHORIZATION, basic(KEY));
        let response = self.send(request.body(Body::empty()).expect("a request")).await;
        assert_eq!(response.status, StatusCode::OK);
        fields(&response.text)
    }

    /// Submits the form with the button of this action.
    async fn submit(&self, action: &str, fields: &[(String, String)]) -> PageResponse {
        self.send(post(action, fields, &basic(KEY), Some(&format!("http://{HOST}")))).await
    }
}

fn example() -> Value {
    serde_json::from_str(EXAMPLE).expect("JSON")
}

fn basic(key: &str) -> String {
    format!("Basic {}", STANDARD.encode(format!("operator:{key}")))
}

fn post(
    action: &str,
    fields: &[(String, String)],
    credentials: &str,
    origin: Option<&str>,
) -> Request<Body> {
    let mut body = form_urlencoded::Serializer::new(String::new());
    body.append_pair("action", action).extend_pairs(fields);
    let mut request = Request::post("/")
        .header(header::AUTHORIZATION, credentials)
        .header(header::HOST, HOST)
        .header(header::CONTENT_TYPE, "application/x-www-form-urlencoded");
    if let Some(origin) = origin {
        request = request.header(header::ORIGIN, origin);
    }
    request.body(Body::from(body.finish())).expect("a request")
}

fn selector(css: &str) -> Selector {
    Selector::parse(css).expect("a selector")
}

/// Form fields that a browser would submit from this page.
fn fields(page: &str) -> Vec<(String, String)> {
    let page = Html::parse_document(page);
    let controls = selector("form input, form select");
    let controls = page.select(&controls);
    controls
        .map(|control| {
            let name = control.attr("name").expect("a name").to_owned();
            (name, value(&control).to_owned())
        })
        .collect()
}

/// Value that a browser would submit for a form control.
fn value<'a>(control: &ElementRef<'a>) -> &'a str {
    let option = control.select(&selector("option[selected]")).next();
    option.unwrap_or(*control).attr("value").unwrap_or_default()
}

fn set(fields: &mut [(String, String)], name: &str, value: &str) {
    let field = fields.iter_mut().find(|(n, _)| n == name);
    value.clone_into(&mut field.expect("a field").1);
}

#[tokio::test]
async fn requests_without_a_valid_key_are_unauthorized() {
    let browser = Browser::start().await;
    for request in [
        Request::get("/"),
        Request::get("/").header(header::AUTHORIZATION, basic("another-key-of-operators")),
        Request::get("/").header(header::AUTHORIZATION, "Bearer "),
    ] {
        let response = browser.send(request.body(Body::empty()).unwrap()).await;
        assert_eq!(response.status, StatusCode::UNAUTHORIZED);
        assert!(!response.text.contains("alarma"));
    }
}

#[tokio::test]
async fn an_unchanged_form_has_no_changes() {
    let browser = Browser::start().await;
    let fields = browser.load_form().await;
    let response = browser.submit("preview", &fields).await;
    assert_eq!(response.status, StatusCode::OK);
    assert!(response.text.contains("No changes."));
}

#[tokio::test]
async fn a_change_is_previewed_and_applied() {
    let browser = Browser::start().await;
    let mut fields = browser.load_form().await;
    set(&mut fields, RESERVE, "6");
    let response = browser.submit("preview", &fields).await;
    assert!(response.text.contains(".online.reserve: 4 -&gt; 6"));
    let response = browser.submit("apply", &fields).await;
    assert_eq!(
        (response.status, response.location.as_deref()),
        (StatusCode::SEE_OTHER, Some("/?applied=5"))
    );
    let mut expected = example();
    expected["services"][0]["online"]["reserve"] = json!(6);
    assert_eq!(browser.entry.with(|m| m.document.clone()), expected);
}

#[tokio::test]
async fn faults_are_shown_escaped_next_to_their_fields_and_nothing_is_applied() {
    let browser = Browser::start().await;
    let mut fields = browser.load_form().await;
    let path = "$.services[0].targets[1].address";
    set(&mut fields, path, "\"><script>alert(1)</script>");
    set(&mut fields, RESERVE, "many");
    let response = browser.submit("apply", &fields).await;
    assert_eq!(response.status, StatusCode::UNPROCESSABLE_ENTITY);
    let page = Html::parse_document(&response.text);
    assert_eq!(page.select(&selector("script")).count(), 0);
    for path in [path, RESERVE] {
        let label = selector(&format!("label:has(input[name='{path}']) .fault"));
        assert_eq!(page.select(&label).count(), 1, "{path}");
    }
    assert_eq!(browser.entry.with(|m| m.revision), 4);
}

#[tokio::test]
async fn a_conflict_shows_the_other_change_and_keeps_the_edit() {
    let browser = Browser::start().await;
    let mut fields = browser.load_form().await;
    set(&mut fields, RESERVE, "6");
    let mut concurrent = example();
    concurrent["services"][0]["model"] = json!("alarma-2");
    browser.entry.with(|m| m.concurrent_change = Some(concurrent.clone()));
    let response = browser.submit("apply", &fields).await;
    assert_eq!(response.status, StatusCode::CONFLICT);
    assert!(response.text.contains("revision 14"));
    assert!(response.text.contains(".model: &quot;alarma-1&quot; -&gt; &quot;alarma-2&quot;"));
    assert_eq!(browser.entry.with(|m| m.document.clone()), concurrent);
    // The form still contains the edit, based on the revision that was read.
    let returned = self::fields(&response.text);
    assert!(returned.contains(&(RESERVE.to_owned(), "6".to_owned())));
    assert!(returned.contains(&("revision".to_owned(), "4".to_owned())));
}

#[tokio::test]
async fn targets_are_added_and_workspaces_removed() {
    let browser = Browser::start().await;
    let fields = browser.load_form().await;
    let response = browser.submit("add $.services[0].targets", &fields).await;
    let mut fields = self::fields(&response.text);
    set(&mut fields, "$.services[0].targets[3].name", "alarma-4");
    set(&mut fields, "$.services[0].targets[3].zone", "rafaela");
    set(&mut fields, "$.services[0].targets[3].address", "127.0.0.1:7104");
    let response = browser.submit("remove $.workspaces[0]", &fields).await;
    let response = browser.submit("apply", &self::fields(&response.text)).await;
    assert_eq!(response.status, StatusCode::SEE_OTHER);
    let document = browser.entry.with(|m| m.document.clone());
    assert_eq!(document["services"][0]["targets"][3]["name"], "alarma-4");
    assert_eq!(document["workspaces"], json!([]));
}

#[tokio::test]
async fn cross_origin_changes_with_basic_credentials_are_rejected() {
    let browser = Browser::start().await;
    let mut fields = browser.load_form().await;
    set(&mut fields, RESERVE, "6");
    for origin in [None, Some("http://elsewhere.example"), Some("null")] {
        let response = browser.send(post("apply", &fields, &basic(KEY), origin)).await;
        assert_eq!(response.status, StatusCode::FORBIDDEN);
    }
    assert_eq!(browser.entry.with(|m| m.revision), 4);
    let bearer = format!("Bearer {KEY}");
    let response = browser.send(post("apply", &fields, &bearer, None)).await;
    assert_eq!(response.status, StatusCode::SEE_OTHER);
}

#[tokio::test]
async fn an_apply_with_a_lost_response_is_resolved() {
    let browser = Browser::start().await;
    let mut fields = browser.load_form().await;
    set(&mut fields, RESERVE, "6");
    browser.entry.with(|m| m.lose_responses = 1);
    let response = browser.submit("apply", &fields).await;
    assert_eq!((response.status, browser.entry.with(|m| m.revision)), (StatusCode::SEE_OTHER, 5));
}
