//! Checks that docs/CONFIG.md lists each field with its unit, default and bounds.

use oleander_document::schema;

const PAGE: &str = include_str!("../../../docs/CONFIG.md");

#[test]
fn every_field_has_a_row() {
    let objects = [
        &schema::DOCUMENT_FIELDS[..],
        &schema::SERVICE_FIELDS,
        &schema::OPERATION_FIELDS,
        &schema::TARGET_FIELDS,
        &schema::WORKSPACE_FIELDS,
    ];
    for name in objects.concat() {
        assert!(PAGE.contains(&format!("\n| `{name}` | ")), "no row for field {name}");
    }
}

#[test]
fn every_limit_has_its_unit_default_and_bounds() {
    for limit in
        [&schema::ONLINE_LIMITS[..], &schema::BATCH_LIMITS, &schema::WORKSPACE_LIMITS].concat()
    {
        let schema::Limit { name, unit, default, min, max } = limit;
        let row = format!("\n| `{name}` | {unit} | {default} | {min} to {max} | ");
        assert!(PAGE.contains(&row), "no row like {row}");
    }
}
