//! Calls to several processes.

use std::{future::Future, net::SocketAddr};

use futures_util::future;
use oleander_core::{Event, JobId};
use oleander_host::HostStatus;

use crate::{
    AdminClient, AdminError, AdminKey,
    admin::{ApplyRequest, ApplyResponse, CurrentDocument, EventQuery, JobPage},
};

/// The admin listeners of several processes; never empty.
#[derive(Debug, Clone)]
pub struct Fleet {
    clients: Vec<AdminClient>,
}

/// What one process answered.
#[derive(Debug, Clone)]
pub struct HostResponse<T> {
    /// Address of its admin listener.
    pub address: SocketAddr,
    /// Its answer.
    pub result: Result<T, AdminError>,
}

impl Fleet {
    /// Clients of the listeners at `addresses`; `None` without any.
    #[must_use]
    pub fn new(addresses: &[SocketAddr], key: &AdminKey) -> Option<Self> {
        let clients: Vec<AdminClient> =
            addresses.iter().map(|address| AdminClient::new(*address, key.clone())).collect();
        (!clients.is_empty()).then_some(Self { clients })
    }

    /// The client of one listener.
    #[must_use]
    pub fn client(&self, address: SocketAddr) -> Option<&AdminClient> {
        self.clients.iter().find(|client| client.address() == address)
    }

    /// Status of each process.
    pub async fn status(&self) -> Vec<HostResponse<HostStatus>> {
        self.each(|client| async move { client.status().await }).await
    }

    /// Events of each process.
    pub async fn events(&self, query: &EventQuery) -> Vec<HostResponse<Vec<Event>>> {
        self.each(|client| async move { client.events(query).await }).await
    }

    /// The document in force, from the first process that serves it.
    ///
    /// # Errors
    ///
    /// Returns the last error if none does.
    pub async fn document(&self) -> Result<CurrentDocument, AdminError> {
        self.first(0, |client| async move { client.document().await }).await
    }

    /// Applies a document through one process after another, beginning with the one at `start`,
    /// until one answers or an answer is lost.
    ///
    /// # Errors
    ///
    /// Returns a lost answer, else the last error.
    pub async fn apply(
        &self,
        start: usize,
        request: &ApplyRequest,
    ) -> Result<ApplyResponse, AdminError> {
        self.first(start, |client| async move {
            match client.apply(request).await {
                Err(error) if error.may_have_run() => Ok(Err(error)),
                Err(error) => Err(error),
                Ok(answer) => Ok(Ok(answer)),
            }
        })
        .await?
    }

    /// The first jobs after `after`, from the first process that serves them.
    ///
    /// # Errors
    ///
    /// Returns the last error if none does.
    pub async fn jobs(&self, after: Option<&JobId>) -> Result<JobPage, AdminError> {
        self.first(0, |client| async move { client.jobs(after).await }).await
    }

    /// Cancels a job through the first process that answers; cancelling is idempotent.
    ///
    /// # Errors
    ///
    /// Returns a lost answer if there was one, else the last error.
    pub async fn cancel(&self, job: &JobId) -> Result<(), AdminError> {
        self.first(0, |client| async move { client.cancel(job).await }).await
    }

    async fn each<'a, T, F>(&'a self, call: impl Fn(&'a AdminClient) -> F) -> Vec<HostResponse<T>>
    where
        F: Future<Output = Result<T, AdminError>>,
    {
        let answers = self.clients.iter().map(|client| {
            let answer = call(client);
            async move { HostResponse { address: client.address(), result: answer.await } }
        });
        future::join_all(answers).await
    }

    /// Calls one process after another until one gives an answer of its own.
    async fn first<'a, T, F>(
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
        let mut answer = call(client).await;
        for client in clients {
            let failed = match answer {
                Err(error) if error.can_fail_over() => error,
                answer => return answer,
            };
            answer = call(client).await.map_err(|error| prefer(failed, error));
        }
        answer
    }
}

/// Keeps the error that matters most to the operator.
fn prefer(first: AdminError, second: AdminError) -> AdminError {
    let keep_first = first.may_have_run() || (first.is_permanent() && !second.is_permanent());
    if keep_first && second.can_fail_over() { first } else { second }
}
