use std::cell::RefCell;
use std::collections::HashSet;
use std::ops::RangeInclusive;
use std::str::FromStr;
use std::sync::Arc;

use serde_saphyr::Location;

use crate::clock::Millis;

use super::document::problem;
use super::node::{Node, Value};
use super::{Issue, Problem};

/// One mapping of a document while its fields are read.
#[derive(Debug)]
pub struct Section<'a> {
    node: &'a Node,
    path: String,
    used: RefCell<HashSet<String>>,
    found: &'a RefCell<Vec<Problem>>,
}

/// Construction and end.
impl<'a> Section<'a> {
    pub(super) fn root(node: &'a Node, found: &'a RefCell<Vec<Problem>>) -> Self {
        Self::new(node, String::new(), found)
    }

    fn new(node: &'a Node, path: String, found: &'a RefCell<Vec<Problem>>) -> Self {
        let section = Self {
            node,
            path,
            used: RefCell::default(),
            found,
        };
        if !matches!(node.value, Value::Map(_)) {
            let message = format!("expected a mapping, found {}", node.value.describe());
            section.report_at(node.referenced, &section.path, message);
        }
        section
    }

    /// Reports the keys that were never read.
    pub(super) fn finish(&self) {
        let used = self.used.borrow();
        for (key, _) in self.entries() {
            if !used.contains(&key.value) {
                let mut known: Vec<_> = used.iter().map(|name| format!("`{name}`")).collect();
                known.sort();
                let message = format!("unknown key; known keys: {}", known.join(", "));
                self.report_at(key.referenced, &self.child(&key.value), message);
            }
        }
    }
}

/// Fields.
impl Section<'_> {
    /// Returns whether the key is present with a value.
    #[must_use]
    pub fn has(&self, key: &str) -> bool {
        self.field(key).is_some()
    }

    /// Reads a required text that isn't empty.
    pub fn text(&self, key: &str) -> Arc<str> {
        let Some(node) = self.required(key) else {
            return Arc::from("");
        };
        self.text_of(node, &self.child(key))
    }

    /// Reads a text that may be left out.
    pub fn optional_text(&self, key: &str) -> Option<Arc<str>> {
        let node = self.field(key)?;
        Some(self.text_of(node, &self.child(key)))
    }

    /// Reads a required value in its textual form, for example an address.
    pub fn parsed<T>(&self, key: &str, expected: &str) -> Option<T>
    where
        T: FromStr,
    {
        let node = self.required(key)?;
        self.parse_node(node, &self.child(key), expected)
    }

    /// Reads a list of values in their textual form; an absent list is empty.
    pub fn parsed_list<T>(&self, key: &str, expected: &str) -> Vec<T>
    where
        T: FromStr,
    {
        let path = self.child(key);
        let items = self.items(key).iter().enumerate();
        items
            .filter_map(|(i, node)| self.parse_node(node, &format!("{path}[{i}]"), expected))
            .collect()
    }

    /// Reads a list of names; an absent list is empty.
    pub fn names(&self, key: &str) -> Vec<Arc<str>> {
        let names = self.parsed_list::<String>(key, "a name");
        names.into_iter().map(Arc::from).collect()
    }

    /// Reads a required number within a range.
    pub fn number(&self, key: &str, range: RangeInclusive<f64>) -> f64 {
        let start = *range.start();
        self.required(key)
            .map_or(start, |node| self.number_of(node, &self.child(key), range))
    }

    /// Reads a number within a range, or returns a default.
    pub fn number_or(&self, key: &str, default: f64, range: RangeInclusive<f64>) -> f64 {
        self.field(key).map_or(default, |node| {
            self.number_of(node, &self.child(key), range)
        })
    }

    /// Reads a required whole number within a range.
    pub fn integer(&self, key: &str, range: RangeInclusive<u64>) -> u64 {
        let start = *range.start();
        self.required(key)
            .map_or(start, |node| self.integer_of(node, &self.child(key), range))
    }

    /// Reads a whole number within a range, or returns a default.
    pub fn integer_or(&self, key: &str, default: u64, range: RangeInclusive<u64>) -> u64 {
        self.field(key).map_or(default, |node| {
            self.integer_of(node, &self.child(key), range)
        })
    }

    /// Reads a required length of time in milliseconds.
    pub fn millis(&self, key: &str, range: RangeInclusive<u64>) -> Millis {
        Millis(self.integer(key, range))
    }

    /// Reads a length of time in milliseconds, or returns a default.
    pub fn millis_or(&self, key: &str, default: Millis, range: RangeInclusive<u64>) -> Millis {
        Millis(self.integer_or(key, default.0, range))
    }

    /// Reads a required `true` or `false`.
    pub fn flag(&self, key: &str) -> bool {
        self.required(key)
            .is_some_and(|node| self.flag_of(node, &self.child(key)))
    }

    /// Reads `true` or `false`, or returns a default.
    pub fn flag_or(&self, key: &str, default: bool) -> bool {
        self.field(key)
            .map_or(default, |node| self.flag_of(node, &self.child(key)))
    }

    /// Reads a required word out of a list of choices.
    pub fn choice<T>(&self, key: &str, choices: &[(&str, T)]) -> Option<T>
    where
        T: Copy,
    {
        let node = self.required(key)?;
        let found = match &node.value {
            Value::Text(text) => choices.iter().find(|(name, _)| name == text),
            _ => None,
        };
        if found.is_none() {
            let names: Vec<_> = choices.iter().map(|(n, _)| format!("`{n}`")).collect();
            let expected = format!("expected one of {}", names.join(", "));
            self.mismatch(node, &self.child(key), &expected);
        }
        found.map(|(_, value)| *value)
    }

    /// Reads a required mapping.
    pub fn section<T, F>(&self, key: &str, read: F) -> Option<T>
    where
        F: FnOnce(&Section<'_>) -> T,
    {
        let node = self.required(key)?;
        let section = Section::new(node, self.child(key), self.found);
        let value = read(&section);
        section.finish();
        Some(value)
    }

    /// Reads a list of mappings; an absent list is empty.
    pub fn list<T, F>(&self, key: &str, mut read: F) -> Vec<T>
    where
        F: FnMut(&Section<'_>) -> T,
    {
        let path = self.child(key);
        let mut values = Vec::new();
        for (index, node) in self.items(key).iter().enumerate() {
            let section = Section::new(node, format!("{path}[{index}]"), self.found);
            values.push(read(&section));
            section.finish();
        }
        values
    }

    /// Reads a mapping of names to texts; an absent one is empty.
    ///
    /// The texts never appear in messages, since they may be secrets.
    pub fn secrets(&self, key: &str) -> Vec<(Arc<str>, Arc<str>)> {
        let Some(node) = self.field(key) else {
            return Vec::new();
        };
        let path = self.child(key);
        let Value::Map(entries) = &node.value else {
            self.report_at(
                node.referenced,
                &path,
                "expected a mapping of names to texts",
            );
            return Vec::new();
        };
        let mut secrets = Vec::new();
        for (name, value) in entries {
            match &value.value {
                Value::Text(text) if !text.is_empty() => {
                    secrets.push((Arc::from(name.value.as_str()), Arc::from(text.as_str())));
                }
                _ => {
                    let path = format!("{path}.{}", name.value);
                    self.report_at(value.referenced, &path, "expected a text");
                }
            }
        }
        secrets
    }

    /// Reports a problem with a field.
    pub fn report<M>(&self, key: &str, message: M)
    where
        M: Into<String>,
    {
        let location = self
            .entries()
            .iter()
            .find(|(name, _)| name.value == key)
            .map_or(self.node.referenced, |(_, node)| node.referenced);
        self.report_at(location, &self.child(key), message);
    }
}

/// Values.
impl<'a> Section<'a> {
    fn entries(&self) -> &'a [(serde_saphyr::Spanned<String>, Node)] {
        match &self.node.value {
            Value::Map(entries) => entries,
            _ => &[],
        }
    }

    fn field(&self, key: &str) -> Option<&'a Node> {
        self.used.borrow_mut().insert(key.to_owned());
        let (_, node) = self.entries().iter().find(|(name, _)| name.value == key)?;
        (!matches!(node.value, Value::Null)).then_some(node)
    }

    fn required(&self, key: &str) -> Option<&'a Node> {
        let node = self.field(key);
        if node.is_none() && matches!(self.node.value, Value::Map(_)) {
            self.report(key, "required");
        }
        node
    }

    fn items(&self, key: &str) -> &'a [Node] {
        match self.field(key) {
            None => &[],
            Some(node) => match &node.value {
                Value::List(items) => items,
                _ => {
                    self.mismatch(node, &self.child(key), "expected a list");
                    &[]
                }
            },
        }
    }

    fn text_of(&self, node: &Node, path: &str) -> Arc<str> {
        match &node.value {
            Value::Text(text) if !text.is_empty() => Arc::from(text.as_str()),
            // A version such as `2` or `1.5` reads as a number and is meant as a name.
            Value::Integer(number) => Arc::from(number.to_string()),
            Value::Float(number) => Arc::from(number.to_string()),
            _ => {
                self.mismatch(node, path, "expected a text");
                Arc::from("")
            }
        }
    }

    fn parse_node<T>(&self, node: &Node, path: &str, expected: &str) -> Option<T>
    where
        T: FromStr,
    {
        let parsed = match &node.value {
            Value::Text(text) => text.parse().ok(),
            Value::Integer(number) => number.to_string().parse().ok(),
            _ => None,
        };
        if parsed.is_none() {
            self.mismatch(node, path, &format!("expected {expected}"));
        }
        parsed
    }

    fn number_of(&self, node: &Node, path: &str, range: RangeInclusive<f64>) -> f64 {
        let number = match node.value {
            Value::Integer(number) => Some(number as f64),
            Value::Float(number) => Some(number),
            _ => None,
        };
        if let Some(number) = number.filter(|number| range.contains(number)) {
            return number;
        }
        let expected = format!(
            "expected a number from {} to {}",
            range.start(),
            range.end()
        );
        self.mismatch(node, path, &expected);
        *range.start()
    }

    fn integer_of(&self, node: &Node, path: &str, range: RangeInclusive<u64>) -> u64 {
        let number = match node.value {
            Value::Integer(number) => u64::try_from(number).ok(),
            _ => None,
        };
        if let Some(number) = number.filter(|number| range.contains(number)) {
            return number;
        }
        let expected = format!(
            "expected a whole number from {} to {}",
            range.start(),
            range.end()
        );
        self.mismatch(node, path, &expected);
        *range.start()
    }

    fn flag_of(&self, node: &Node, path: &str) -> bool {
        if let Value::Bool(flag) = node.value {
            return flag;
        }
        self.mismatch(node, path, "expected `true` or `false`");
        false
    }

    fn mismatch(&self, node: &Node, path: &str, expected: &str) {
        let message = format!("{expected}, found {}", node.value.describe());
        self.report_at(node.referenced, path, message);
    }

    fn report_at<M>(&self, location: Location, path: &str, message: M)
    where
        M: Into<String>,
    {
        let issue = Issue::new(path, message);
        self.found.borrow_mut().push(problem(location, issue));
    }

    fn child(&self, key: &str) -> String {
        if self.path.is_empty() {
            key.to_owned()
        } else {
            format!("{}.{key}", self.path)
        }
    }
}
