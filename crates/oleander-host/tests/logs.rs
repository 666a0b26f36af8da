//! Log file of JSON lines, filtered by level.

#![allow(clippy::unwrap_used, reason = "a failed unwrap fails the test")]

use std::{env, fs, process};

use oleander_host::{
    logs,
    settings::{LogLevel, LogSettings},
};
use serde_json::Value;

#[test]
fn lines_are_json_and_filtered_by_level() {
    let file = env::temp_dir().join(format!("oleander-logs-{}.jsonl", process::id()));
    let settings = LogSettings { json: true, level: LogLevel::Info, file: Some(file.clone()) };
    logs::init(&settings).unwrap();
    log::info!(request = "r-1"; "accepted");
    log::debug!("below the minimum severity");
    log::logger().flush();
    let text = fs::read_to_string(&file).unwrap();
    fs::remove_file(&file).unwrap();
    let lines: Vec<Value> = text.lines().map(|line| serde_json::from_str(line).unwrap()).collect();
    assert_eq!(lines.len(), 1);
    assert_eq!(lines[0]["message"], "accepted");
    assert_eq!(lines[0]["level"], "INFO");
    assert!(logs::init(&settings).is_err());
    let _ = fs::remove_file(&file);
}
