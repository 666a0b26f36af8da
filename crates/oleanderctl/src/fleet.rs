//! Calls to the admin listeners of several processes.

use std::{future::Future, net::SocketAddr};

use futures_util::future;
use oleander_core::{Event, JobId};
use oleander_host::HostStatus;

use crate::{
    AdminClient, AdminError, AdminKey,
    admin::{ApplyRequest, ApplyResponse, CurrentDocument, EventQuery, JobPage},
};

/// Clients of the admin listeners of several processes; never empty.
#[derive(Debug, Clone)]
pub struct Fleet {
    clients: Vec<AdminClient>,
}

/// Result of a call to one process.
#[derive(Debug, Clone)]
pub struct HostResponse<T> {
    /// Address of its admin listener.
    pub address: SocketAddr,
    /// Its response, or why the call failed.
    pub result: Result<T, AdminError>,
}

impl Fleet {
    /// Clients of the listeners at `addresses`; `None` if `addresses` is empty.
    #[must_use]
    pub fn new(addresses: &[SocketAddr], key: &AdminKey) -> Option<Self> {
        let clients: Vec<AdminClient> =
            addresses.iter().map(|address| AdminClient::new(*address, key.clone())).collect();
        (!clients.is_empty()).then_some(Self { clients })
    }

    /// The client of the listener at `address`.
    #[must_use]
    pub fn client(&self, address: SocketAddr) -> Option<&AdminClient> {
        self.clients.iter().find(|client| client.address() == address)
    }

    /// Status of each process.
    pub async fn status(&self) -> Vec<HostResponse<HostStatus>> {
        self.call_all(|client| async move { client.status().await }).await
    }

    /// Events of each process.
    pub async fn events(&self, query: &EventQuery) -> Vec<HostResponse<Vec<Event>>> {
        self.call_all(|client| async move { client.events(query).await }).await
    }

    /// The document in force, from the first process that serves the call.
    ///
    /// # Errors
    ///
    /// Returns an error if no process serves the call.
    pub async fn document(&self) -> Result<CurrentDocument, AdminError> {
        self.call_in_turn(0, |client| async move { client.document().await }).await
    }

    /// Applies a document through one process after another, starting at index `start`, until one
    /// serves the call, an error rules out failover, or the change may have taken effect.
    ///
    /// # Errors
    ///
    /// Returns an error if no process serves the call; the change may have taken effect if
    /// [`AdminError::may_have_run`] is true.
    pub async fn apply(
        &self,
        start: usize,
        request: &ApplyRequest,
    ) -> Result<ApplyResponse, AdminError> {
        self.call_in_turn(start, |client| async move {
            match client.apply(request).await {
                Err(error) if error.may_have_run() => Ok(Err(error)),
                Err(error) => Err(error),
                Ok(response) => Ok(Ok(response)),
            }
        })
        .await?
    }

    /// One page of the jobs after `after`, from the first process that serves the call.
    ///
    /// # Errors
    ///
    /// Returns an error if no process serves the call.
    pub async fn jobs(&self, after: Option<&JobId>) -> Result<JobPage, AdminError> {
        self.call_in_turn(0, |client| async move { client.jobs(after).await }).await
    }

    /// Cancels a job through the first process that serves the call; cancelling is idempotent.
    ///
    /// # Errors
    ///
    /// Returns an error if no process serves the call: that of a call that may have taken effect,
    /// unless a later error rules out failover.
    pub async fn cancel(&self, job: &JobId) -> Result<(), AdminError> {
        self.call_in_turn(0, |client| async move { client.cancel(job).await }).await
    }

    async fn call_all<'a, T, F>(
        &'a self,
        call: impl Fn(&'a AdminClient) -> F,
    ) -> Vec<HostResponse<T>>
    where
        F: Future<Output = Result<T, AdminError>>,
    {
        let responses = self.clients.iter().map(|client| {
            let response = call(client);
            async move { HostResponse { address: client.address(), result: response.await } }
        });
        future::join_all(responses).await
    }

    /// Calls one process after another until one succeeds or an error rules out failover.
    async fn call_in_turn<'a, T, F>(
        &'a self,
        start: usize,
        call: impl Fn(&'a AdminClient) -> F,
    ) -> Result<T, AdminError>
    where
        F: Future<Output = Result<T, AdminError>>,
    {
        let count = self.clients.len();
        let mut clients = self.clients.iter().cycle().skip(start % count).take(count);
        let Some(client) = clients.next() else { unreachable!("a fleet is never empty") };
        let mut response = call(client).await;
        for client in clients {
            let failed = match response {
                Err(error) if error.can_fail_over() => error,
                response => return response,
            };
            response = call(client).await.map_err(|error| choose_error(failed, error));
        }
        response
    }
}

/// Chooses which error to report after failover.
///
/// The first error is kept if its call may have taken effect or if only it is permanent, unless
/// the second error rules out failover.
fn choose_error(first: AdminError, second: AdminError) -> AdminError {
    let keep_first = first.may_have_run() || (first.is_permanent() && !second.is_permanent());
    if keep_first && second.can_fail_over() { first } else { second }
}
