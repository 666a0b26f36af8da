//! Faults and records of the stand-ins of a deployment.

use http::Method;
use serde_json::Value;

use super::Deployment;
use crate::{caller::body_text, client::Response};

impl Deployment {
    /// Sets the injected faults of the platform stand-in.
    ///
    /// # Panics
    ///
    /// Panics if the stand-in refuses the request or does not respond.
    pub async fn set_platform_faults(&self, fault: &Value) {
        let response = self.call_platform(Method::PUT, "_fault", fault).await.expect("no response");
        assert!(response.status.is_success(), "{}", response.body);
    }

    /// Sets the injected faults of an engine stand-in.
    ///
    /// # Panics
    ///
    /// Panics if the stand-in refuses the request or does not respond.
    pub async fn set_engine_faults(&self, engine: usize, fault: &Value) {
        let url = format!("{}/_fault", self.engine_addresses[engine]);
        let response = self.client.send(Method::PUT, &url, &[], body_text(fault)).await;
        assert!(response.expect("no response").status.is_success());
    }

    /// Sets the injected faults of the stand-in of the plain service.
    ///
    /// # Panics
    ///
    /// Panics if the stand-in refuses the request or does not respond.
    pub async fn set_service_faults(&self, fault: &Value) {
        let url = format!("{}/_fault", self.service_address);
        let response = self.client.send(Method::PUT, &url, &[], body_text(fault)).await;
        assert!(response.expect("no response").status.is_success());
    }

    /// Number of runs by request id, as counted by the stand-in of the plain service.
    ///
    /// # Panics
    ///
    /// Panics if the stand-in does not respond.
    pub async fn service_runs(&self) -> serde_json::Map<String, Value> {
        let url = format!("{}/_records", self.service_address);
        let response = self.client.get(&url, &[]).await.expect("no response");
        response.json()["runs"].as_object().cloned().unwrap_or_default()
    }

    /// Event records of an engine stand-in.
    ///
    /// # Panics
    ///
    /// Panics if the stand-in does not respond.
    pub async fn engine_records(&self, engine: usize) -> Vec<Value> {
        let url = format!("{}/_records", self.engine_addresses[engine]);
        let response = self.client.get(&url, &[]).await.expect("no response");
        response.json()["records"].as_array().cloned().unwrap_or_default()
    }

    /// Sends a request to the platform stand-in.
    ///
    /// # Errors
    ///
    /// Returns a description of the failure if no complete response arrives in time.
    pub async fn call_platform(
        &self,
        method: Method,
        path: &str,
        body: &Value,
    ) -> Result<Response, String> {
        let url = format!("{}/{path}", self.platform_address);
        self.client.send(method, &url, &[], body_text(body)).await
    }
}
