//! Orders to load and unload models and to change role, with fencing numbers.

use std::collections::BTreeSet;

use serde::{Deserialize, Serialize};

use crate::engine::Options;

/// What the engine is told to do.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Order {
    /// Load a model.
    Load(String),
    /// Unload a model.
    Unload(String),
    /// Change the role.
    Role(String),
}

/// Body of `POST /v1/orders`.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct OrderRequest {
    /// Fencing number of the orderer.
    pub fence: u64,
    /// What to do.
    pub order: Order,
}

/// The answer to `GET /v1/state`.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct EngineState {
    /// Loaded models in order of name.
    pub models: Vec<String>,
    /// Role of the engine.
    pub role: String,
    /// Fencing number of the last order that took effect.
    pub fence: u64,
}

/// The answer to `POST /v1/orders`.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub(super) struct Fenced {
    pub(super) fence: u64,
}

#[derive(Debug)]
pub(super) struct Orders {
    models: BTreeSet<String>,
    role: String,
    fence: u64,
}

impl Orders {
    pub(super) fn new(options: &Options) -> Self {
        let models = options.models.iter().cloned().collect();
        Self { models, role: options.role.clone(), fence: 0 }
    }

    /// Carries out an order, or returns the current fencing number if its own is older.
    pub(super) fn take(
        &mut self,
        request: OrderRequest,
        ignore_fence: bool,
    ) -> Result<Fenced, Fenced> {
        if request.fence < self.fence && !ignore_fence {
            return Err(Fenced { fence: self.fence });
        }
        self.fence = request.fence;
        match request.order {
            Order::Load(model) => {
                self.models.insert(model);
            }
            Order::Unload(model) => {
                self.models.remove(&model);
            }
            Order::Role(role) => self.role = role,
        }
        Ok(Fenced { fence: self.fence })
    }

    pub(super) fn state(&self) -> EngineState {
        let models = self.models.iter().cloned().collect();
        EngineState { models, role: self.role.clone(), fence: self.fence }
    }
}
