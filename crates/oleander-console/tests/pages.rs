//! The console as a browser uses it, against a fake of an entry's admin listener.

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

/// A page with its status.
struct Shown {
    status: StatusCode,
    location: Option<String>,
    text: String,
}

/// A browser that has the console open.
struct Browser {
    entry: FakeHost,
    console: Router,
}

impl Browser {
    /// A browser before a console whose entry has the example in force.
    async fn start() -> Self {
        let entry = FakeHost::start("entry-1").await;
        entry.with(|m| (m.document, m.revision) = (example(), 4));
        let key = AdminKey::try_from(KEY).expect("a key");
        let fleet = Fleet::new(&[entry.address], &key).expect("a fleet");
        let key = OperatorKey::try_from(KEY.as_bytes()).expect("a key");
        Self { entry, console: router(Console::new(fleet, key)) }
    }

    async fn send(&self, request: Request<Body>) -> Shown {
        let response = self.console.clone().oneshot(request).await.expect("an answer");
        let (parts, body) = response.into_parts();
        let bytes = body.collect().await.expect("a body").to_bytes();
        let location = parts.headers.get(header::LOCATION);
        Shown {
            status: parts.status,
            location: location.map(|value| value.to_str().expect("text").to_owned()),
            text: String::from_utf8(bytes.to_vec()).expect("UTF-8"),
        }
    }

    async fn open(&self) -> Vec<(String, String)> {
        let request = Request::get("/").header(header::AUTHORIZATION, basic(KEY));
        let shown = self.send(request.body(Body::empty()).expect("a request")).await;
        assert_eq!(shown.status, StatusCode::OK);
        fields(&shown.text)
    }

    async fn press(&self, action: &str, fields: &[(String, String)]) -> Shown {
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

fn select(css: &str) -> Selector {
    Selector::parse(css).expect("a selector")
}

/// The fields that a browser sends with the form of a page.
fn fields(page: &str) -> Vec<(String, String)> {
    let page = Html::parse_document(page);
    let controls = select("form input, form select");
    let controls = page.select(&controls);
    controls
        .map(|control| {
            let name = control.attr("name").expect("a name").to_owned();
            (name, value(&control).to_owned())
        })
        .collect()
}

fn value<'a>(control: &ElementRef<'a>) -> &'a str {
    let option = control.select(&select("option[selected]")).next();
    option.unwrap_or(*control).attr("value").unwrap_or_default()
}

fn set(fields: &mut [(String, String)], name: &str, value: &str) {
    let field = fields.iter_mut().find(|(n, _)| n == name);
    value.clone_into(&mut field.expect("a field").1);
}

#[tokio::test]
async fn a_page_needs_the_key() {
    let browser = Browser::start().await;
    for request in [
        Request::get("/"),
        Request::get("/").header(header::AUTHORIZATION, basic("another-key-of-operators")),
        Request::get("/").header(header::AUTHORIZATION, "Bearer "),
    ] {
        let shown = browser.send(request.body(Body::empty()).unwrap()).await;
        assert_eq!(shown.status, StatusCode::UNAUTHORIZED);
        assert!(!shown.text.contains("alarma"));
    }
}

#[tokio::test]
async fn an_unchanged_form_is_the_document_in_force() {
    let browser = Browser::start().await;
    let fields = browser.open().await;
    let shown = browser.press("preview", &fields).await;
    assert_eq!(shown.status, StatusCode::OK);
    assert!(shown.text.contains("No changes."));
}

#[tokio::test]
async fn a_change_is_previewed_and_applied() {
    let browser = Browser::start().await;
    let mut fields = browser.open().await;
    set(&mut fields, RESERVE, "6");
    let shown = browser.press("preview", &fields).await;
    assert!(shown.text.contains(".online.reserve: 4 -&gt; 6"));
    let shown = browser.press("apply", &fields).await;
    assert_eq!(
        (shown.status, shown.location.as_deref()),
        (StatusCode::SEE_OTHER, Some("/?applied=5"))
    );
    let mut expected = example();
    expected["services"][0]["online"]["reserve"] = json!(6);
    assert_eq!(browser.entry.with(|m| m.document.clone()), expected);
}

#[tokio::test]
async fn a_fault_stands_escaped_beside_its_field_and_nothing_is_applied() {
    let browser = Browser::start().await;
    let mut fields = browser.open().await;
    let path = "$.services[0].targets[1].address";
    set(&mut fields, path, "\"><script>alert(1)</script>");
    set(&mut fields, RESERVE, "many");
    let shown = browser.press("apply", &fields).await;
    assert_eq!(shown.status, StatusCode::UNPROCESSABLE_ENTITY);
    let page = Html::parse_document(&shown.text);
    assert_eq!(page.select(&select("script")).count(), 0);
    for path in [path, RESERVE] {
        let label = select(&format!("label:has(input[name='{path}']) .fault"));
        assert_eq!(page.select(&label).count(), 1, "{path}");
    }
    assert_eq!(browser.entry.with(|m| m.revision), 4);
}

#[tokio::test]
async fn a_conflict_shows_the_change_that_came_first() {
    let browser = Browser::start().await;
    let mut fields = browser.open().await;
    set(&mut fields, RESERVE, "6");
    let mut concurrent = example();
    concurrent["services"][0]["model"] = json!("alarma-2");
    browser.entry.with(|m| m.concurrent_change = Some(concurrent.clone()));
    let shown = browser.press("apply", &fields).await;
    assert_eq!(shown.status, StatusCode::CONFLICT);
    assert!(shown.text.contains("revision 14"));
    assert!(shown.text.contains(".model: &quot;alarma-1&quot; -&gt; &quot;alarma-2&quot;"));
    assert_eq!(browser.entry.with(|m| m.document.clone()), concurrent);
    // The form still holds the edit, against the revision that was read.
    let kept = self::fields(&shown.text);
    assert!(kept.contains(&(RESERVE.to_owned(), "6".to_owned())));
    assert!(kept.contains(&("revision".to_owned(), "4".to_owned())));
}

#[tokio::test]
async fn targets_and_workspaces_are_added_and_removed() {
    let browser = Browser::start().await;
    let fields = browser.open().await;
    let shown = browser.press("add $.services[0].targets", &fields).await;
    let mut fields = self::fields(&shown.text);
    set(&mut fields, "$.services[0].targets[3].name", "alarma-4");
    set(&mut fields, "$.services[0].targets[3].zone", "rafaela");
    set(&mut fields, "$.services[0].targets[3].address", "127.0.0.1:7104");
    let shown = browser.press("remove $.workspaces[0]", &fields).await;
    let shown = browser.press("apply", &self::fields(&shown.text)).await;
    assert_eq!(shown.status, StatusCode::SEE_OTHER);
    let document = browser.entry.with(|m| m.document.clone());
    assert_eq!(document["services"][0]["targets"][3]["name"], "alarma-4");
    assert_eq!(document["workspaces"], json!([]));
}

#[tokio::test]
async fn changes_from_other_pages_are_refused() {
    let browser = Browser::start().await;
    let mut fields = browser.open().await;
    set(&mut fields, RESERVE, "6");
    for origin in [None, Some("http://elsewhere.example"), Some("null")] {
        let shown = browser.send(post("apply", &fields, &basic(KEY), origin)).await;
        assert_eq!(shown.status, StatusCode::FORBIDDEN);
    }
    assert_eq!(browser.entry.with(|m| m.revision), 4);
    let bearer = format!("Bearer {KEY}");
    let shown = browser.send(post("apply", &fields, &bearer, None)).await;
    assert_eq!(shown.status, StatusCode::SEE_OTHER);
}

#[tokio::test]
async fn a_lost_answer_is_settled() {
    let browser = Browser::start().await;
    let mut fields = browser.open().await;
    set(&mut fields, RESERVE, "6");
    browser.entry.with(|m| m.lose_responses = 1);
    let shown = browser.press("apply", &fields).await;
    assert_eq!((shown.status, browser.entry.with(|m| m.revision)), (StatusCode::SEE_OTHER, 5));
}
