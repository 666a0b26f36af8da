//! Events that arrive in many chunks.

use oleander_relay::EventReader;

#[test]
fn a_sound_event_in_one_byte_chunks_is_read() {
    let data = "x".repeat(8 << 10);
    let mut events = EventReader::default();
    for id in 1..=4 {
        let event = format!("id: {id}\ndata: {data}\n\n");
        let parsed = event.as_bytes().chunks(1).map(|chunk| events.push(chunk));
        let parsed: Vec<_> = parsed.collect();
        assert!(parsed.iter().all(|parsed| parsed.valid), "event {id}");
        assert_eq!(parsed.last().map(|parsed| parsed.events.len()), Some(1), "event {id}");
    }
}
