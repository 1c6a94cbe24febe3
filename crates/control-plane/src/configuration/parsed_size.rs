//! The memory that a JSON document takes once it is parsed, estimated without parsing it into memory.
//!
//! A parsed document may take a hundred times the memory of its text: an object of one field takes a whole tree node.

use std::cell::Cell;
use std::fmt;

use serde::de::{DeserializeSeed, Deserializer, Error, MapAccess, SeqAccess, Visitor};

/// The memory of a value in its list, which has spare capacity.
const VALUE_BYTES: usize = 64;
/// The memory of an object with few fields: a tree node of 11 fields.
const OBJECT_BYTES: usize = 700;
/// The memory of each field of an object beyond that: its name, and its share of further nodes.
const FIELD_BYTES: usize = 64;

/// Returns whether the document, or the part of it before its first syntax error, takes more than `max_bytes` bytes of
/// memory once it is parsed.
pub fn exceeds_parsed_size(text: &str, max_bytes: usize) -> bool {
    let remaining = Cell::new(Some(max_bytes));
    let mut deserializer = serde_json::Deserializer::from_str(text);
    // A syntax error is reported by whoever parses the document.
    let _ = ParsedSize(&remaining).deserialize(&mut deserializer);
    remaining.get().is_none()
}

/// Subtracts the memory of each value from the bytes that remain, which are `None` once there are too few.
#[derive(Clone, Copy)]
struct ParsedSize<'a>(&'a Cell<Option<usize>>);

impl ParsedSize<'_> {
    fn add<E: Error>(self, bytes: usize) -> Result<(), E> {
        let remaining = self.0.get().and_then(|left| left.checked_sub(bytes));
        self.0.set(remaining);
        remaining
            .map(drop)
            .ok_or_else(|| E::custom("the document takes too much memory"))
    }
}

impl<'de> DeserializeSeed<'de> for ParsedSize<'_> {
    type Value = ();

    fn deserialize<D: Deserializer<'de>>(self, deserializer: D) -> Result<(), D::Error> {
        deserializer.deserialize_any(self)
    }
}

impl<'de> Visitor<'de> for ParsedSize<'_> {
    type Value = ();

    fn expecting(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str("a JSON value")
    }

    fn visit_unit<E: Error>(self) -> Result<(), E> {
        self.add(VALUE_BYTES)
    }

    fn visit_bool<E: Error>(self, _: bool) -> Result<(), E> {
        self.add(VALUE_BYTES)
    }

    fn visit_i64<E: Error>(self, _: i64) -> Result<(), E> {
        self.add(VALUE_BYTES)
    }

    fn visit_u64<E: Error>(self, _: u64) -> Result<(), E> {
        self.add(VALUE_BYTES)
    }

    fn visit_f64<E: Error>(self, _: f64) -> Result<(), E> {
        self.add(VALUE_BYTES)
    }

    fn visit_str<E: Error>(self, text: &str) -> Result<(), E> {
        self.add(VALUE_BYTES + text.len())
    }

    fn visit_seq<A: SeqAccess<'de>>(self, mut list: A) -> Result<(), A::Error> {
        self.add(VALUE_BYTES)?;
        while list.next_element_seed(self)?.is_some() {}
        Ok(())
    }

    fn visit_map<A: MapAccess<'de>>(self, mut object: A) -> Result<(), A::Error> {
        self.add(OBJECT_BYTES)?;
        while object.next_key_seed(self)?.is_some() {
            self.add(FIELD_BYTES)?;
            object.next_value_seed(self)?;
        }
        Ok(())
    }
}

#[cfg(test)]
mod tests;
