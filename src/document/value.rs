use std::fmt;

use serde::de::{Deserialize, Deserializer, MapAccess, SeqAccess, Visitor};
use serde_saphyr::Spanned;

/// A YAML value.
#[derive(Clone, Debug)]
pub(super) enum Value {
    Null,
    Bool(bool),
    Integer(i128),
    Float(f64),
    String(String),
    List(Vec<Node>),
    Map(Vec<(Spanned<String>, Node)>),
}

/// A YAML node: a value with its position in the document.
pub(super) type Node = Spanned<Value>;

impl Value {
    /// Returns a description of the value for messages of the form "expected ..., found ...".
    pub(super) fn describe(&self) -> String {
        match self {
            Self::Null => "null".to_owned(),
            Self::Bool(flag) => format!("`{flag}`"),
            Self::Integer(number) => format!("the number {number}"),
            Self::Float(number) => format!("the number {number}"),
            Self::String(text) => format!("the string `{text}`"),
            Self::List(_) => "a list".to_owned(),
            Self::Map(_) => "a mapping".to_owned(),
        }
    }
}

impl<'de> Deserialize<'de> for Value {
    fn deserialize<D>(deserializer: D) -> Result<Self, D::Error>
    where
        D: Deserializer<'de>,
    {
        deserializer.deserialize_any(ValueVisitor)
    }
}

struct ValueVisitor;

impl<'de> Visitor<'de> for ValueVisitor {
    type Value = Value;

    fn expecting(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("a YAML value")
    }

    fn visit_unit<E>(self) -> Result<Value, E> {
        Ok(Value::Null)
    }

    fn visit_none<E>(self) -> Result<Value, E> {
        Ok(Value::Null)
    }

    fn visit_bool<E>(self, value: bool) -> Result<Value, E> {
        Ok(Value::Bool(value))
    }

    fn visit_i64<E>(self, value: i64) -> Result<Value, E> {
        Ok(Value::Integer(value.into()))
    }

    fn visit_u64<E>(self, value: u64) -> Result<Value, E> {
        Ok(Value::Integer(value.into()))
    }

    fn visit_i128<E>(self, value: i128) -> Result<Value, E> {
        Ok(Value::Integer(value))
    }

    fn visit_u128<E>(self, value: u128) -> Result<Value, E> {
        Ok(Value::Integer(value.try_into().unwrap_or(i128::MAX)))
    }

    fn visit_f64<E>(self, value: f64) -> Result<Value, E> {
        Ok(Value::Float(value))
    }

    fn visit_str<E>(self, value: &str) -> Result<Value, E> {
        Ok(Value::String(value.to_owned()))
    }

    fn visit_seq<A>(self, mut items: A) -> Result<Value, A::Error>
    where
        A: SeqAccess<'de>,
    {
        let mut list = Vec::new();
        while let Some(item) = items.next_element()? {
            list.push(item);
        }
        Ok(Value::List(list))
    }

    fn visit_map<A>(self, mut entries: A) -> Result<Value, A::Error>
    where
        A: MapAccess<'de>,
    {
        let mut map = Vec::new();
        while let Some(entry) = entries.next_entry()? {
            map.push(entry);
        }
        Ok(Value::Map(map))
    }
}
