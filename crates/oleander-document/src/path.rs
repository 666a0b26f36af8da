//! JSON paths.

/// Path of the document itself.
pub const ROOT: &str = "$";

/// Path of a field of the object at `path`.
#[must_use]
pub fn field(path: &str, name: &str) -> String {
    if is_plain(name) { format!("{path}.{name}") } else { key(path, name) }
}

/// Path of an element of the list at `path`.
#[must_use]
pub fn element(path: &str, index: usize) -> String {
    format!("{path}[{index}]")
}

/// Path of the element with this name in the list at `path`.
#[must_use]
pub fn key(path: &str, name: &str) -> String {
    format!("{path}[{name:?}]")
}

fn is_plain(name: &str) -> bool {
    !name.is_empty() && name.chars().all(|c| c.is_ascii_alphanumeric() || c == '_')
}
