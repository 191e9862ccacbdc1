//! A JSON parser that rejects duplicate keys, of which either could be the intended one.

use serde::de::{DeserializeSeed, Deserializer, Error, MapAccess, SeqAccess, Visitor};
use serde_json::{Map, Value};
use std::fmt;

/// Parses JSON; a duplicate key is an error that names its path.
pub fn json(text: &[u8]) -> serde_json::Result<Value> {
    let mut from = serde_json::Deserializer::from_slice(text);
    let value = ValueAtPath(String::new()).deserialize(&mut from)?;
    from.end()?;
    Ok(value)
}

/// Deserializes the value at a path, which is the prefix of its keys in errors.
struct ValueAtPath(String);

impl<'de> DeserializeSeed<'de> for ValueAtPath {
    type Value = Value;
    fn deserialize<D: Deserializer<'de>>(self, from: D) -> Result<Value, D::Error> {
        from.deserialize_any(self)
    }
}

impl<'de> Visitor<'de> for ValueAtPath {
    type Value = Value;
    fn expecting(&self, out: &mut fmt::Formatter<'_>) -> fmt::Result {
        out.write_str("a JSON value")
    }
    fn visit_unit<E>(self) -> Result<Value, E> {
        Ok(Value::Null)
    }
    fn visit_bool<E>(self, value: bool) -> Result<Value, E> {
        Ok(value.into())
    }
    fn visit_i64<E>(self, value: i64) -> Result<Value, E> {
        Ok(value.into())
    }
    fn visit_u64<E>(self, value: u64) -> Result<Value, E> {
        Ok(value.into())
    }
    fn visit_f64<E>(self, value: f64) -> Result<Value, E> {
        Ok(value.into())
    }
    fn visit_str<E>(self, value: &str) -> Result<Value, E> {
        Ok(value.into())
    }
    fn visit_seq<A: SeqAccess<'de>>(self, mut from: A) -> Result<Value, A::Error> {
        let mut items = Vec::new();
        while let Some(value) = from.next_element_seed(ValueAtPath(format!("{}{}.", self.0, items.len())))? {
            items.push(value);
        }
        Ok(Value::Array(items))
    }
    fn visit_map<A: MapAccess<'de>>(self, mut from: A) -> Result<Value, A::Error> {
        let mut entries = Map::new();
        while let Some(key) = from.next_key::<String>()? {
            let path = format!("{}{key}", self.0);
            if entries.contains_key(&key) {
                return Err(A::Error::custom(format_args!("'{path}' stands twice, and may once")));
            }
            let value = from.next_value_seed(ValueAtPath(format!("{path}.")))?;
            entries.insert(key, value);
        }
        Ok(Value::Object(entries))
    }
}
