//! Properties of identifiers and units.

use oleander_check::properties;
use oleander_core::{HostId, ParseIdError, Span, Time, hash};

properties! {
    fn a_printed_span_parses_to_itself(micros: u64) -> bool {
        Span(micros).to_string().parse() == Ok(Span(micros))
    }

    fn since_never_underflows(a: u64, b: u64) -> bool {
        Time(a).since(Time(b)).0 == a.saturating_sub(b)
    }

    fn owner_stays_when_another_host_leaves(key: String, hosts: Vec<String>, gone: usize) -> bool {
        let Some(owner) = hash::rendezvous(&key, &hosts) else { return hosts.is_empty() };
        let gone = &hosts[gone % hosts.len()];
        let remaining: Vec<&String> = hosts.iter().filter(|h| *h != gone).collect();
        gone == owner || hash::rendezvous(&key, remaining) == Some(owner)
    }
}

#[test]
fn invalid_host_ids_are_rejected() {
    assert!("entry-1".parse::<HostId>().is_ok());
    assert_eq!("".parse::<HostId>(), Err(ParseIdError::Empty));
    assert_eq!("a/b".parse::<HostId>(), Err(ParseIdError::InvalidCharacter('/')));
    assert_eq!("a".repeat(65).parse::<HostId>(), Err(ParseIdError::TooLong(64)));
}
