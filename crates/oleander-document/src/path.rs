//! JSON paths, which refer to values in a document.

/// Path of the document itself.
pub const ROOT: &str = "$";

/// Path of the field `name` of the object at `path`, in bracket notation if the name needs it.
#[must_use]
pub fn field(path: &str, name: &str) -> String {
    if is_plain(name) { format!("{path}.{name}") } else { key(path, name) }
}

/// Path of the element at `index` in the array at `path`.
#[must_use]
pub fn element(path: &str, index: usize) -> String {
    format!("{path}[{index}]")
}

/// Path of the element or field `name` at `path`, in bracket notation.
#[must_use]
pub fn key(path: &str, name: &str) -> String {
    format!("{path}[{name:?}]")
}

fn is_plain(name: &str) -> bool {
    !name.is_empty() && name.chars().all(|c| c.is_ascii_alphanumeric() || c == '_')
}
