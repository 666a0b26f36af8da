//! JSON paths as steps.

/// Most steps of a path; no field of a document lies deeper.
const MAX_STEPS: usize = 8;

/// One step into a JSON value.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub(crate) enum Step {
    /// A field of an object.
    Field(String),
    /// An element of a list.
    Index(usize),
}

/// Reads a path such as `$.services[0].name`; `None` if it is not one.
pub(crate) fn parse(path: &str) -> Option<Vec<Step>> {
    let mut rest = path.strip_prefix('$')?;
    let mut steps = Vec::new();
    while !rest.is_empty() {
        if steps.len() == MAX_STEPS {
            return None;
        }
        let (step, after) = first(rest)?;
        steps.push(step);
        rest = after;
    }
    Some(steps)
}

/// The first step and what follows it.
fn first(path: &str) -> Option<(Step, &str)> {
    if let Some(path) = path.strip_prefix('.') {
        let end = path.find(['.', '[']).unwrap_or(path.len());
        let (name, rest) = path.split_at(end);
        return (!name.is_empty()).then(|| (Step::Field(name.to_owned()), rest));
    }
    let (index, rest) = path.strip_prefix('[')?.split_once(']')?;
    Some((Step::Index(index.parse().ok()?), rest))
}
