//! Inputs of the reconciler: the goals of a document, and the live entry hosts.

use std::collections::HashSet;

use oleander_core::HostId;
use oleander_document::{Document, Service, ServiceKind};
use oleander_host::{Phase, clock};
use oleander_orders::{Goal, TargetGoal};

use crate::app::App;

/// Goals of all engine targets of a document.
pub(super) fn goals(document: &Document) -> Vec<TargetGoal> {
    document.services.iter().flat_map(service_goals).collect()
}

fn service_goals(service: &Service) -> Vec<TargetGoal> {
    let ServiceKind::Engine { model } = &service.kind else { return Vec::new() };
    let goal = |address: &String| Goal::Hold { address: address.clone(), model: model.clone() };
    let targets = service.targets.iter();
    targets
        .map(|target| TargetGoal { target: target.name.clone(), goal: goal(&target.address) })
        .collect()
}

/// Live entry hosts that are not draining, by name.
pub(super) fn live_entries(app: &App) -> Vec<HostId> {
    let hosts = app.hosts.lock();
    let live: HashSet<String> = hosts.addresses(clock::now()).into_iter().collect();
    let own = hosts.own_contact().host;
    let available = app.shutdown.phase() == Phase::Running;
    let live =
        |listen: &String, host: &HostId| live.contains(listen) && (available || *host != own);
    let contacts = hosts.contacts().into_iter();
    let entries = contacts.filter(|contact| contact.entry && live(&contact.listen, &contact.host));
    entries.map(|contact| contact.host).collect()
}
