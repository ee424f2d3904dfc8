use std::cell::RefCell;
use std::collections::HashSet;
use std::ops::RangeInclusive;
use std::str::FromStr;
use std::sync::Arc;

use serde_saphyr::Location;

use crate::clock::Millis;

use super::document::problem_at;
use super::value::{Node, Value};
use super::{Issue, Problem};

/// Reads the fields of one mapping of a document and records the problems that it finds.
///
/// After a problem, a method returns a default, for example `None`, an empty string or the start of
/// the range.
#[derive(Debug)]
pub struct Section<'a> {
    node: &'a Node,
    path: String,
    read_keys: RefCell<HashSet<String>>,
    problems: &'a RefCell<Vec<Problem>>,
}

/// Construction, and the check for unknown keys.
impl<'a> Section<'a> {
    pub(super) fn root(node: &'a Node, problems: &'a RefCell<Vec<Problem>>) -> Self {
        Self::new(node, String::new(), problems)
    }

    fn new(node: &'a Node, path: String, problems: &'a RefCell<Vec<Problem>>) -> Self {
        let section = Self {
            node,
            path,
            read_keys: RefCell::default(),
            problems,
        };
        if !matches!(node.value, Value::Map(_)) {
            let message = format!("expected a mapping, found {}", node.value.describe());
            section.report_at(node.referenced, &section.path, message);
        }
        section
    }

    /// Reports the keys that were never read as unknown.
    pub(super) fn report_unknown_keys(&self) {
        let read_keys = self.read_keys.borrow();
        for (key, _) in self.entries() {
            if !read_keys.contains(&key.value) {
                let mut known: Vec<_> = read_keys.iter().map(|name| format!("`{name}`")).collect();
                known.sort();
                let message = format!("unknown key; known keys: {}", known.join(", "));
                self.report_at(key.referenced, &self.child_path(&key.value), message);
            }
        }
    }
}

/// Fields.
impl Section<'_> {
    /// Returns whether the key is present with a value other than null.
    #[must_use]
    pub fn has(&self, key: &str) -> bool {
        self.field(key).is_some()
    }

    /// Reads a required non-empty string.
    pub fn string(&self, key: &str) -> Arc<str> {
        let Some(node) = self.required(key) else {
            return Arc::from("");
        };
        self.read_string(node, &self.child_path(key))
    }

    /// Reads an optional non-empty string.
    pub fn optional_string(&self, key: &str) -> Option<Arc<str>> {
        let node = self.field(key)?;
        Some(self.read_string(node, &self.child_path(key)))
    }

    /// Reads a required value and parses it with [`FromStr`], for example an address.
    ///
    /// `expected` describes the value in messages.
    pub fn parsed<T>(&self, key: &str, expected: &str) -> Option<T>
    where
        T: FromStr,
    {
        let node = self.required(key)?;
        self.parse_node(node, &self.child_path(key), expected)
    }

    /// Reads a list of values and parses each as [`Section::parsed`] does; an absent list is empty.
    pub fn parsed_list<T>(&self, key: &str, expected: &str) -> Vec<T>
    where
        T: FromStr,
    {
        let path = self.child_path(key);
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
        self.required(key).map_or(start, |node| {
            self.read_number(node, &self.child_path(key), range)
        })
    }

    /// Reads a number within a range, or returns the default if the key is absent.
    pub fn number_or(&self, key: &str, default: f64, range: RangeInclusive<f64>) -> f64 {
        self.field(key).map_or(default, |node| {
            self.read_number(node, &self.child_path(key), range)
        })
    }

    /// Reads a required integer within a range.
    pub fn integer(&self, key: &str, range: RangeInclusive<u64>) -> u64 {
        let start = *range.start();
        self.required(key).map_or(start, |node| {
            self.read_integer(node, &self.child_path(key), range)
        })
    }

    /// Reads an integer within a range, or returns the default if the key is absent.
    pub fn integer_or(&self, key: &str, default: u64, range: RangeInclusive<u64>) -> u64 {
        self.field(key).map_or(default, |node| {
            self.read_integer(node, &self.child_path(key), range)
        })
    }

    /// Reads a required duration in milliseconds within a range.
    pub fn millis(&self, key: &str, range: RangeInclusive<u64>) -> Millis {
        Millis(self.integer(key, range))
    }

    /// Reads a duration in milliseconds within a range, or returns the default if the key is absent.
    pub fn millis_or(&self, key: &str, default: Millis, range: RangeInclusive<u64>) -> Millis {
        Millis(self.integer_or(key, default.0, range))
    }

    /// Reads a required boolean.
    pub fn flag(&self, key: &str) -> bool {
        self.required(key)
            .is_some_and(|node| self.read_flag(node, &self.child_path(key)))
    }

    /// Reads a boolean, or returns the default if the key is absent.
    pub fn flag_or(&self, key: &str, default: bool) -> bool {
        self.field(key)
            .map_or(default, |node| self.read_flag(node, &self.child_path(key)))
    }

    /// Reads a required string that must be one of `choices`, and returns the value paired with it.
    pub fn choice<T>(&self, key: &str, choices: &[(&str, T)]) -> Option<T>
    where
        T: Copy,
    {
        let node = self.required(key)?;
        let found = match &node.value {
            Value::String(text) => choices.iter().find(|(name, _)| name == text),
            _ => None,
        };
        if found.is_none() {
            let names: Vec<_> = choices.iter().map(|(n, _)| format!("`{n}`")).collect();
            let expected = format!("expected one of {}", names.join(", "));
            self.report_mismatch(node, &self.child_path(key), &expected);
        }
        found.map(|(_, value)| *value)
    }

    /// Reads a required mapping with `read`.
    pub fn section<T, F>(&self, key: &str, read: F) -> Option<T>
    where
        F: FnOnce(&Section<'_>) -> T,
    {
        let node = self.required(key)?;
        let section = Section::new(node, self.child_path(key), self.problems);
        let value = read(&section);
        section.report_unknown_keys();
        Some(value)
    }

    /// Reads a list of mappings, each with `read`; an absent list is empty.
    pub fn list<T, F>(&self, key: &str, mut read: F) -> Vec<T>
    where
        F: FnMut(&Section<'_>) -> T,
    {
        let path = self.child_path(key);
        let mut values = Vec::new();
        for (index, node) in self.items(key).iter().enumerate() {
            let section = Section::new(node, format!("{path}[{index}]"), self.problems);
            values.push(read(&section));
            section.report_unknown_keys();
        }
        values
    }

    /// Reads a mapping of names to secret strings; an absent mapping is empty.
    ///
    /// The strings never appear in messages.
    pub fn secrets(&self, key: &str) -> Vec<(Arc<str>, Arc<str>)> {
        let Some(node) = self.field(key) else {
            return Vec::new();
        };
        let path = self.child_path(key);
        let Value::Map(entries) = &node.value else {
            self.report_at(
                node.referenced,
                &path,
                "expected a mapping of names to strings",
            );
            return Vec::new();
        };
        let mut secrets = Vec::new();
        for (name, value) in entries {
            match &value.value {
                Value::String(text) if !text.is_empty() => {
                    secrets.push((Arc::from(name.value.as_str()), Arc::from(text.as_str())));
                }
                _ => {
                    let path = format!("{path}.{}", name.value);
                    self.report_at(value.referenced, &path, "expected a non-empty string");
                }
            }
        }
        secrets
    }

    /// Records a problem with a field, at the position of its value or else of the mapping.
    pub fn report<M>(&self, key: &str, message: M)
    where
        M: Into<String>,
    {
        let location = self
            .entries()
            .iter()
            .find(|(name, _)| name.value == key)
            .map_or(self.node.referenced, |(_, node)| node.referenced);
        self.report_at(location, &self.child_path(key), message);
    }
}

/// Access to values, and reports of problems.
impl<'a> Section<'a> {
    fn entries(&self) -> &'a [(serde_saphyr::Spanned<String>, Node)] {
        match &self.node.value {
            Value::Map(entries) => entries,
            _ => &[],
        }
    }

    fn field(&self, key: &str) -> Option<&'a Node> {
        self.read_keys.borrow_mut().insert(key.to_owned());
        let (_, node) = self.entries().iter().find(|(name, _)| name.value == key)?;
        (!matches!(node.value, Value::Null)).then_some(node)
    }

    fn required(&self, key: &str) -> Option<&'a Node> {
        let node = self.field(key);
        if node.is_none() && matches!(self.node.value, Value::Map(_)) {
            self.report(key, "missing required key");
        }
        node
    }

    fn items(&self, key: &str) -> &'a [Node] {
        match self.field(key) {
            None => &[],
            Some(node) => match &node.value {
                Value::List(items) => items,
                _ => {
                    self.report_mismatch(node, &self.child_path(key), "expected a list");
                    &[]
                }
            },
        }
    }

    fn read_string(&self, node: &Node, path: &str) -> Arc<str> {
        match &node.value {
            Value::String(text) if !text.is_empty() => Arc::from(text.as_str()),
            // YAML parses an unquoted version such as `2` or `1.5` as a number.
            Value::Integer(number) => Arc::from(number.to_string()),
            Value::Float(number) => Arc::from(number.to_string()),
            _ => {
                self.report_mismatch(node, path, "expected a non-empty string");
                Arc::from("")
            }
        }
    }

    fn parse_node<T>(&self, node: &Node, path: &str, expected: &str) -> Option<T>
    where
        T: FromStr,
    {
        let parsed = match &node.value {
            Value::String(text) => text.parse().ok(),
            Value::Integer(number) => number.to_string().parse().ok(),
            _ => None,
        };
        if parsed.is_none() {
            self.report_mismatch(node, path, &format!("expected {expected}"));
        }
        parsed
    }

    fn read_number(&self, node: &Node, path: &str, range: RangeInclusive<f64>) -> f64 {
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
        self.report_mismatch(node, path, &expected);
        *range.start()
    }

    fn read_integer(&self, node: &Node, path: &str, range: RangeInclusive<u64>) -> u64 {
        let number = match node.value {
            Value::Integer(number) => u64::try_from(number).ok(),
            _ => None,
        };
        if let Some(number) = number.filter(|number| range.contains(number)) {
            return number;
        }
        let expected = format!(
            "expected an integer from {} to {}",
            range.start(),
            range.end()
        );
        self.report_mismatch(node, path, &expected);
        *range.start()
    }

    fn read_flag(&self, node: &Node, path: &str) -> bool {
        if let Value::Bool(flag) = node.value {
            return flag;
        }
        self.report_mismatch(node, path, "expected `true` or `false`");
        false
    }

    fn report_mismatch(&self, node: &Node, path: &str, expected: &str) {
        let message = format!("{expected}, found {}", node.value.describe());
        self.report_at(node.referenced, path, message);
    }

    fn report_at<M>(&self, location: Location, path: &str, message: M)
    where
        M: Into<String>,
    {
        let issue = Issue::new(path, message);
        self.problems.borrow_mut().push(problem_at(location, issue));
    }

    fn child_path(&self, key: &str) -> String {
        if self.path.is_empty() {
            key.to_owned()
        } else {
            format!("{}.{key}", self.path)
        }
    }
}
