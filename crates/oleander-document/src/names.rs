//! Names that must be unique in a document or in a part of it.

use std::collections::BTreeMap;

use crate::reader::Reader;

/// Names, each with the path of its first use.
#[derive(Debug, Default)]
pub(crate) struct UniqueNames {
    first_paths: BTreeMap<String, String>,
}

impl UniqueNames {
    /// Adds a name, or reports a fault if it is in use already.
    pub(crate) fn insert(&mut self, reader: &mut Reader, path: &str, name: &str) {
        if let Some(first) = self.first_paths.get(name) {
            reader.add_fault(path, format!("{name:?} is already used at {first}"));
            return;
        }
        self.first_paths.insert(name.to_owned(), path.to_owned());
    }

    /// Whether the name was added.
    pub(crate) fn contains(&self, name: &str) -> bool {
        self.first_paths.contains_key(name)
    }
}
