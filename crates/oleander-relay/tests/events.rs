//! Boundaries, ids and interruptions of event streams.

use std::time::{Duration, Instant};

use oleander_relay::{EventReader, event_data};
use quickcheck::{Arbitrary, Gen, QuickCheck, TestResult};

/// Number of faulty streams.
const CASES: u64 = 5_000;
const SEED: u64 = 32;

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

/// What a caller gets of a stream that comes in these chunks, up to the first invalid one; and
/// whether the stream counts as complete.
fn read(chunks: impl IntoIterator<Item = Vec<u8>>) -> (Vec<u8>, bool) {
    let mut reader = EventReader::after(None);
    let mut received = Vec::new();
    for chunk in chunks {
        let parsed = reader.push(&chunk);
        parsed.events.iter().for_each(|event| received.extend_from_slice(&event.raw));
        if !parsed.valid {
            return (received, false);
        }
    }
    (received, reader.at_boundary())
}

fn read_text(text: &str) -> (String, bool) {
    let (received, complete) = read([text.as_bytes().to_vec()]);
    (String::from_utf8(received).expect("text"), complete)
}

/// Guards against bytes of a target in trouble in results: a block without an id counted as an
/// event.
#[test]
fn nothing_is_returned_of_a_block_that_is_no_event() {
    let unsound = [
        "garbage\n\n",
        "data: x\n\n",
        "id: 1\n\n",
        "id: 1\nid: 1\ndata: x\n\n",
        "id: 1\ndata: x\ngarbage\n\n",
        "garbage\nid: 1\ndata: x\n\n",
        "garbageid: 1\ndata: x\n\n",
        "id: +1\ndata: x\n\n",
        "id: 1x\ndata: x\n\n",
        "id: 99999999999999999999\ndata: x\n\n",
        "id: 7\ndata: x\n\n",
        " id: 1\ndata: x\n\n",
        ": comment\nid: 1\ndata: x\n\n",
        "weight-versions: x\nid: 1\ndata: x\n\n",
        "id: 1\nweight-versions: 2\ndata: x\n\n",
        "id: 1\r\ndata: x\r\n\r\nid: 2\r\ndata: y\r\n\r\n\n\n",
    ];
    for text in unsound {
        assert_eq!(read_text(text), (String::new(), false), "{text:?}");
    }
    assert_eq!(read([b"id: 1\ndata: \xff\n\n".to_vec()]), (Vec::new(), false));
}

#[test]
fn line_feeds_and_comments_between_events_are_skipped() {
    let (first, second) = (event(1, "a"), event(2, "b"));
    let text = format!("\n\n: ping\n\n{first}\n:\n: ping\n\n{second}\n");
    assert_eq!(read_text(&text), (format!("{first}{second}"), true));
    for size in 1..text.len() {
        let chunks = text.as_bytes().chunks(size).map(<[u8]>::to_vec);
        assert_eq!(read(chunks), (format!("{first}{second}").into_bytes(), true), "{size}");
    }
}

#[test]
fn a_stream_that_ends_in_anything_but_an_event_is_not_complete() {
    for end in [" ", "\r\n", ":", "id: 2", "id: 2\ndata: b\n"] {
        assert!(!read_text(&format!("{}{end}", event(1, "a"))).1, "{end:?}");
    }
    assert!(read_text(&event(1, "a")).1);
}

/// Bytes after event 7 in which event 8 begins, and bytes in which it doesn't.
const BEGUN: [&str; 9] = [
    "i",
    "id: 8",
    "id: 8\n",
    "id: 8\ndata: õ",
    "id: 8\ndata: x\n",
    "\n\ndata: x\nid",
    "weight-ver",
    "weight-versions: 2",
    "weight-versions: 2\nid:",
];
const NOT_BEGUN: [&str; 9] = [
    "",
    "\n",
    ":",
    ": ping",
    "id: 9",
    "id: 7\nda",
    "HTTP/1.1 500 Internal Server Error",
    "{\"error\": 1}",
    "id: 8\nid: 8",
];

/// Guards against an end that is believed though the next event had begun: a response without any
/// event completed a stream of which the target before had sent half an event more.
#[test]
fn a_stream_does_not_end_before_an_event_that_has_begun() {
    let cases = BEGUN.map(|bytes| (bytes, true)).into_iter();
    for (bytes, has_begun) in cases.chain(NOT_BEGUN.map(|bytes| (bytes, false))) {
        let mut reader = EventReader::after(Some(7));
        assert!(reader.push(bytes.as_bytes()).valid);
        reader.discard_partial();
        assert_eq!(reader.is_complete(), !has_begun, "{bytes:?}");
        // A further response that breaks off changes nothing.
        reader.discard_partial();
        assert_eq!(reader.is_complete(), !has_begun, "{bytes:?}");
        assert!(reader.push(event(8, "b").as_bytes()).valid);
        assert!(reader.is_complete(), "{bytes:?}");
    }
}

/// Every proper beginning of an event counts, however it is cut.
#[test]
fn any_beginning_of_an_event_shows_that_it_exists() {
    let event = format!("weight-versions: 2\n{}", event(8, "õ: x"));
    for end in 1..event.len() - 1 {
        let mut reader = EventReader::after(Some(7));
        assert!(reader.push(&event.as_bytes()[..end]).valid);
        reader.discard_partial();
        assert!(!reader.is_complete(), "{:?}", &event.as_bytes()[..end]);
    }
}

/// Guards against skipped bytes that count as none: a target may send line feeds without end.
#[test]
fn skipped_bytes_without_end_make_a_stream_invalid() {
    for chunk in ["\n".repeat(4_096), ":\n\n".repeat(1_000)] {
        let mut reader = EventReader::after(None);
        let chunks = (2 << 20) / chunk.len();
        assert!((0..chunks).any(|_| !reader.push(chunk.as_bytes()).valid), "{:?}", &chunk[..3]);
    }
}

/// A sound stream with faults, cut into chunks.
#[derive(Debug, Clone)]
struct FaultyStream {
    events: Vec<String>,
    /// Bytes inserted before the event of this number.
    inserted: (usize, Vec<u8>),
    /// Bytes after which the connection ends.
    end: usize,
    chunk: usize,
}

impl Arbitrary for FaultyStream {
    fn arbitrary(g: &mut Gen) -> Self {
        let count = u64::arbitrary(g) % 8 + 1;
        let events: Vec<String> = (1..=count).map(|id| event(id, &text(g))).collect();
        let at = usize::arbitrary(g) % (events.len() + 1);
        let inserted = match u8::arbitrary(g) % 4 {
            0 => Vec::new(),
            1 => vec![b'\n'; usize::arbitrary(g) % 4],
            2 => text(g).into_bytes(),
            _ => Vec::arbitrary(g),
        };
        let length: usize = events.iter().map(String::len).sum::<usize>() + inserted.len();
        let is_cut = bool::arbitrary(g);
        let end = if is_cut { usize::arbitrary(g) % (length + 1) } else { length };
        Self { events, inserted: (at, inserted), end, chunk: usize::arbitrary(g) % 40 + 1 }
    }
}

/// Text with the characters that matter in a stream.
fn text(g: &mut Gen) -> String {
    let parts = ["a", ":", " ", "\r", "id: 3", "data: x", "õ", "7", "-"];
    let count = usize::arbitrary(g) % 5;
    (0..count).filter_map(|_| g.choose(&parts).copied()).collect()
}

impl FaultyStream {
    fn bytes(&self) -> Vec<u8> {
        let (at, inserted) = &self.inserted;
        let mut bytes = Vec::new();
        for (index, event) in self.events.iter().enumerate() {
            if index == *at {
                bytes.extend_from_slice(inserted);
            }
            bytes.extend_from_slice(event.as_bytes());
        }
        if *at == self.events.len() {
            bytes.extend_from_slice(inserted);
        }
        bytes.truncate(self.end);
        bytes
    }

    /// What follows the first `count` events.
    fn after(&self, count: usize) -> Vec<u8> {
        let (at, inserted) = &self.inserted;
        let events: usize = self.events[..count].iter().map(String::len).sum();
        let inserted = if *at < count { inserted.len() } else { 0 };
        self.bytes().split_off(events + inserted)
    }

    /// Whether the inserted bytes are a whole line of the next event, which no reader can know from
    /// one that the target meant.
    fn is_indistinguishable(&self) -> bool {
        let inserted = &self.inserted.1;
        let lines = inserted.split(|byte| *byte == b'\n');
        inserted.contains(&b'\n') && lines.into_iter().any(|line| line.contains(&b':'))
    }
}

/// Guards against any bytes but those of sound events in what callers and items get, and against a
/// stream that is cut or disturbed and counts as complete.
#[test]
fn callers_get_sound_events_only() {
    fn property(stream: FaultyStream) -> TestResult {
        if stream.is_indistinguishable() {
            return TestResult::discard();
        }
        let bytes = stream.bytes();
        let (received, complete) = read(bytes.chunks(stream.chunk).map(<[u8]>::to_vec));
        let count = (0..=stream.events.len())
            .find(|count| stream.events[..*count].concat().as_bytes() == received);
        let rest_is_empty = |count| stream.after(count).iter().all(|byte| *byte == b'\n');
        TestResult::from_bool(count.is_some_and(|count| !complete || rest_is_empty(count)))
    }
    QuickCheck::new()
        .rng(Gen::from_size_and_seed(100, SEED))
        .tests(CASES)
        .max_tests(10 * CASES)
        .quickcheck(property as fn(FaultyStream) -> TestResult);
}
