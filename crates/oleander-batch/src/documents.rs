//! The document in force on this host; only a higher revision replaces it.

use std::sync::Arc;

use oleander_core::Revision;
use oleander_document::Document;
use parking_lot::RwLock;

/// Key of the document at the platform.
pub(crate) const DOCUMENT_KEY: &str = "config/document";

#[derive(Debug, Clone)]
struct InForce {
    revision: Revision,
    document: Arc<Document>,
}

/// The document in force.
#[derive(Debug, Default)]
pub(crate) struct Documents {
    current: RwLock<Option<InForce>>,
}

impl Documents {
    /// Revision in force.
    pub(crate) fn revision(&self) -> Option<Revision> {
        self.current.read().as_ref().map(|current| current.revision)
    }

    /// The document as JSON, if it is newer than `known`.
    pub(crate) fn newer(&self, known: Revision) -> Option<(Revision, String)> {
        let current = self.current.read().clone()?;
        (current.revision > known).then(|| (current.revision, current.document.to_json()))
    }

    /// Puts a document in force if its revision is higher; returns it if it was.
    pub(crate) fn offer(&self, revision: Revision, bytes: &[u8]) -> Option<Arc<Document>> {
        if self.revision() >= Some(revision) {
            return None;
        }
        let document = match Document::from_json(bytes) {
            Ok(document) => Arc::new(document),
            Err(faults) => {
                log::error!("document at revision {revision} has {} faults", faults.len());
                return None;
            }
        };
        let mut current = self.current.write();
        if current.as_ref().is_some_and(|current| current.revision >= revision) {
            return None;
        }
        *current = Some(InForce { revision, document: Arc::clone(&document) });
        Some(document)
    }
}
