//! Record of a target's goal, stored as an object at the platform.

use oleander_core::{AttemptId, HostId, ModelId, Revision, TargetId, value};

use crate::goal::Goal;

/// Prefix of the keys of all records.
pub const ORDER_PREFIX: &str = "order/";
/// Maximum number of models listed in a record.
const MAX_ASSIGNED: usize = 32;

value! {
    /// The goal of a target; the revision of its object is the fencing number of its orders.
    pub struct OrderRecord {
        /// Revision of the document that the goal comes from.
        pub document: Revision,
        /// Desired state of the target's engine.
        pub goal: Goal,
        /// Models assigned to the target by this record and earlier ones, oldest first.
        #[serde(rename = "given")]
        pub assigned: Vec<ModelId>,
        /// Whether it is the first record of its target.
        pub first: bool,
        /// Host that wrote the record.
        pub host: HostId,
        /// Identifier of the write.
        pub attempt: AttemptId,
    }
}

impl OrderRecord {
    /// Key of a target's record.
    #[must_use]
    pub fn key(target: &TargetId) -> String {
        format!("{ORDER_PREFIX}{target}")
    }

    /// The goal of the same engine after its target is removed from the document.
    #[must_use]
    pub fn drop_goal(&self) -> Goal {
        match &self.goal {
            Goal::Hold { address, .. } => {
                Goal::Drop { address: address.clone(), models: self.assigned.clone() }
            }
            drop @ Goal::Drop { .. } => drop.clone(),
        }
    }

    /// Appends the model of a goal to the assigned models of earlier records.
    #[must_use]
    pub fn with_assigned(mut assigned: Vec<ModelId>, goal: &Goal) -> Vec<ModelId> {
        if let Some(model) = goal.model() {
            assigned.retain(|earlier| earlier != model);
            assigned.push(model.clone());
        }
        let excess = assigned.len().saturating_sub(MAX_ASSIGNED);
        assigned.split_off(excess)
    }

    /// Encodes the record as JSON.
    ///
    /// # Errors
    ///
    /// Fails if serialization fails.
    pub fn encode(&self) -> Result<Vec<u8>, serde_json::Error> {
        serde_json::to_vec(self)
    }

    /// Decodes a stored record.
    ///
    /// # Errors
    ///
    /// Fails if `bytes` is not the JSON of a record.
    pub fn decode(bytes: &[u8]) -> Result<Self, serde_json::Error> {
        serde_json::from_slice(bytes)
    }
}
