//! Reads the fields of one map and reports missing, unknown and invalid ones.

use std::fmt::Display;
use std::ops::RangeInclusive;
use std::str::FromStr;

use crate::error::ErrorList;
use crate::node::{NodeValue, TextNode};

/// Reads the fields of one map. A method that returns `None` has reported an error, or the optional field is absent.
pub(crate) struct FieldReader<'a> {
    path: String,
    node: &'a TextNode,
    /// The keys that were asked for; [`finish`](Self::finish) reports all others.
    known: Vec<&'static str>,
}

impl<'a> FieldReader<'a> {
    /// Creates a reader of a node. Reports an error if the node is not a map.
    pub(crate) fn new(node: &'a TextNode, path: impl Into<String>, errors: &mut ErrorList) -> Option<Self> {
        let path = path.into();
        if matches!(node.value, NodeValue::Map(_)) {
            return Some(Self { path, node, known: Vec::new() });
        }
        let field = if path.is_empty() { "text" } else { &path };
        errors.add(node.line, field, format!("expected a map, found {}", node.kind()));
        None
    }

    pub(crate) fn node(&self) -> &'a TextNode {
        self.node
    }

    /// Returns the path of a field for error messages.
    pub(crate) fn path_of(&self, key: &str) -> String {
        if self.path.is_empty() { key.to_owned() } else { format!("{}.{key}", self.path) }
    }

    pub(crate) fn has(&self, key: &str) -> bool {
        self.node.child(key).is_some()
    }

    /// Returns the value of an optional key.
    pub(crate) fn value(&mut self, key: &'static str) -> Option<&'a TextNode> {
        if !self.known.contains(&key) {
            self.known.push(key);
        }
        self.node.child(key)
    }

    /// Returns the value of a required key.
    pub(crate) fn required(&mut self, key: &'static str, errors: &mut ErrorList) -> Option<&'a TextNode> {
        let value = self.value(key);
        if value.is_none() {
            errors.add(self.node.line, self.path_of(key), "required and missing");
        }
        value
    }

    /// Returns a required value that is parsed from its text, such as a name or a memory size.
    pub(crate) fn parsed<T>(&mut self, key: &'static str, errors: &mut ErrorList) -> Option<T>
    where
        T: FromStr<Err: Display>,
    {
        let node = self.required(key, errors)?;
        parse_node(node, &self.path_of(key), errors)
    }

    /// Returns an optional value that is parsed from its text and has to be in a range.
    pub(crate) fn ranged<T>(&mut self, key: &'static str, range: RangeInclusive<T>, errors: &mut ErrorList) -> Option<T>
    where
        T: FromStr<Err: Display> + PartialOrd + Display,
    {
        let node = self.value(key)?;
        let path = self.path_of(key);
        let value: T = parse_node(node, &path, errors)?;
        if range.contains(&value) {
            return Some(value);
        }
        let (min, max) = range.into_inner();
        errors.add(node.line, path, format!("{value} is out of range: permitted is {min} to {max}"));
        None
    }

    /// Returns an optional number, which has to be in a range.
    pub(crate) fn number<T>(&mut self, key: &'static str, range: RangeInclusive<T>, errors: &mut ErrorList) -> Option<T>
    where
        T: FromStr + PartialOrd + Display,
    {
        let node = self.value(key)?;
        let (min, max) = range.into_inner();
        let NodeValue::Number(text) = &node.value else {
            errors.add(node.line, self.path_of(key), format!("expected a number, found {}", node.kind()));
            return None;
        };
        if let Some(number) = text.parse::<T>().ok().filter(|number| *number >= min && *number <= max) {
            return Some(number);
        }
        errors.add(node.line, self.path_of(key), format!("{text} is out of range: permitted is {min} to {max}"));
        None
    }

    /// Returns a required number, which has to be in a range.
    pub(crate) fn required_number<T>(
        &mut self,
        key: &'static str,
        range: RangeInclusive<T>,
        errors: &mut ErrorList,
    ) -> Option<T>
    where
        T: FromStr + PartialOrd + Display,
    {
        if self.required(key, errors).is_some() { self.number(key, range, errors) } else { None }
    }

    /// Returns an optional `true` or `false`; `false` if absent.
    pub(crate) fn flag(&mut self, key: &'static str, errors: &mut ErrorList) -> Option<bool> {
        let Some(node) = self.value(key) else { return Some(false) };
        if let NodeValue::Bool(value) = node.value {
            return Some(value);
        }
        errors.add(node.line, self.path_of(key), format!("expected true or false, found {}", node.kind()));
        None
    }

    /// Returns the items of an optional list, at most `limit` of them; empty if absent.
    pub(crate) fn list(&mut self, key: &'static str, limit: usize, errors: &mut ErrorList) -> &'a [TextNode] {
        let Some(node) = self.value(key) else { return &[] };
        let NodeValue::List(items) = &node.value else {
            errors.add(node.line, self.path_of(key), format!("expected a list, found {}", node.kind()));
            return &[];
        };
        if items.len() > limit {
            let message = format!("{} items: permitted are up to {limit}", items.len());
            errors.add(node.line, self.path_of(key), message);
        }
        &items[..items.len().min(limit)]
    }

    /// Reports keys that were not asked for and duplicate keys.
    pub(crate) fn finish(self, errors: &mut ErrorList) {
        let NodeValue::Map(entries) = &self.node.value else { return };
        for (index, (key, _)) in entries.iter().enumerate() {
            let NodeValue::Text(name) = &key.value else {
                errors.add(key.line, self.path_of("key"), format!("expected a text as key, found {}", key.kind()));
                continue;
            };
            if !self.known.contains(&name.as_str()) {
                let message = format!("unknown key; permitted are {}", self.known.join(", "));
                errors.add(key.line, self.path_of(name), message);
            } else if entries[..index].iter().any(|(earlier, _)| earlier.is_key(name)) {
                errors.add(key.line, self.path_of(name), "given twice");
            }
        }
    }
}

/// Parses a value from the text of a string or number.
pub(crate) fn parse_node<T: FromStr<Err: Display>>(node: &TextNode, path: &str, errors: &mut ErrorList) -> Option<T> {
    let (NodeValue::Text(text) | NodeValue::Number(text)) = &node.value else {
        errors.add(node.line, path, format!("expected a text, found {}", node.kind()));
        return None;
    };
    text.parse().map_err(|error: T::Err| errors.add(node.line, path, error.to_string())).ok()
}
