//! Parser of JSON paths.

/// Maximum number of segments in a path; no field of a document is nested deeper.
const MAX_SEGMENTS: usize = 8;

/// One segment of a JSON path.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub(crate) enum Segment {
    /// A field of an object.
    Field(String),
    /// An element of a list.
    Index(usize),
}

/// Parses a path such as `$.services[0].name`; `None` if it is malformed or too long.
pub(crate) fn parse(path: &str) -> Option<Vec<Segment>> {
    let mut rest = path.strip_prefix('$')?;
    let mut segments = Vec::new();
    while !rest.is_empty() {
        if segments.len() == MAX_SEGMENTS {
            return None;
        }
        let (segment, remaining) = split_first(rest)?;
        segments.push(segment);
        rest = remaining;
    }
    Some(segments)
}

/// Splits off the first segment; `None` if it is malformed.
fn split_first(path: &str) -> Option<(Segment, &str)> {
    if let Some(path) = path.strip_prefix('.') {
        let end = path.find(['.', '[']).unwrap_or(path.len());
        let (name, rest) = path.split_at(end);
        return (!name.is_empty()).then(|| (Segment::Field(name.to_owned()), rest));
    }
    let (index, rest) = path.strip_prefix('[')?.split_once(']')?;
    Some((Segment::Index(index.parse().ok()?), rest))
}
