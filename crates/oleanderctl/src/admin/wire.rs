//! Messages of the admin interface.

use oleander_core::{Event, JobId, Revision, Time, WorkspaceId, value};
use oleander_document::{Document, Fault};
use serde::{Deserialize, Serialize};
use serde_json::Value;

use super::Cause;

value! {
    /// The document in force and its revision; both absent before the first.
    pub struct CurrentDocument {
        /// Revision of the platform's object.
        pub revision: Option<Revision>,
        /// The document.
        pub document: Option<Document>,
    }

    /// One batch job.
    pub struct JobSummary {
        /// Name of the job.
        pub id: JobId,
        /// Workspace that submitted it.
        pub workspace: WorkspaceId,
        /// State in the words of the batches interface.
        pub state: String,
        /// Items in all.
        pub total: u64,
        /// Items with a result.
        pub completed: u64,
        /// Items that ended as failed.
        pub failed: u64,
    }

    /// Some of the jobs, by name.
    pub struct JobPage {
        /// The jobs.
        pub jobs: Vec<JobSummary>,
        /// Whether more follow the last one.
        #[serde(default)]
        pub more: bool,
    }

    /// Which events to read.
    #[derive(Default)]
    pub struct EventQuery {
        /// Request or job; all for `None`.
        pub subject: Option<String>,
        /// Oldest wall clock of interest.
        pub since: Option<Time>,
    }
}

/// Asks for a document to be put in force.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct ApplyRequest {
    /// Revision that the change was made against; `None` for the first document.
    pub base: Option<Revision>,
    /// The canonical document.
    pub document: Value,
}

impl ApplyRequest {
    /// A change from the revision `base` to `document`.
    #[must_use]
    pub fn new(base: Option<Revision>, document: &Document) -> Self {
        Self { base, document: document.to_value() }
    }
}

/// What became of a document.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ApplyResponse {
    /// Accepted as this revision.
    Applied(Revision),
    /// Another revision is in force than the one that was read.
    Conflict(CurrentDocument),
    /// Rejected with these faults.
    Rejected(Vec<Fault>),
}

#[derive(Debug, Deserialize)]
pub(super) struct EventsBody {
    pub(super) events: Vec<Event>,
}

#[derive(Debug, Deserialize)]
pub(super) struct AppliedBody {
    pub(super) revision: Revision,
}

#[derive(Debug, Deserialize)]
pub(super) struct FaultsBody {
    pub(super) faults: Vec<Fault>,
}

#[derive(Debug, Deserialize)]
pub(super) struct DocumentBody {
    revision: Option<Revision>,
    document: Option<Value>,
}

impl TryFrom<DocumentBody> for CurrentDocument {
    type Error = Cause;

    fn try_from(body: DocumentBody) -> Result<Self, Self::Error> {
        let document = body.document.as_ref().map(Document::try_from).transpose();
        let document = document.map_err(|faults| Cause::InvalidResponse(first_fault(&faults)))?;
        Ok(Self { revision: body.revision, document })
    }
}

fn first_fault(faults: &[Fault]) -> String {
    let first = faults.first().map(ToString::to_string).unwrap_or_default();
    format!("{} faults in the document, the first: {first}", faults.len())
}

impl EventQuery {
    /// The query part of the path.
    pub(super) fn encode(&self) -> String {
        let mut query = form_urlencoded::Serializer::new(String::new());
        if let Some(subject) = &self.subject {
            query.append_pair("subject", subject);
        }
        if let Some(since) = self.since {
            query.append_pair("since", &since.0.to_string());
        }
        query.finish()
    }
}
