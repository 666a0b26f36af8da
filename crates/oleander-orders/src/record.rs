//! The object at the platform that orders of one target come from.

use oleander_core::{AttemptId, HostId, ModelId, Revision, TargetId, value};

use crate::goal::Goal;

/// Prefix of the keys of all records.
pub const ORDER_PREFIX: &str = "order/";
/// Most models that a record remembers.
const MAX_GIVEN: usize = 32;

value! {
    /// What a target has to hold; the object's revision is the fencing number of its orders.
    pub struct OrderRecord {
        /// Revision of the document that it comes from.
        pub document: Revision,
        /// What the target has to hold.
        pub goal: Goal,
        /// Models that this record and earlier ones named, oldest first.
        pub given: Vec<ModelId>,
        /// Whether it is the first record of its target.
        pub first: bool,
        /// Host that wrote it.
        pub host: HostId,
        /// The write.
        pub attempt: AttemptId,
    }
}

impl OrderRecord {
    /// Key of a target's record.
    #[must_use]
    pub fn key(target: &TargetId) -> String {
        format!("{ORDER_PREFIX}{target}")
    }

    /// The goal of the same engine once its target has left the document.
    #[must_use]
    pub fn dropped(&self) -> Goal {
        match &self.goal {
            Goal::Hold { address, .. } => {
                Goal::Drop { address: address.clone(), models: self.given.clone() }
            }
            drop @ Goal::Drop { .. } => drop.clone(),
        }
    }

    /// Adds the model of a goal to those that earlier records named.
    #[must_use]
    pub fn given_with(mut given: Vec<ModelId>, goal: &Goal) -> Vec<ModelId> {
        if let Some(model) = goal.model() {
            given.retain(|earlier| earlier != model);
            given.push(model.clone());
        }
        let excess = given.len().saturating_sub(MAX_GIVEN);
        given.split_off(excess)
    }

    /// The record as stored.
    ///
    /// # Errors
    ///
    /// Fails if the encoder does.
    pub fn encode(&self) -> Result<Vec<u8>, serde_json::Error> {
        serde_json::to_vec(self)
    }

    /// Reads a stored record.
    ///
    /// # Errors
    ///
    /// Fails if `bytes` is no record.
    pub fn decode(bytes: &[u8]) -> Result<Self, serde_json::Error> {
        serde_json::from_slice(bytes)
    }
}
