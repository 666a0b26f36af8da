//! Drafts built from form fields.

use oleander_check::properties;
use oleander_console::{Draft, DraftError};
use oleander_document::Document;

const EXAMPLE: &str = include_str!("../../../examples/ventiladores.json");

fn example() -> Draft {
    Draft::from(&Document::from_json(EXAMPLE.as_bytes()).expect("an example"))
}

#[test]
fn a_new_element_is_invalid_until_it_is_filled_in() {
    let mut draft = example();
    draft.add("$.services[0].targets").unwrap();
    let paths: Vec<String> = draft.check().unwrap_err().into_iter().map(|f| f.path).collect();
    assert_eq!(paths, ["$.services[0].targets[3].name", "$.services[0].targets[3].address"]);
    draft.remove("$.services[0].targets[3]").unwrap();
    assert!(draft.check().is_ok());
}

#[test]
fn an_element_can_be_added_to_every_list() {
    let lists = [
        "$.zones",
        "$.services",
        "$.services[1].operations",
        "$.services[1].targets",
        "$.workspaces",
        "$.workspaces[0].services",
    ];
    for list in lists {
        let mut draft = example();
        draft.add(list).unwrap();
        assert!(draft.check().is_err(), "{list}");
    }
}

#[test]
fn an_empty_limit_takes_its_default() {
    let fields = [("$.zones[0]", "a"), ("$.services", "[]"), ("$.workspaces", "[]")];
    let service = [
        ("$.services[0].name", "s"),
        ("$.services[0].kind", "engine"),
        ("$.services[0].model", "m"),
        ("$.services[0].targets", "[]"),
        ("$.services[0].online.reserve", ""),
        ("$.services[0].online.target_limit", " 8 "),
    ];
    let document = Draft::from_fields(fields.into_iter().chain(service)).unwrap().check().unwrap();
    assert_eq!(
        (document.services[0].online.reserve, document.services[0].online.target_limit),
        (4, 8)
    );
}

#[test]
fn field_names_that_are_not_document_paths_are_rejected() {
    let deep = format!("${}", ".x".repeat(100_000));
    for path in ["$.zones[7]", "$.zones[", "$..x", "zones", "$.zones[0].name[1]", "", &deep] {
        let result = Draft::from_fields([("$.zones", "[]"), (path, "x")]);
        assert_eq!(result, Err(DraftError::InvalidField(path.to_owned())));
    }
}

properties! {
    fn arbitrary_fields_do_not_panic(fields: Vec<(String, String)>, segments: Vec<u8>) -> bool {
        let parts = ["$", ".zones", ".services", "[0]", "[1]", ".name", ".kind", ".online"];
        let path: String = segments.iter().map(|s| parts[usize::from(*s) % parts.len()]).collect();
        let mut all: Vec<(&str, &str)> = vec![(&path, "x"), (&path, "[]")];
        all.extend(fields.iter().map(|(name, text)| (name.as_str(), text.as_str())));
        if let Ok(mut draft) = Draft::from_fields(all) {
            let _ = (draft.add(&path), draft.remove(&path), draft.check());
        }
        true
    }
}
