//! Incremental parsing of input files, and the division of their items into lots.

#![allow(clippy::unwrap_used)]

use oleander_core::{Bytes, LotIndex, hash};
use oleander_jobs::{
    BatchParser, ChunkRecord, LotPlan, ParseError, ParseLimits, ParsedChunk, ParsedFile, read_items,
};
use quickcheck::{Gen, QuickCheck};

const SEED: u64 = 2;
const MAX_CHUNK_BYTES: usize = 1_000_000;

fn line(id: &str, text: &str) -> String {
    format!(
        r#"{{"custom_id":"{id}","method":"POST","url":"/v1/chat/completions","body":{{"model":"alarma-llm","messages":[{{"role":"user","content":"{text}"}}]}}}}"#
    )
}

fn parse(
    file: &[u8],
    piece: usize,
    limits: ParseLimits,
) -> Result<(Vec<ParsedChunk>, ParsedFile), ParseError> {
    let mut parser = BatchParser::new(limits);
    let mut chunks = Vec::new();
    for piece in file.chunks(piece) {
        chunks.extend(parser.push(piece)?);
    }
    let file = parser.finish()?;
    chunks.extend(file.last_chunks.clone());
    Ok((chunks, file))
}

fn limits() -> ParseLimits {
    ParseLimits { bytes: Bytes(50_000_000), items: 310_000 }
}

#[test]
fn pieces_of_any_size_give_the_same_chunks() {
    fn property(sizes: Vec<u16>, piece: u16) -> bool {
        let lines: Vec<String> = (0..sizes.len().max(1))
            .map(|i| line(&format!("i{i}"), &"x".repeat(sizes.get(i).map_or(1, |&s| s.into()))))
            .collect();
        let file = lines.join("\n").into_bytes();
        let whole = parse(&file, file.len(), limits());
        let pieces = parse(&file, usize::from(piece) + 1, limits());
        let Ok((chunks, parsed)) = &whole else { return false };
        let content: Vec<u8> = chunks.iter().flat_map(|c| c.content.clone()).collect();
        whole == pieces
            && parsed.items as usize == lines.len()
            && chunks.iter().all(|c| c.content.len() <= MAX_CHUNK_BYTES)
            && content == format!("{}\n", lines.join("\n")).into_bytes()
    }
    let gen_ = Gen::from_size_and_seed(60, SEED);
    QuickCheck::new().rng(gen_).tests(60).quickcheck(property as fn(Vec<u16>, u16) -> bool);
}

#[test]
fn each_item_is_in_one_lot() {
    fn property(chunks: Vec<u8>, lot_items: u8) -> bool {
        let records: Vec<ChunkRecord> = chunks
            .iter()
            .map(|&items| ChunkRecord { digest: hash::digest(b""), items: items.into() })
            .collect();
        let plan = LotPlan::new(&records, lot_items.into());
        let ranges: Vec<_> = (0..plan.lots()).map(|lot| plan.range(LotIndex(lot))).collect();
        let mut next = 0;
        let consecutive = ranges.iter().flatten().all(|range| {
            let fits = range.first.0 == next
                && range.count <= u32::from(lot_items.max(1))
                && range.offset + range.count <= records[range.chunk.0 as usize].items;
            next += range.count;
            fits
        });
        consecutive && next == chunks.iter().map(|&items| u32::from(items)).sum::<u32>()
    }
    let gen_ = Gen::from_size_and_seed(60, SEED);
    QuickCheck::new().rng(gen_).tests(200).quickcheck(property as fn(Vec<u8>, u8) -> bool);
}

#[test]
fn errors_name_their_lines() {
    let other = line("d", "x").replace("alarma-llm", "other");
    let file = [
        line("a", "x"),
        "not json".to_owned(),
        line("a", "y"),
        line("b", "x").replace("POST", "GET"),
        line("c", "x").replace("/v1/chat/completions", "/v1/other"),
        other,
        line("e", "x").replace("\"method\"", "\"verb\""),
        line("", "x"),
    ]
    .join("\n");
    let Err(ParseError::InvalidLines(invalid)) = parse(file.as_bytes(), 100, limits()) else {
        panic!("the parser must reject the file")
    };
    let lines: Vec<u64> = invalid.iter().map(|line| line.line).collect();
    assert_eq!(lines, [2, 3, 4, 5, 6, 7, 8]);
    assert_eq!(invalid[1].to_string(), "line 3: custom_id \"a\" is not unique");
    assert_eq!(invalid[2].to_string(), "line 4: method must be POST");
}

#[test]
fn limits_are_enforced() {
    let file = format!("{}\n{}\n", line("a", "x"), line("b", "x"));
    let few = ParseLimits { items: 1, ..limits() };
    assert_eq!(parse(file.as_bytes(), 10, few), Err(ParseError::TooManyItems(1)));
    let small = ParseLimits { bytes: Bytes(100), ..limits() };
    assert_eq!(parse(file.as_bytes(), 10, small), Err(ParseError::TooLarge(Bytes(100))));
    assert_eq!(parse(b"\n\n", 1, limits()), Err(ParseError::Empty));
    let long = line("a", &"x".repeat(MAX_CHUNK_BYTES));
    assert!(matches!(parse(long.as_bytes(), 70_000, limits()), Err(ParseError::InvalidLines(_))));
}

#[test]
fn items_are_read_from_a_chunk() {
    let file: Vec<String> = (0..10).map(|i| line(&format!("i{i}"), "x")).collect();
    let (chunks, _) = parse(file.join("\n").as_bytes(), 64, limits()).unwrap();
    let items = read_items(&chunks[0].content, 4, 3).unwrap();
    let ids: Vec<&str> = items.iter().map(|item| item.custom_id.as_str()).collect();
    assert_eq!(ids, ["i4", "i5", "i6"]);
}
