//! Names that may stand only once.

use std::collections::BTreeMap;

use crate::reader::Reader;

/// Names with the paths where they were first seen.
#[derive(Debug, Default)]
pub(crate) struct Names {
    first: BTreeMap<String, String>,
}

impl Names {
    /// Records a name, and a fault if it stands elsewhere already.
    pub(crate) fn add(&mut self, reader: &mut Reader, path: &str, name: &str) {
        if let Some(first) = self.first.get(name) {
            reader.fault(path, format!("{name:?} stands already at {first}"));
            return;
        }
        self.first.insert(name.to_owned(), path.to_owned());
    }

    /// Whether the name was recorded.
    pub(crate) fn contains(&self, name: &str) -> bool {
        self.first.contains_key(name)
    }
}
