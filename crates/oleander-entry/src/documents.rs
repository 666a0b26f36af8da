//! The document in force on this host.
//!
//! Only a higher revision replaces what is in force; a host that starts without the platform
//! takes the document from a peer.

use std::sync::Arc;

use oleander_core::Revision;
use oleander_document::Document;
use parking_lot::RwLock;

/// Key of the document at the platform.
pub(crate) const DOCUMENT_KEY: &str = "config/document";

/// A document with its revision.
#[derive(Debug, Clone)]
pub(crate) struct InForce {
    /// Revision at the platform.
    pub(crate) revision: Revision,
    /// The document.
    pub(crate) document: Arc<Document>,
    /// Its canonical text.
    pub(crate) text: Arc<String>,
}

/// The document in force.
#[derive(Debug, Default)]
pub(crate) struct Documents {
    current: RwLock<Option<InForce>>,
}

impl Documents {
    /// What is in force.
    pub(crate) fn current(&self) -> Option<InForce> {
        self.current.read().clone()
    }

    /// Revision in force.
    pub(crate) fn revision(&self) -> Option<Revision> {
        self.current.read().as_ref().map(|current| current.revision)
    }

    /// Puts a document in force if its revision is higher; true if it was.
    pub(crate) fn offer(&self, revision: Revision, bytes: &[u8]) -> bool {
        if self.revision() >= Some(revision) {
            return false;
        }
        let document = match Document::from_json(bytes) {
            Ok(document) => document,
            Err(faults) => {
                log::error!("document at revision {revision} has {} faults", faults.len());
                return false;
            }
        };
        let text = Arc::new(document.to_json());
        let new = InForce { revision, document: Arc::new(document), text };
        let mut current = self.current.write();
        if current.as_ref().is_some_and(|current| current.revision >= revision) {
            return false;
        }
        *current = Some(new);
        true
    }
}
