//! Parses JSON and reports duplicate fields of objects.
//!
//! `serde_json` keeps the last of several fields with the same name and drops the others silently.

use std::{cell::RefCell, fmt};

use serde::de::{DeserializeSeed, Deserializer, MapAccess, SeqAccess, Visitor};
use serde_json::{Map, Number, Value};

use crate::{Fault, path};

/// A parsed value, and a fault for each duplicate field.
#[derive(Debug)]
pub(crate) struct Parsed {
    pub(crate) value: Value,
    pub(crate) duplicates: Vec<Fault>,
}

/// Parses JSON text.
pub(crate) fn parse(bytes: &[u8]) -> serde_json::Result<Parsed> {
    let duplicates = RefCell::default();
    let mut deserializer = serde_json::Deserializer::from_slice(bytes);
    let seed = ValueSeed { path: path::ROOT.to_owned(), duplicates: &duplicates };
    let value = seed.deserialize(&mut deserializer)?;
    deserializer.end()?;
    Ok(Parsed { value, duplicates: duplicates.into_inner() })
}

/// Deserializes the value at `path`.
struct ValueSeed<'a> {
    path: String,
    duplicates: &'a RefCell<Vec<Fault>>,
}

impl ValueSeed<'_> {
    fn at_path(&self, path: String) -> Self {
        Self { path, duplicates: self.duplicates }
    }
}

impl<'de> DeserializeSeed<'de> for ValueSeed<'_> {
    type Value = Value;

    fn deserialize<D: Deserializer<'de>>(self, deserializer: D) -> Result<Value, D::Error> {
        deserializer.deserialize_any(self)
    }
}

impl<'de> Visitor<'de> for ValueSeed<'_> {
    type Value = Value;

    fn expecting(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("a JSON value")
    }

    fn visit_unit<E>(self) -> Result<Value, E> {
        Ok(Value::Null)
    }

    fn visit_bool<E>(self, flag: bool) -> Result<Value, E> {
        Ok(Value::Bool(flag))
    }

    fn visit_u64<E>(self, number: u64) -> Result<Value, E> {
        Ok(Value::from(number))
    }

    fn visit_i64<E>(self, number: i64) -> Result<Value, E> {
        Ok(Value::from(number))
    }

    fn visit_f64<E>(self, number: f64) -> Result<Value, E> {
        Ok(Number::from_f64(number).map_or(Value::Null, Value::Number))
    }

    fn visit_str<E>(self, text: &str) -> Result<Value, E> {
        Ok(Value::from(text))
    }

    fn visit_seq<A: SeqAccess<'de>>(self, mut elements: A) -> Result<Value, A::Error> {
        let mut list = Vec::new();
        loop {
            let seed = self.at_path(path::element(&self.path, list.len()));
            match elements.next_element_seed(seed)? {
                Some(value) => list.push(value),
                None => return Ok(Value::Array(list)),
            }
        }
    }

    fn visit_map<A: MapAccess<'de>>(self, mut fields: A) -> Result<Value, A::Error> {
        let mut map = Map::new();
        while let Some(name) = fields.next_key::<String>()? {
            let path = path::field(&self.path, &name);
            let value = fields.next_value_seed(self.at_path(path.clone()))?;
            if map.insert(name, value).is_some() {
                let message = "duplicate field".to_owned();
                self.duplicates.borrow_mut().push(Fault { path, message });
            }
        }
        Ok(Value::Object(map))
    }
}
