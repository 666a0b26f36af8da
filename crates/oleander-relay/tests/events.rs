//! Borders, ids and breaks of event streams.

use oleander_relay::{EventReader, event_data};

fn event(id: u64, text: &str) -> String {
    format!("id: {id}\ndata: {text}\n\n")
}

#[test]
fn events_leave_whole_however_the_bytes_arrive() {
    let stream: String = (1..=5).map(|id| event(id, &format!("piece {id}"))).collect();
    for size in 1..stream.len() {
        let mut reader = EventReader::after(None);
        let mut passed = Vec::new();
        for bytes in stream.as_bytes().chunks(size) {
            let pushed = reader.push(bytes);
            assert!(pushed.valid);
            pushed.events.iter().for_each(|event| passed.extend_from_slice(&event.raw));
        }
        assert_eq!(passed, stream.as_bytes(), "pieces of {size} bytes");
        assert!(reader.at_boundary());
        assert_eq!(reader.last_id(), Some(5));
    }
}

#[test]
fn a_broken_stream_goes_on_after_its_last_whole_event() {
    let mut reader = EventReader::after(None);
    let first = format!("{}{}id: 3\nda", event(1, "a"), event(2, "b"));
    assert_eq!(reader.push(first.as_bytes()).events.len(), 2);
    assert!(!reader.at_boundary());
    reader.discard_partial();
    assert_eq!(reader.last_id(), Some(2));
    let pushed = reader.push(event(3, "c").as_bytes());
    assert!(pushed.valid);
    assert_eq!(pushed.events[0].data(), b"c");
}

#[test]
fn an_event_of_another_place_is_not_passed_on() {
    let mut reader = EventReader::after(Some(7));
    let pushed = reader.push(format!("{}{}", event(8, "a"), event(10, "c")).as_bytes());
    assert_eq!(pushed.events.len(), 1, "the event before the gap is passed on");
    assert!(!pushed.valid);
    assert_eq!(reader.last_id(), Some(8));
}

#[test]
fn data_lines_of_an_event_are_joined() {
    let events = b"weight-versions: 2\nid: 1\ndata: a\ndata: b\n\nid: 2\ndata: c\n\n";
    assert_eq!(event_data(events), vec![b"a\nb".to_vec(), b"c".to_vec()]);
}
