//! Orders to load and unload models and to change role, with fencing numbers.

use std::collections::BTreeSet;

use serde::{Deserialize, Serialize};

use crate::engine::Options;

/// Change of models or role that the engine is to make.
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
    /// Fencing number of the order.
    pub fence: u64,
    /// The order.
    pub order: Order,
}

/// Response to `GET /v1/state`.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct EngineState {
    /// Loaded models, sorted by name.
    pub models: Vec<String>,
    /// Role of the engine.
    pub role: String,
    /// Fencing number of the last order that took effect.
    pub fence: u64,
}

/// Response to `POST /v1/orders`.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub(super) struct OrderResponse {
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

    /// Carries out an order.
    ///
    /// # Errors
    ///
    /// Returns the current fencing number if that of the order is older.
    pub(super) fn apply(
        &mut self,
        request: OrderRequest,
        ignore_fence: bool,
    ) -> Result<OrderResponse, OrderResponse> {
        if request.fence < self.fence && !ignore_fence {
            return Err(OrderResponse { fence: self.fence });
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
        Ok(OrderResponse { fence: self.fence })
    }

    pub(super) fn state(&self) -> EngineState {
        let models = self.models.iter().cloned().collect();
        EngineState { models, role: self.role.clone(), fence: self.fence }
    }
}
