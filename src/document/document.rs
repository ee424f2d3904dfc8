use std::cell::RefCell;
use std::path::Path;

use eyre::WrapErr;
use serde_saphyr::{Location, Spanned};

use super::value::{Node, Value};
use super::{Issue, Problem, Problems, Section};

/// A parsed YAML document with the position of each value.
///
/// # Examples
///
/// ```
/// use almondpath::document::Document;
///
/// let document = Document::parse("limits.yaml", "rate: fast\ncolour: red\n").unwrap();
/// let problems = document.bind(|section| section.number("rate", 0.0..=1.0)).unwrap_err();
/// assert_eq!(problems.list.len(), 2);
/// ```
#[derive(Clone, Debug)]
pub struct Document {
    name: String,
    root: Node,
}

impl Document {
    /// Reads and parses a YAML file.
    ///
    /// # Errors
    ///
    /// Fails when the file can't be read or isn't valid YAML.
    pub fn load(path: &Path) -> eyre::Result<Self> {
        let text = std::fs::read_to_string(path)
            .wrap_err_with(|| format!("reading {}", path.display()))?;
        Ok(Self::parse(&path.display().to_string(), &text)?)
    }

    /// Parses YAML text; `name` identifies the document in messages.
    ///
    /// # Errors
    ///
    /// Fails with the first syntax error, because the parser can't continue after it.
    pub fn parse(name: &str, text: &str) -> Result<Self, Problems> {
        match serde_saphyr::from_str::<Spanned<Value>>(text) {
            Ok(root) => Ok(Self {
                name: name.to_owned(),
                root,
            }),
            Err(error) => Err(Problems {
                document: name.to_owned(),
                list: vec![syntax_problem(&error)],
            }),
        }
    }

    /// Returns whether the root of the document is a mapping with this key.
    #[must_use]
    pub fn has(&self, key: &str) -> bool {
        match &self.root.value {
            Value::Map(entries) => entries.iter().any(|(name, _)| name.value == key),
            _ => false,
        }
    }

    /// Converts the document to a value with `read`, which reads the fields of the root mapping.
    ///
    /// # Errors
    ///
    /// Fails with all problems of the document, including unknown keys.
    pub fn bind<T, F>(&self, read: F) -> Result<T, Problems>
    where
        F: FnOnce(&Section<'_>) -> T,
    {
        self.bind_checked(read, |_| Vec::new())
    }

    /// Converts the document as [`Document::bind`] does, and validates the result with `check`.
    ///
    /// An issue of `check` is dropped if `read` reported a problem at its path or below it: the
    /// issue is then about a default value that the document doesn't contain.
    ///
    /// # Errors
    ///
    /// Fails with the problems that `read` and `check` reported.
    pub fn bind_checked<T, F, C>(&self, read: F, check: C) -> Result<T, Problems>
    where
        F: FnOnce(&Section<'_>) -> T,
        C: FnOnce(&T) -> Vec<Issue>,
    {
        let problems = RefCell::new(Vec::new());
        let section = Section::root(&self.root, &problems);
        let value = read(&section);
        section.report_unknown_keys();
        let mut list = problems.into_inner();
        for issue in check(&value) {
            let is_reported = |problem: &Problem| is_within(&problem.issue.path, &issue.path);
            if !list.iter().any(is_reported) {
                list.push(problem_at(self.locate(&issue.path), issue));
            }
        }
        if list.is_empty() {
            return Ok(value);
        }
        list.sort_by_key(|problem| (problem.line, problem.column));
        Err(Problems {
            document: self.name.clone(),
            list,
        })
    }

    /// Returns the position of the value at a path, or of its innermost parent that exists.
    fn locate(&self, path: &str) -> Location {
        let mut node = &self.root;
        for step in path.split(['.', '[']).filter(|step| !step.is_empty()) {
            let step = step.trim_end_matches(']');
            let child = match &node.value {
                Value::Map(entries) => entries
                    .iter()
                    .find(|(key, _)| key.value == step)
                    .map(|(_, value)| value),
                Value::List(items) => step.parse().ok().and_then(|i: usize| items.get(i)),
                _ => None,
            };
            match child {
                Some(child) => node = child,
                None => break,
            }
        }
        node.referenced
    }
}

/// Returns whether `path` equals `parent` or lies below it.
fn is_within(path: &str, parent: &str) -> bool {
    path.strip_prefix(parent)
        .is_some_and(|rest| rest.is_empty() || rest.starts_with(['.', '[']))
}

/// Creates a problem from an issue at a position.
pub(super) fn problem_at(location: Location, issue: Issue) -> Problem {
    Problem {
        line: location.line(),
        column: location.column(),
        issue,
    }
}

fn syntax_problem(error: &serde_saphyr::Error) -> Problem {
    let text = error.to_string();
    let first_line = text.lines().next().unwrap_or_default();
    problem_at(
        error.location().unwrap_or(Location::UNKNOWN),
        Issue::new("", format!("invalid YAML: {first_line}")),
    )
}
