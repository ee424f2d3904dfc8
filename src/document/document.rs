use std::cell::RefCell;
use std::path::Path;

use eyre::WrapErr;
use serde_saphyr::{Location, Spanned};

use super::value::{Node, Value};
use super::{Issue, Problem, Problems, Section};

/// A parsed YAML document whose values have positions.
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
    /// Reads and parses a file.
    ///
    /// # Errors
    ///
    /// Fails when the file can't be read or isn't valid YAML.
    pub fn load(path: &Path) -> eyre::Result<Self> {
        let text = std::fs::read_to_string(path)
            .wrap_err_with(|| format!("reading {}", path.display()))?;
        Ok(Self::parse(&path.display().to_string(), &text)?)
    }

    /// Parses a text; `name` stands for it in messages.
    ///
    /// # Errors
    ///
    /// Fails with the first syntax error, because a parser can't know what follows it.
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

    /// Returns whether the document is a mapping with this key.
    #[must_use]
    pub fn has(&self, key: &str) -> bool {
        match &self.root.value {
            Value::Map(entries) => entries.iter().any(|(name, _)| name.value == key),
            _ => false,
        }
    }

    /// Reads the document's fields with `read` and returns what it built.
    ///
    /// # Errors
    ///
    /// Fails with all problems that were found, unknown keys included.
    pub fn bind<T, F>(&self, read: F) -> Result<T, Problems>
    where
        F: FnOnce(&Section<'_>) -> T,
    {
        self.bind_checked(read, |_| Vec::new())
    }

    /// As [`Document::bind`], and checks the result with `check`.
    ///
    /// An issue of `check` at a path where a problem was found, at it or below it, is dropped, since
    /// it speaks about a default that the document does not contain.
    ///
    /// # Errors
    ///
    /// Fails with the problems of both steps.
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
            let known = |problem: &Problem| is_within(&problem.issue.path, &issue.path);
            if !list.iter().any(known) {
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

    /// Returns the position of a path, or of the innermost part of it that exists.
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

/// Returns whether `path` is `parent` or lies below it.
fn is_within(path: &str, parent: &str) -> bool {
    path.strip_prefix(parent)
        .is_some_and(|rest| rest.is_empty() || rest.starts_with(['.', '[']))
}

/// Creates a problem at a position.
pub(super) fn problem_at(location: Location, issue: Issue) -> Problem {
    Problem {
        line: location.line(),
        column: location.column(),
        issue,
    }
}

fn syntax_problem(error: &serde_saphyr::Error) -> Problem {
    let text = error.to_string();
    let first = text.lines().next().unwrap_or_default();
    problem_at(
        error.location().unwrap_or(Location::UNKNOWN),
        Issue::new("", format!("not valid YAML: {first}")),
    )
}
