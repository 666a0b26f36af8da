//! Reads and validates services with their targets and operations.

use oleander_core::ModelId;

use super::{
    DeclaredNames, read_address, read_all, read_limits, read_operation_name, read_unique_id,
    require_declared,
};
use crate::{
    BatchLimits, OnlineLimits, Operation, Service, ServiceKind, TargetConfig,
    names::UniqueNames,
    path,
    reader::{Node, Object, Reader},
    schema::{self, Limit},
};

pub(super) fn read_services(
    reader: &mut Reader,
    object: &Object<'_>,
    declared: &mut DeclaredNames,
) -> Option<Vec<Service>> {
    let node = reader.required(object, "services")?;
    let nodes = reader.array(&node, 0, schema::MAX_SERVICES)?;
    let mut names = UniqueNames::default();
    let services = read_all(&nodes, |node| read_service(reader, node, &mut names, declared));
    declared.services = Some(names);
    services
}

fn read_service(
    reader: &mut Reader,
    node: &Node<'_>,
    names: &mut UniqueNames,
    declared: &mut DeclaredNames,
) -> Option<Service> {
    let object = reader.object(node, &schema::SERVICE_FIELDS)?;
    let name = reader.required(&object, "name");
    let name = name.and_then(|node| read_unique_id(reader, &node, names));
    let kind = read_kind(reader, &object);
    let targets = reader.required(&object, "targets");
    let targets = targets.and_then(|node| read_targets(reader, &node, declared));
    let online = read_online(reader, &object);
    let batch = read_limits(reader, &object, "batch", &schema::BATCH_LIMITS);
    Some(Service {
        name: name?,
        kind: kind?,
        targets: targets?,
        online: online?,
        batch: batch.map(BatchLimits::from)?,
    })
}

fn read_kind(reader: &mut Reader, object: &Object<'_>) -> Option<ServiceKind> {
    let node = reader.required(object, "kind")?;
    match node.value.as_str() {
        Some(schema::ENGINE_KIND) => read_engine(reader, object),
        Some(schema::PLAIN_KIND) => read_plain(reader, object),
        _ => {
            let message = format!("must be {:?} or {:?}", schema::ENGINE_KIND, schema::PLAIN_KIND);
            reader.add_fault(&node.path, message);
            check_unknown_kind(reader, object);
            None
        }
    }
}

/// Checks the fields of all kinds that are present, for a service whose kind is invalid.
fn check_unknown_kind(reader: &mut Reader, object: &Object<'_>) {
    if let Some(node) = object.optional("model") {
        reader.id::<ModelId>(&node);
    }
    if let Some(node) = object.optional("operations") {
        read_operations(reader, &node);
    }
}

fn read_engine(reader: &mut Reader, object: &Object<'_>) -> Option<ServiceKind> {
    reject_field(reader, object, "operations", "must be absent in an engine service");
    let node = reader.required(object, "model")?;
    let model = reader.id(&node)?;
    Some(ServiceKind::Engine { model })
}

fn read_plain(reader: &mut Reader, object: &Object<'_>) -> Option<ServiceKind> {
    reject_field(reader, object, "model", "must be absent in a plain service");
    let node = reader.required(object, "operations")?;
    let operations = read_operations(reader, &node)?;
    Some(ServiceKind::Plain { operations })
}

fn read_operations(reader: &mut Reader, node: &Node<'_>) -> Option<Vec<Operation>> {
    let nodes = reader.array(node, 1, schema::MAX_OPERATIONS)?;
    let mut names = UniqueNames::default();
    read_all(&nodes, |node| read_operation(reader, node, &mut names))
}

fn reject_field(reader: &mut Reader, object: &Object<'_>, name: &str, message: &str) {
    if let Some(node) = object.optional(name) {
        reader.add_fault(&node.path, message);
    }
}

fn read_operation(
    reader: &mut Reader,
    node: &Node<'_>,
    names: &mut UniqueNames,
) -> Option<Operation> {
    let object = reader.object(node, &schema::OPERATION_FIELDS)?;
    let name = reader.required(&object, "name");
    let name = name.and_then(|node| read_operation_name(reader, &node, names));
    let repeatable = reader.required(&object, "repeatable");
    let repeatable = repeatable.and_then(|node| reader.boolean(&node));
    Some(Operation { name: name?, repeatable: repeatable? })
}

fn read_targets(
    reader: &mut Reader,
    node: &Node<'_>,
    declared: &mut DeclaredNames,
) -> Option<Vec<TargetConfig>> {
    let nodes = reader.array(node, 0, schema::MAX_TARGETS)?;
    let mut addresses = UniqueNames::default();
    read_all(&nodes, |node| read_target(reader, node, declared, &mut addresses))
}

fn read_target(
    reader: &mut Reader,
    node: &Node<'_>,
    declared: &mut DeclaredNames,
    addresses: &mut UniqueNames,
) -> Option<TargetConfig> {
    let object = reader.object(node, &schema::TARGET_FIELDS)?;
    let name = reader.required(&object, "name");
    let name = name.and_then(|node| read_unique_id(reader, &node, &mut declared.targets));
    let zone = reader.required(&object, "zone");
    let zone = zone.and_then(|node| {
        let zone = reader.id(&node)?;
        require_declared(reader, &node, declared.zones.as_ref(), "zone");
        Some(zone)
    });
    let address = reader.required(&object, "address");
    let address = address.and_then(|node| read_address(reader, &node, addresses));
    Some(TargetConfig { name: name?, zone: zone?, address: address? })
}

fn read_online(reader: &mut Reader, object: &Object<'_>) -> Option<OnlineLimits> {
    check_reserve(reader, object);
    read_limits(reader, object, "online", &schema::ONLINE_LIMITS).map(OnlineLimits::from)
}

/// Checks that the reserve is below the target limit, even if other limits have faults.
fn check_reserve(reader: &mut Reader, object: &Object<'_>) {
    let node = object.optional("online");
    let number = |limit: &Limit| match node.as_ref().and_then(|n| n.value.get(limit.name)) {
        Some(value) => value.as_u64(),
        None => Some(limit.default),
    };
    let (Some(reserve), Some(max)) = (number(&schema::RESERVE), number(&schema::TARGET_LIMIT))
    else {
        return;
    };
    if reserve >= max {
        let online = path::field(&object.path, "online");
        let path = path::field(&online, schema::RESERVE.name);
        reader.add_fault(&path, format!("must be less than target_limit ({max}), is {reserve}"));
    }
}
