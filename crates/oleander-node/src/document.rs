//! This host's copy of the configuration document.
//!
//! Only a higher revision replaces the current one. A host that starts while the platform is
//! unreachable takes the document from a peer.

use std::sync::Arc;

use oleander_core::Revision;
use oleander_document::Document;
use parking_lot::RwLock;

/// Key of the document at the platform.
pub const DOCUMENT_KEY: &str = "config/document";

/// A document and its revision.
#[derive(Debug, Clone)]
pub struct VersionedDocument {
    /// Revision at the platform.
    pub revision: Revision,
    /// The document.
    pub document: Arc<Document>,
}

/// The newest valid document that this host has received.
#[derive(Debug, Default)]
pub struct LocalDocument {
    current: RwLock<Option<VersionedDocument>>,
}

impl LocalDocument {
    /// The current document; `None` before the first one.
    #[must_use]
    pub fn current(&self) -> Option<VersionedDocument> {
        self.current.read().clone()
    }

    /// Revision of the current document.
    #[must_use]
    pub fn revision(&self) -> Option<Revision> {
        self.current.read().as_ref().map(|current| current.revision)
    }

    /// The current document as JSON if its revision is higher than `known`.
    #[must_use]
    pub fn newer_than(&self, known: Revision) -> Option<(Revision, String)> {
        let current = self.current()?;
        (current.revision > known).then(|| (current.revision, current.document.to_json()))
    }

    /// Replaces the current document if `bytes` is a valid one and `revision` is higher.
    ///
    /// Returns the new document, or `None` if the current one stays.
    pub fn update_if_newer(&self, revision: Revision, bytes: &[u8]) -> Option<Arc<Document>> {
        if self.revision() >= Some(revision) {
            return None;
        }
        let document = match Document::from_json(bytes) {
            Ok(document) => Arc::new(document),
            Err(faults) => {
                log::error!("document at revision {revision} rejected: {} faults", faults.len());
                return None;
            }
        };
        let mut current = self.current.write();
        if current.as_ref().is_some_and(|current| current.revision >= revision) {
            return None;
        }
        *current = Some(VersionedDocument { revision, document: Arc::clone(&document) });
        Some(document)
    }
}
