//! Conversion of the document from and to JSON text.

use serde_json::Value;

use crate::{Document, Fault, canonical::CanonicalDocument, path, schema, strict};

impl Document {
    /// Parses and validates a document.
    ///
    /// # Errors
    ///
    /// Returns all faults. A document that isn't JSON or is too large has one fault, at the root.
    pub fn from_json(bytes: &[u8]) -> Result<Self, Vec<Fault>> {
        if bytes.len() > schema::MAX_INPUT_BYTES {
            let max = schema::MAX_INPUT_BYTES;
            return Err(root_fault(format!("must be at most {max} bytes of JSON")));
        }
        let parsed = strict::parse(bytes)
            .map_err(|error| root_fault(format!("is not valid JSON: {error}")))?;
        let document = match Self::try_from(&parsed.value) {
            Ok(document) if parsed.duplicates.is_empty() => document,
            Ok(_) => return Err(parsed.duplicates),
            Err(faults) => return Err([parsed.duplicates, faults].concat()),
        };
        let size = document.to_json().len();
        if size > schema::MAX_DOCUMENT_BYTES {
            let max = schema::MAX_DOCUMENT_BYTES;
            return Err(root_fault(format!(
                "canonical JSON must be at most {max} bytes, is {size}"
            )));
        }
        Ok(document)
    }

    /// The canonical JSON text: all fields in the order of the schema, with defaults written out.
    ///
    /// # Panics
    ///
    /// Never: plain data always serializes.
    #[must_use]
    pub fn to_json(&self) -> String {
        let mut text = serde_json::to_string_pretty(&CanonicalDocument::from(self))
            .unwrap_or_else(|_| unreachable!("plain data always serializes"));
        text.push('\n');
        text
    }

    /// The canonical form, as a JSON value.
    ///
    /// # Panics
    ///
    /// Never: plain data always serializes.
    #[must_use]
    pub fn to_value(&self) -> Value {
        serde_json::to_value(CanonicalDocument::from(self))
            .unwrap_or_else(|_| unreachable!("plain data always serializes"))
    }
}

fn root_fault(message: String) -> Vec<Fault> {
    vec![Fault { path: path::ROOT.to_owned(), message }]
}
