use std::fmt;

/// A problem at a path of a document, without its position in the text.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Issue {
    /// Path of the field, for example `routes[2].service`; empty for the whole document.
    pub path: String,
    /// What is wrong, and what was expected.
    pub message: String,
}

impl Issue {
    /// Creates an issue.
    pub fn new<P, M>(path: P, message: M) -> Self
    where
        P: Into<String>,
        M: Into<String>,
    {
        Self {
            path: path.into(),
            message: message.into(),
        }
    }
}

/// An [`Issue`] with its position in the text of a document.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Problem {
    /// Line, counted from 1; 0 if it is unknown.
    pub line: u64,
    /// Column, counted from 1; 0 if it is unknown.
    pub column: u64,
    /// The issue and the path of the field.
    pub issue: Issue,
}

/// All problems of one document, sorted by position.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Problems {
    /// Name of the document, usually its file name.
    pub document: String,
    /// The problems; never empty.
    pub list: Vec<Problem>,
}

impl fmt::Display for Problems {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for (index, problem) in self.list.iter().enumerate() {
            if index > 0 {
                writeln!(f)?;
            }
            write!(f, "{}:{}:{}: ", self.document, problem.line, problem.column)?;
            if !problem.issue.path.is_empty() {
                write!(f, "{}: ", problem.issue.path)?;
            }
            f.write_str(&problem.issue.message)?;
        }
        Ok(())
    }
}

impl std::error::Error for Problems {}
