//! The document as JSON text.

use serde_json::Value;

use crate::{Document, Fault, canonical::CanonicalDocument, path, schema, strict};

impl Document {
    /// Reads and checks a document.
    ///
    /// # Errors
    ///
    /// Returns every fault with its JSON path.
    pub fn from_json(bytes: &[u8]) -> Result<Self, Vec<Fault>> {
        if bytes.len() > schema::MAX_INPUT_BYTES {
            let bound = schema::MAX_INPUT_BYTES;
            return Err(root_fault(format!("must have at most {bound} bytes")));
        }
        let parsed =
            strict::parse(bytes).map_err(|error| root_fault(format!("is not JSON: {error}")))?;
        let document = match Self::try_from(&parsed.value) {
            Ok(document) if parsed.repeated.is_empty() => document,
            Ok(_) => return Err(parsed.repeated),
            Err(faults) => return Err([parsed.repeated, faults].concat()),
        };
        let size = document.to_json().len();
        if size > schema::MAX_DOCUMENT_BYTES {
            let bound = schema::MAX_DOCUMENT_BYTES;
            return Err(root_fault(format!(
                "canonical text must fit into {bound} bytes, takes {size}"
            )));
        }
        Ok(document)
    }

    /// The canonical text: each field in its order, defaults written out.
    ///
    /// # Panics
    ///
    /// Never: plain data always serializes.
    #[must_use]
    pub fn to_json(&self) -> String {
        let mut text = serde_json::to_string_pretty(&CanonicalDocument::from(self))
            .unwrap_or_else(|_| unreachable!("plain data serializes"));
        text.push('\n');
        text
    }

    /// The canonical form as a JSON value.
    ///
    /// # Panics
    ///
    /// Never: plain data always serializes.
    #[must_use]
    pub fn to_value(&self) -> Value {
        serde_json::to_value(CanonicalDocument::from(self))
            .unwrap_or_else(|_| unreachable!("plain data serializes"))
    }
}

fn root_fault(message: String) -> Vec<Fault> {
    vec![Fault { path: path::ROOT.to_owned(), message }]
}
