//! Turns raw JSON into a checked document.
//!
//! Reading goes in the order zones, services, workspaces, so that each reference can be checked
//! against the names before it. A list that can't be read at all silences the checks of the
//! references to it; all other faults are reported.

use std::net::SocketAddr;

use oleander_core::{Bytes, DigestId, Rate, Span, ZoneId, ids};
use serde_json::Value;

use crate::{
    BatchLimits, Document, Fault, OnlineLimits, Workspace, WorkspaceLimits,
    names::Names,
    path,
    reader::{Node, Object, Reader},
    schema,
};

mod service;

/// Length of a digest in hex digits.
const DIGEST_DIGITS: usize = 64;

impl TryFrom<&Value> for Document {
    type Error = Vec<Fault>;

    fn try_from(value: &Value) -> Result<Self, Self::Error> {
        let mut reader = Reader::default();
        let node = Node { path: path::ROOT.to_owned(), value };
        let document = read_document(&mut reader, &node);
        let faults = reader.into_faults();
        match document {
            Some(document) if faults.is_empty() => Ok(document),
            _ => Err(faults),
        }
    }
}

/// Names that later parts refer to; `None` where the list can't be read.
#[derive(Debug, Default)]
struct Scope {
    zones: Option<Names>,
    services: Option<Names>,
    targets: Names,
    workspaces: Names,
    digests: Names,
}

fn read_document(reader: &mut Reader, node: &Node<'_>) -> Option<Document> {
    let object = reader.object(node, &schema::DOCUMENT_FIELDS)?;
    let mut scope = Scope::default();
    let zones = read_zones(reader, &object, &mut scope);
    let services = service::read_services(reader, &object, &mut scope);
    let workspaces = read_workspaces(reader, &object, &mut scope);
    Some(Document { zones: zones?, services: services?, workspaces: workspaces? })
}

fn read_zones(reader: &mut Reader, object: &Object<'_>, scope: &mut Scope) -> Option<Vec<ZoneId>> {
    let node = reader.required(object, "zones")?;
    let nodes = reader.list(&node, 1, schema::MAX_ZONES)?;
    let mut names = Names::default();
    let zones = read_all(&nodes, |node| read_name(reader, node, &mut names));
    scope.zones = Some(names);
    zones
}

fn read_workspaces(
    reader: &mut Reader,
    object: &Object<'_>,
    scope: &mut Scope,
) -> Option<Vec<Workspace>> {
    let node = reader.required(object, "workspaces")?;
    let nodes = reader.list(&node, 0, schema::MAX_WORKSPACES)?;
    read_all(&nodes, |node| read_workspace(reader, node, scope))
}

fn read_workspace(reader: &mut Reader, node: &Node<'_>, scope: &mut Scope) -> Option<Workspace> {
    let object = reader.object(node, &schema::WORKSPACE_FIELDS)?;
    let name = reader.required(&object, "name");
    let name = name.and_then(|node| read_name(reader, &node, &mut scope.workspaces));
    let digest = reader.required(&object, "key_digest");
    let digest = digest.and_then(|node| read_digest(reader, &node, &mut scope.digests));
    let services = reader.required(&object, "services");
    let services = services.and_then(|node| read_allowed(reader, &node, scope));
    let limits = read_limits(reader, &object, "limits", &schema::WORKSPACE_LIMITS);
    Some(Workspace {
        name: name?,
        key_digest: digest?,
        services: services?,
        limits: limits.map(WorkspaceLimits::from)?,
    })
}

fn read_digest(reader: &mut Reader, node: &Node<'_>, names: &mut Names) -> Option<DigestId> {
    let text = reader.text(node)?;
    let is_hex = text.chars().all(|c| matches!(c, '0'..='9' | 'a'..='f'));
    if text.len() != DIGEST_DIGITS || !is_hex {
        reader.fault(&node.path, format!("must be {DIGEST_DIGITS} lower-case hex digits"));
        return None;
    }
    read_name(reader, node, names)
}

fn read_allowed(
    reader: &mut Reader,
    node: &Node<'_>,
    scope: &Scope,
) -> Option<Vec<oleander_core::ServiceId>> {
    let nodes = reader.list(node, 0, schema::MAX_SERVICES)?;
    let mut names = Names::default();
    read_all(&nodes, |node| {
        let name: oleander_core::ServiceId = read_name(reader, node, &mut names)?;
        require_declared(reader, node, scope.services.as_ref(), "service");
        Some(name)
    })
}

/// Reads all elements, also after a fault.
fn read_all<'a, T>(nodes: &[Node<'a>], read: impl FnMut(&Node<'a>) -> Option<T>) -> Option<Vec<T>> {
    let items: Vec<Option<T>> = nodes.iter().map(read).collect();
    items.into_iter().collect()
}

/// Reads an identifier that may stand only once.
fn read_name<T>(reader: &mut Reader, node: &Node<'_>, names: &mut Names) -> Option<T>
where
    T: std::str::FromStr<Err: std::fmt::Display> + ToString,
{
    let name: T = reader.id(node)?;
    names.add(reader, &node.path, &name.to_string());
    Some(name)
}

/// Reports a name that is not among the declared ones.
fn require_declared(reader: &mut Reader, node: &Node<'_>, names: Option<&Names>, what: &str) {
    let (Some(names), Some(name)) = (names, node.value.as_str()) else {
        return;
    };
    if !names.contains(name) {
        reader.fault(&node.path, format!("no {what} {name:?} is declared"));
    }
}

/// Reads an optional object of limits, in the order of `limits`.
fn read_limits<const N: usize>(
    reader: &mut Reader,
    parent: &Object<'_>,
    name: &str,
    limits: &[schema::Limit; N],
) -> Option<[u64; N]> {
    let Some(node) = parent.optional(name) else {
        return Some(limits.map(|limit| limit.default));
    };
    let known = limits.map(|limit| limit.name);
    let object = reader.object(&node, &known)?;
    let numbers = limits.map(|limit| reader.limit(&object, &limit));
    let mut found = [0; N];
    for (slot, number) in found.iter_mut().zip(numbers) {
        *slot = number?;
    }
    Some(found)
}

/// Reads a target address: an IP number and a port that can be connected to.
fn read_address(reader: &mut Reader, node: &Node<'_>, names: &mut Names) -> Option<String> {
    let text = reader.text(node)?;
    let Ok(address) = text.parse::<SocketAddr>() else {
        reader.fault(&node.path, format!("must be an IP number and a port, is {text:?}"));
        return None;
    };
    let ip = address.ip();
    if address.port() == 0 || ip.is_unspecified() || ip.is_multicast() {
        reader.fault(&node.path, format!("{text:?} can't be connected to"));
        return None;
    }
    let address = address.to_string();
    names.add(reader, &node.path, &address);
    Some(address)
}

/// Checks an operation's name, which becomes a path segment.
fn read_operation_name(reader: &mut Reader, node: &Node<'_>, names: &mut Names) -> Option<String> {
    let text = reader.text(node)?;
    if let Err(error) = ids::check_id(text, schema::MAX_OPERATION_BYTES) {
        reader.fault(&node.path, error.to_string());
        return None;
    }
    names.add(reader, &node.path, text);
    Some(text.to_owned())
}

/// Narrows a number that its bound keeps within 32 bits.
fn narrow(number: u64) -> u32 {
    u32::try_from(number).unwrap_or(u32::MAX)
}

impl From<[u64; 6]> for OnlineLimits {
    fn from(numbers: [u64; 6]) -> Self {
        let [deadline, first, between, limit, reserve, queue] = numbers;
        Self {
            deadline: Span::from_millis(deadline),
            first_token: Span::from_millis(first),
            between_tokens: Span::from_millis(between),
            target_limit: narrow(limit),
            reserve: narrow(reserve),
            queue_limit: narrow(queue),
        }
    }
}

impl From<[u64; 3]> for BatchLimits {
    fn from(numbers: [u64; 3]) -> Self {
        let [items, tries, checkpoint] = numbers;
        Self {
            lot_items: narrow(items),
            item_tries: narrow(tries),
            checkpoint_interval: Span::from_millis(checkpoint),
        }
    }
}

impl From<[u64; 4]> for WorkspaceLimits {
    fn from(numbers: [u64; 4]) -> Self {
        let [rate, burst, bytes, items] = numbers;
        Self {
            rate: Rate(rate),
            burst: narrow(burst),
            file_bytes: Bytes(bytes),
            job_items: narrow(items),
        }
    }
}
