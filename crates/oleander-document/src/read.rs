//! Reads a document from a JSON value and validates it.
//!
//! Zones are read first, then services, then workspaces, so that each reference can be checked
//! against the names that it may refer to. If the array of zones or of services can't be read at
//! all, references to its elements aren't checked; all other faults are reported.

use std::net::SocketAddr;

use oleander_core::{Bytes, DigestId, Rate, Span, ZoneId, ids};
use serde_json::Value;

use crate::{
    BatchLimits, Document, Fault, OnlineLimits, Workspace, WorkspaceLimits,
    names::UniqueNames,
    path,
    reader::{Node, Object, Reader},
    schema,
};

mod service;

/// Length of a BLAKE3 digest, in hex digits.
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

/// Names declared so far, for the checks of references and of uniqueness.
///
/// `zones` and `services` are `None` if their array is missing or can't be read.
#[derive(Debug, Default)]
struct DeclaredNames {
    zones: Option<UniqueNames>,
    services: Option<UniqueNames>,
    targets: UniqueNames,
    workspaces: UniqueNames,
    digests: UniqueNames,
}

fn read_document(reader: &mut Reader, node: &Node<'_>) -> Option<Document> {
    let object = reader.object(node, &schema::DOCUMENT_FIELDS)?;
    let mut declared = DeclaredNames::default();
    let zones = read_zones(reader, &object, &mut declared);
    let services = service::read_services(reader, &object, &mut declared);
    let workspaces = read_workspaces(reader, &object, &mut declared);
    Some(Document { zones: zones?, services: services?, workspaces: workspaces? })
}

fn read_zones(
    reader: &mut Reader,
    object: &Object<'_>,
    declared: &mut DeclaredNames,
) -> Option<Vec<ZoneId>> {
    let node = reader.required(object, "zones")?;
    let nodes = reader.array(&node, 1, schema::MAX_ZONES)?;
    let mut names = UniqueNames::default();
    let zones = read_all(&nodes, |node| read_unique_id(reader, node, &mut names));
    declared.zones = Some(names);
    zones
}

fn read_workspaces(
    reader: &mut Reader,
    object: &Object<'_>,
    declared: &mut DeclaredNames,
) -> Option<Vec<Workspace>> {
    let node = reader.required(object, "workspaces")?;
    let nodes = reader.array(&node, 0, schema::MAX_WORKSPACES)?;
    read_all(&nodes, |node| read_workspace(reader, node, declared))
}

fn read_workspace(
    reader: &mut Reader,
    node: &Node<'_>,
    declared: &mut DeclaredNames,
) -> Option<Workspace> {
    let object = reader.object(node, &schema::WORKSPACE_FIELDS)?;
    let name = reader.required(&object, "name");
    let name = name.and_then(|node| read_unique_id(reader, &node, &mut declared.workspaces));
    let digest = reader.required(&object, "key_digest");
    let digest = digest.and_then(|node| read_digest(reader, &node, &mut declared.digests));
    let services = reader.required(&object, "services");
    let services = services.and_then(|node| read_allowed_services(reader, &node, declared));
    let limits = read_limits(reader, &object, "limits", &schema::WORKSPACE_LIMITS);
    Some(Workspace {
        name: name?,
        key_digest: digest?,
        services: services?,
        limits: limits.map(WorkspaceLimits::from)?,
    })
}

fn read_digest(reader: &mut Reader, node: &Node<'_>, names: &mut UniqueNames) -> Option<DigestId> {
    let text = reader.string(node)?;
    let is_hex = text.chars().all(|c| matches!(c, '0'..='9' | 'a'..='f'));
    if text.len() != DIGEST_DIGITS || !is_hex {
        reader.add_fault(&node.path, format!("must be {DIGEST_DIGITS} lower-case hex digits"));
        return None;
    }
    read_unique_id(reader, node, names)
}

fn read_allowed_services(
    reader: &mut Reader,
    node: &Node<'_>,
    declared: &DeclaredNames,
) -> Option<Vec<oleander_core::ServiceId>> {
    let nodes = reader.array(node, 0, schema::MAX_SERVICES)?;
    let mut names = UniqueNames::default();
    read_all(&nodes, |node| {
        let name: oleander_core::ServiceId = read_unique_id(reader, node, &mut names)?;
        require_declared(reader, node, declared.services.as_ref(), "service");
        Some(name)
    })
}

/// Reads all elements, even if some have faults; returns `None` if any has.
fn read_all<'a, T>(nodes: &[Node<'a>], read: impl FnMut(&Node<'a>) -> Option<T>) -> Option<Vec<T>> {
    let items: Vec<Option<T>> = nodes.iter().map(read).collect();
    items.into_iter().collect()
}

/// Reads an identifier that must be unique among `names`.
fn read_unique_id<T>(reader: &mut Reader, node: &Node<'_>, names: &mut UniqueNames) -> Option<T>
where
    T: std::str::FromStr<Err: std::fmt::Display> + ToString,
{
    let name: T = reader.id(node)?;
    names.insert(reader, &node.path, &name.to_string());
    Some(name)
}

/// Reports a fault if the string is not among the declared `names`.
fn require_declared(reader: &mut Reader, node: &Node<'_>, names: Option<&UniqueNames>, kind: &str) {
    let (Some(names), Some(name)) = (names, node.value.as_str()) else {
        return;
    };
    if !names.contains(name) {
        reader.add_fault(&node.path, format!("{kind} {name:?} is not declared"));
    }
}

/// Reads an optional object of limits; returns the numbers in the order of `limits`.
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
    let mut values = [0; N];
    for (slot, number) in values.iter_mut().zip(numbers) {
        *slot = number?;
    }
    Some(values)
}

/// Reads a target address: a unicast IP address and a port other than 0.
fn read_address(reader: &mut Reader, node: &Node<'_>, names: &mut UniqueNames) -> Option<String> {
    let text = reader.string(node)?;
    let Ok(address) = text.parse::<SocketAddr>() else {
        reader.add_fault(&node.path, format!("must be an IP address and port, is {text:?}"));
        return None;
    };
    let ip = address.ip();
    if address.port() == 0 || ip.is_unspecified() || ip.is_multicast() {
        reader.add_fault(
            &node.path,
            format!("must be a unicast IP address and a port other than 0, is {text:?}"),
        );
        return None;
    }
    let address = address.to_string();
    names.insert(reader, &node.path, &address);
    Some(address)
}

/// Reads the name of an operation, which is a path segment in URLs.
fn read_operation_name(
    reader: &mut Reader,
    node: &Node<'_>,
    names: &mut UniqueNames,
) -> Option<String> {
    let text = reader.string(node)?;
    if let Err(error) = ids::check_id(text, schema::MAX_OPERATION_BYTES) {
        reader.add_fault(&node.path, error.to_string());
        return None;
    }
    names.insert(reader, &node.path, text);
    Some(text.to_owned())
}

/// Converts to 32 bits; the bounds in the schema ensure that the number fits.
fn saturate_u32(number: u64) -> u32 {
    u32::try_from(number).unwrap_or(u32::MAX)
}

impl From<[u64; 6]> for OnlineLimits {
    fn from(numbers: [u64; 6]) -> Self {
        let [deadline, first, between, limit, reserve, queue] = numbers;
        Self {
            deadline: Span::from_millis(deadline),
            first_token: Span::from_millis(first),
            between_tokens: Span::from_millis(between),
            target_limit: saturate_u32(limit),
            reserve: saturate_u32(reserve),
            queue_limit: saturate_u32(queue),
        }
    }
}

impl From<[u64; 3]> for BatchLimits {
    fn from(numbers: [u64; 3]) -> Self {
        let [items, tries, checkpoint] = numbers;
        Self {
            lot_items: saturate_u32(items),
            item_tries: saturate_u32(tries),
            checkpoint_interval: Span::from_millis(checkpoint),
        }
    }
}

impl From<[u64; 4]> for WorkspaceLimits {
    fn from(numbers: [u64; 4]) -> Self {
        let [rate, burst, bytes, items] = numbers;
        Self {
            rate: Rate(rate),
            burst: saturate_u32(burst),
            file_bytes: Bytes(bytes),
            job_items: saturate_u32(items),
        }
    }
}
