//! The parsed YAML tree, whose nodes keep their lines.

use std::fmt::{self, Formatter};

use serde::Deserialize;
use serde::de::{Deserializer, MapAccess, SeqAccess, Visitor};
use serde_saphyr::{DuplicateKeyPolicy, Options, Spanned};

use crate::CatalogError;

/// A YAML value with the line on which it starts.
#[derive(Debug, Clone)]
pub(crate) struct TextNode {
    pub(crate) line: u64,
    pub(crate) value: NodeValue,
}

/// A YAML value without its line.
#[derive(Debug, Clone)]
pub(crate) enum NodeValue {
    Null,
    Bool(bool),
    /// A number in its text form, from which the numeric newtypes are parsed.
    Number(String),
    Text(String),
    List(Vec<TextNode>),
    /// The entries in the order of the text, including duplicate keys.
    Map(Vec<(TextNode, TextNode)>),
}

impl TextNode {
    /// Parses a YAML text.
    pub(crate) fn parse(text: &str) -> Result<Self, CatalogError> {
        let options: Options = serde_saphyr::options! {
            // `FieldReader::finish` reports duplicate keys together with all other errors.
            duplicate_keys: DuplicateKeyPolicy::PassThrough,
            strict_booleans: true,
            leading_zero_numbers_as_strings: true,
            underscored_numbers_as_strings: true,
        };
        serde_saphyr::from_str_with_options(text, options).map_err(|error| CatalogError::Text {
            line: error.location().map_or(1, |location| location.line().max(1)),
            message: format!("not valid YAML: {}", error.without_snippet().to_string().replace('\n', " ")),
        })
    }

    /// Returns the kind of the value for error messages.
    pub(crate) fn kind(&self) -> &'static str {
        match &self.value {
            NodeValue::Null => "nothing",
            NodeValue::Bool(_) => "true or false",
            NodeValue::Number(_) => "a number",
            NodeValue::Text(_) => "a text",
            NodeValue::List(_) => "a list",
            NodeValue::Map(_) => "a map",
        }
    }

    /// Returns the line of the value of `key`, or of the map if the key is absent.
    pub(crate) fn line_of(&self, key: &str) -> u64 {
        self.child(key).map_or(self.line, |child| child.line)
    }

    /// Returns the first value of `key`; `None` if the key is absent or the node is not a map.
    pub(crate) fn child(&self, key: &str) -> Option<&Self> {
        let NodeValue::Map(entries) = &self.value else { return None };
        entries.iter().find(|(name, _)| name.is_key(key)).map(|(_, value)| value)
    }

    /// Returns true if the node is the string `key`.
    pub(crate) fn is_key(&self, key: &str) -> bool {
        matches!(&self.value, NodeValue::Text(text) if text == key)
    }
}

impl<'de> Deserialize<'de> for TextNode {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        let spanned = Spanned::<NodeValue>::deserialize(deserializer)?;
        Ok(Self { line: spanned.referenced.line(), value: spanned.value })
    }
}

impl<'de> Deserialize<'de> for NodeValue {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        deserializer.deserialize_any(ValueVisitor)
    }
}

struct ValueVisitor;

impl<'de> Visitor<'de> for ValueVisitor {
    type Value = NodeValue;

    fn expecting(&self, formatter: &mut Formatter<'_>) -> fmt::Result {
        formatter.write_str("a value")
    }

    fn visit_bool<E>(self, value: bool) -> Result<NodeValue, E> {
        Ok(NodeValue::Bool(value))
    }

    fn visit_i64<E>(self, value: i64) -> Result<NodeValue, E> {
        Ok(NodeValue::Number(value.to_string()))
    }

    fn visit_u64<E>(self, value: u64) -> Result<NodeValue, E> {
        Ok(NodeValue::Number(value.to_string()))
    }

    fn visit_i128<E>(self, value: i128) -> Result<NodeValue, E> {
        Ok(NodeValue::Number(value.to_string()))
    }

    fn visit_u128<E>(self, value: u128) -> Result<NodeValue, E> {
        Ok(NodeValue::Number(value.to_string()))
    }

    fn visit_f64<E>(self, value: f64) -> Result<NodeValue, E> {
        Ok(NodeValue::Number(value.to_string()))
    }

    fn visit_str<E>(self, value: &str) -> Result<NodeValue, E> {
        Ok(NodeValue::Text(value.to_owned()))
    }

    fn visit_unit<E>(self) -> Result<NodeValue, E> {
        Ok(NodeValue::Null)
    }

    fn visit_none<E>(self) -> Result<NodeValue, E> {
        Ok(NodeValue::Null)
    }

    fn visit_some<D: Deserializer<'de>>(self, deserializer: D) -> Result<NodeValue, D::Error> {
        NodeValue::deserialize(deserializer)
    }

    fn visit_seq<A: SeqAccess<'de>>(self, mut access: A) -> Result<NodeValue, A::Error> {
        let mut items = Vec::new();
        while let Some(item) = access.next_element()? {
            items.push(item);
        }
        Ok(NodeValue::List(items))
    }

    fn visit_map<A: MapAccess<'de>>(self, mut access: A) -> Result<NodeValue, A::Error> {
        let mut entries = Vec::new();
        while let Some(entry) = access.next_entry()? {
            entries.push(entry);
        }
        Ok(NodeValue::Map(entries))
    }
}
