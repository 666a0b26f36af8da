//! Measures the size of a document and the cost of parsing, serializing and copying it, by the
//! numbers of workspaces and targets.

#![allow(clippy::print_stdout, reason = "prints its measurements")]

#[path = "../../../scripts/slopes/meter.rs"]
mod meter;

use meter::{measure, point, resident_bytes};
use oleander_document::{Document, schema::MAX_DOCUMENT_BYTES};
use serde_json::{Value, json};

const WORKSPACE_COUNTS: [usize; 5] = [250, 500, 1_000, 2_000, 4_000];
const TARGET_COUNTS: [usize; 5] = [500, 1_000, 3_000, 6_000, 12_000];
const REPEATS: u32 = 30;
/// Number of workspaces or targets, over all copies whose memory is measured together.
const COPIED_ROWS: usize = 200_000;

fn limits() -> Value {
    json!({"rate_per_s": 1000, "burst": 2000, "file_bytes": 200_000_000, "job_items": 310_000})
}

/// A document with three models. Names are as long as in the deployments that the requirements
/// specify.
fn document(workspaces: usize, targets: usize) -> Value {
    let zones: Vec<String> = (0..13).map(|n| format!("zone-{n:02}")).collect();
    let models = ["alarma-llm", "resumen-llm", "sello-llm"];
    let services: Vec<Value> = (0..3)
        .map(|service| {
            let rows: Vec<Value> = (service..targets.max(3))
                .step_by(3)
                .map(|n| {
                    let address = format!("10.{}.{}.{}:7201", n / 50_000, n / 250 % 200, n % 250);
                    json!({
                        "name": format!("worker-{n:05}"), "zone": zones[n % 13], "address": address,
                    })
                })
                .collect();
            json!({"name": models[service], "kind": "engine", "model": "model-1", "targets": rows})
        })
        .collect();
    let rows: Vec<Value> = (0..workspaces)
        .map(|n| {
            json!({
                "name": format!("workspace-{n:04}"), "key_digest": format!("{n:064x}"),
                "services": models, "limits": limits(),
            })
        })
        .collect();
    json!({"zones": zones, "services": services, "workspaces": rows})
}

fn measure_series(kept: &mut Vec<Document>, name: &str, x: usize, value: &Value) {
    let compact = serde_json::to_vec(value).expect("encodes");
    point(&format!("document.{name}.compact_bytes"), x, compact.len() as f64);
    let pretty = serde_json::to_vec_pretty(value).expect("encodes");
    point(&format!("document.{name}.pretty_bytes"), x, pretty.len() as f64);
    let Ok(document) = Document::from_json(&compact) else {
        println!(
            "# {name} {x}: rejected, its canonical JSON is longer than {MAX_DOCUMENT_BYTES} bytes"
        );
        return;
    };
    let text = document.to_json();
    point(&format!("document.{name}.canonical_bytes"), x, text.len() as f64);
    let (nanos, ()) = measure(|| (0..REPEATS).for_each(|_| drop(Document::from_json(&compact))));
    point(&format!("document.{name}.read_us"), x, nanos / 1e3 / f64::from(REPEATS));
    let (nanos, ()) = measure(|| (0..REPEATS).for_each(|_| drop(document.to_json())));
    point(&format!("document.{name}.write_us"), x, nanos / 1e3 / f64::from(REPEATS));
    let before = resident_bytes();
    // Keeps the copies, so that no measurement reuses memory that an earlier one has freed.
    let copies = COPIED_ROWS / x;
    kept.extend((0..copies).map(|_| document.clone()));
    let bytes = (resident_bytes() - before) / copies as f64;
    point(&format!("document.{name}.memory_bytes"), x, bytes);
    let key = document.workspaces.last().map(|workspace| workspace.key_digest.clone());
    let Some(key) = key else { return };
    let find = || (0..2_000).for_each(|_| assert!(document.workspace_by_digest(&key).is_some()));
    let (nanos, ()) = measure(find);
    point(&format!("document.{name}.find_key_ns"), x, nanos / 2_000.0);
}

fn main() {
    let kept = &mut Vec::new();
    println!("# document: x = workspaces, 3 targets");
    for workspaces in WORKSPACE_COUNTS {
        measure_series(kept, "workspaces", workspaces, &document(workspaces, 3));
    }
    println!("# document: x = targets, 1 workspace");
    for targets in TARGET_COUNTS {
        measure_series(kept, "targets", targets, &document(1, targets));
    }
}
