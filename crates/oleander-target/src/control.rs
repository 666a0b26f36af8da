//! Control calls to engines: load, cancel and orders.

use bytes::Bytes;
use oleander_core::{Fence, ModelId, Time};
use serde::{Deserialize, Serialize};

use crate::{client::TargetClient, error::TargetError};

/// Load of an engine at the time it was measured.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Deserialize)]
pub struct EngineLoad {
    /// Sequences in the batch.
    pub running: u32,
    /// Sequences that wait to be let in.
    pub waiting: u32,
    /// When it was measured.
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

/// What became of an order.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum OrderOutcome {
    /// The engine took it.
    Accepted,
    /// A newer order is in force.
    Stale(Fence),
}

/// What an engine says of itself.
#[derive(Debug, Clone, PartialEq, Eq, Deserialize)]
pub struct EngineState {
    /// Loaded models.
    pub models: Vec<ModelId>,
    /// Its role.
    pub role: String,
    /// Fencing number of the last order it took.
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
    /// Reads an engine's load.
    ///
    /// # Errors
    ///
    /// Fails without a readable answer.
    pub async fn read_load(&self, address: &str) -> Result<EngineLoad, TargetError> {
        let answer = self.get(address, "v1/load").await?;
        parse(&answer.body)
    }

    /// Cancels a request at an engine, running or not.
    ///
    /// # Errors
    ///
    /// Fails without an answer.
    pub async fn cancel(&self, address: &str, request_id: &str) -> Result<(), TargetError> {
        let path = format!("v1/cancel/{request_id}");
        self.post_without_id(address, &path, Bytes::new()).await.map(|_| ())
    }

    /// Gives an engine an order with a fencing number.
    ///
    /// # Errors
    ///
    /// Fails without a readable answer; the order may be in force.
    pub async fn send_order(
        &self,
        address: &str,
        fence: Fence,
        order: &Order,
    ) -> Result<OrderOutcome, TargetError> {
        let body = serde_json::to_vec(&OrderBody { fence, order })
            .map_err(|e| TargetError::Connect(e.to_string()))?;
        let answer = self.post_without_id(address, "v1/orders", Bytes::from(body)).await?;
        let stated: OrderResponse = parse(&answer.body)?;
        match answer.status {
            200 => Ok(OrderOutcome::Accepted),
            409 => Ok(OrderOutcome::Stale(stated.fence)),
            status => Err(TargetError::Status(status, String::new())),
        }
    }

    /// Reads what an engine says of itself.
    ///
    /// # Errors
    ///
    /// Fails without a readable answer.
    pub async fn read_state(&self, address: &str) -> Result<EngineState, TargetError> {
        let answer = self.get(address, "v1/state").await?;
        parse(&answer.body)
    }
}

fn parse<T: for<'de> Deserialize<'de>>(body: &[u8]) -> Result<T, TargetError> {
    serde_json::from_slice(body).map_err(|e| TargetError::Interrupted(e.to_string()))
}
