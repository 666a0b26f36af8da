//! Control requests to engines: load, state, cancellation and orders.

use bytes::Bytes;
use oleander_core::{Fence, ModelId, Time};
use serde::{Deserialize, Serialize};

use crate::{client::TargetClient, error::TargetError};

/// Load of an engine.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Deserialize)]
pub struct EngineLoad {
    /// Number of sequences in the running batch.
    pub running: u32,
    /// Number of sequences that wait for admission.
    pub waiting: u32,
    /// Time of the measurement.
    pub measured_at_us: Time,
}

/// An order to an engine.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Order {
    /// Load a model.
    Load(ModelId),
    /// Unload a model.
    Unload(ModelId),
    /// Change the engine's role.
    Role(String),
}

/// Outcome of an order.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum OrderOutcome {
    /// The engine accepted the order.
    Accepted,
    /// The engine rejected the order, since it has accepted one with this newer fencing number.
    Stale(Fence),
}

/// State that an engine reports.
#[derive(Debug, Clone, PartialEq, Eq, Deserialize)]
pub struct EngineState {
    /// Loaded models.
    pub models: Vec<ModelId>,
    /// Role of the engine.
    pub role: String,
    /// Fencing number of the last accepted order.
    pub fence: Fence,
}

#[derive(Serialize)]
struct OrderBody<'a> {
    fence: Fence,
    order: &'a Order,
}

#[derive(Deserialize)]
struct OrderResponse {
    fence: Fence,
}

impl TargetClient {
    /// Reads the load of an engine.
    ///
    /// # Errors
    ///
    /// Fails if no valid response arrives.
    pub async fn read_load(&self, address: &str) -> Result<EngineLoad, TargetError> {
        let response = self.get(address, "v1/load").await?;
        parse(&response.body)
    }

    /// Cancels a request at an engine, whether it is running or not.
    ///
    /// # Errors
    ///
    /// Fails if no response arrives.
    pub async fn cancel(&self, address: &str, request_id: &str) -> Result<(), TargetError> {
        let path = format!("v1/cancel/{request_id}");
        self.post_without_id(address, &path, Bytes::new()).await.map(|_| ())
    }

    /// Sends an order with a fencing number to an engine.
    ///
    /// # Errors
    ///
    /// Fails if no valid response arrives; the order may be in force.
    pub async fn send_order(
        &self,
        address: &str,
        fence: Fence,
        order: &Order,
    ) -> Result<OrderOutcome, TargetError> {
        let body = serde_json::to_vec(&OrderBody { fence, order })
            .map_err(|e| TargetError::Connect(e.to_string()))?;
        let response = self.post_without_id(address, "v1/orders", Bytes::from(body)).await?;
        let parsed: OrderResponse = parse(&response.body)?;
        match response.status {
            200 => Ok(OrderOutcome::Accepted),
            409 => Ok(OrderOutcome::Stale(parsed.fence)),
            status => Err(TargetError::Status(status, String::new())),
        }
    }

    /// Reads the state of an engine.
    ///
    /// # Errors
    ///
    /// Fails if no valid response arrives.
    pub async fn read_state(&self, address: &str) -> Result<EngineState, TargetError> {
        let response = self.get(address, "v1/state").await?;
        parse(&response.body)
    }
}

fn parse<T: for<'de> Deserialize<'de>>(body: &[u8]) -> Result<T, TargetError> {
    serde_json::from_slice(body).map_err(|e| TargetError::Interrupted(e.to_string()))
}
