//! Boundaries, ids and interruptions of event streams.

use std::time::{Duration, Instant};

use oleander_relay::{EventReader, event_data};

fn event(id: u64, text: &str) -> String {
    format!("id: {id}\ndata: {text}\n\n")
}

#[test]
fn events_are_complete_for_any_chunk_size() {
    let stream: String = (1..=5).map(|id| event(id, &format!("piece {id}"))).collect();
    for size in 1..stream.len() {
        let mut reader = EventReader::after(None);
        let mut received = Vec::new();
        for bytes in stream.as_bytes().chunks(size) {
            let parsed = reader.push(bytes);
            assert!(parsed.valid);
            parsed.events.iter().for_each(|event| received.extend_from_slice(&event.raw));
        }
        assert_eq!(received, stream.as_bytes(), "chunks of {size} bytes");
        assert!(reader.at_boundary());
        assert_eq!(reader.last_id(), Some(5));
    }
}

#[test]
fn an_interrupted_stream_resumes_after_its_last_complete_event() {
    let mut reader = EventReader::after(None);
    let first = format!("{}{}id: 3\nda", event(1, "a"), event(2, "b"));
    assert_eq!(reader.push(first.as_bytes()).events.len(), 2);
    assert!(!reader.at_boundary());
    reader.discard_partial();
    assert_eq!(reader.last_id(), Some(2));
    let parsed = reader.push(event(3, "c").as_bytes());
    assert!(parsed.valid);
    assert_eq!(parsed.events[0].data(), b"c");
}

#[test]
fn an_event_out_of_sequence_is_not_returned() {
    let mut reader = EventReader::after(Some(7));
    let parsed = reader.push(format!("{}{}", event(8, "a"), event(10, "c")).as_bytes());
    assert_eq!(parsed.events.len(), 1, "the event before the gap is returned");
    assert!(!parsed.valid);
    assert_eq!(reader.last_id(), Some(8));
}

#[test]
fn data_lines_of_an_event_are_joined() {
    let events = b"weight-versions: 2\nid: 1\ndata: a\ndata: b\n\nid: 2\ndata: c\n\n";
    assert_eq!(event_data(events), vec![b"a\nb".to_vec(), b"c".to_vec()]);
}

/// Time within which callers may abandon a stream.
const CALLER_TIMEOUT: Duration = Duration::from_secs(2);

#[test]
fn an_event_that_arrives_in_small_pieces_is_searched_only_once() {
    let mut reader = EventReader::after(None);
    let started = Instant::now();
    while reader.push(&[b'x'; 16]).valid {}
    assert!(started.elapsed() < CALLER_TIMEOUT, "{:?}", started.elapsed());
}
