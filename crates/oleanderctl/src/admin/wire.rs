//! Message types of the admin interface.

use oleander_core::{Event, JobId, Revision, Time, WorkspaceId, value};
use oleander_document::{Document, Fault};
use serde::{Deserialize, Serialize};
use serde_json::Value;

use super::Cause;

value! {
    /// The document in force and its revision; both `None` before the first document.
    pub struct CurrentDocument {
        /// Revision of the document's object at the platform.
        pub revision: Option<Revision>,
        /// The document.
        pub document: Option<Document>,
    }

    /// One batch job.
    pub struct JobSummary {
        /// Id of the job.
        pub id: JobId,
        /// Workspace that submitted it.
        pub workspace: WorkspaceId,
        /// State as the batches API writes it.
        pub state: String,
        /// Number of all items.
        pub total: u64,
        /// Number of completed items.
        pub completed: u64,
        /// Number of failed items.
        pub failed: u64,
    }

    /// One page of the jobs, ordered by id.
    pub struct JobPage {
        /// Jobs of this page.
        pub jobs: Vec<JobSummary>,
        /// Whether there are jobs after this page.
        #[serde(default)]
        pub more: bool,
    }

    /// Filter of the events to read.
    #[derive(Default)]
    pub struct EventQuery {
        /// Request or job; `None` for all.
        pub subject: Option<String>,
        /// Earliest wall-clock time; `None` for all.
        pub since: Option<Time>,
    }
}

/// Request to apply a document.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct ApplyRequest {
    /// Revision to replace; `None` for the first document.
    pub base: Option<Revision>,
    /// The canonical document.
    pub document: Value,
}

impl ApplyRequest {
    /// A request to replace the revision `base` with `document`.
    #[must_use]
    pub fn new(base: Option<Revision>, document: &Document) -> Self {
        Self { base, document: document.to_value() }
    }
}

/// Response to an [`ApplyRequest`].
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ApplyResponse {
    /// The document was accepted as this revision.
    Applied(Revision),
    /// The revision in force is not the request's `base`.
    Conflict(CurrentDocument),
    /// The document was rejected with these faults.
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
        let document =
            document.map_err(|faults| Cause::InvalidResponse(summarize_faults(&faults)))?;
        Ok(Self { revision: body.revision, document })
    }
}

fn summarize_faults(faults: &[Fault]) -> String {
    let first = faults.first().map(ToString::to_string).unwrap_or_default();
    format!("the document has {} faults, first: {first}", faults.len())
}

impl EventQuery {
    /// The query string, without `?`.
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
