use std::path::{Path, PathBuf};
use std::process::ExitCode;

use clap::{Arg, ArgAction, ArgMatches, Command, value_parser};
use serde::Serialize;

use crate::access::Tokens;
use crate::config::Config;
use crate::document::{Document, Problems};
use crate::peer;
use crate::questionnaire::Answers;
use crate::settings;

use super::command::{format_arg, is_json};

/// A problem of a file, as the command prints it.
#[derive(Debug, Serialize)]
struct Finding {
    file: String,
    line: u64,
    column: u64,
    path: String,
    message: String,
}

/// Type of a file's content.
#[derive(Clone, Copy, Debug)]
enum Kind {
    Answers,
    Config,
    Settings,
    Tokens,
    PeerTokens,
}

pub(super) fn command() -> Command {
    Command::new("check")
        .about("Validates files and prints every problem with its position")
        .arg(
            Arg::new("file")
                .value_name("FILE")
                .required(true)
                .action(ArgAction::Append)
                .num_args(1..)
                .value_parser(value_parser!(PathBuf))
                .help("Files to validate"),
        )
        .arg(
            Arg::new("kind")
                .long("kind")
                .value_parser(["answers", "config", "settings", "tokens", "peer-tokens"])
                .help("Type of the files [default: detected from their keys]"),
        )
        .arg(format_arg())
        .after_help("Example:\n  almondpath check answers.yaml config.yaml node1.yaml")
}

pub(super) fn run(args: &ArgMatches) -> eyre::Result<ExitCode> {
    let files = args.get_many::<PathBuf>("file").expect("required by clap");
    let kind = args
        .get_one::<String>("kind")
        .map(|kind| match kind.as_str() {
            "answers" => Kind::Answers,
            "config" => Kind::Config,
            "settings" => Kind::Settings,
            "peer-tokens" => Kind::PeerTokens,
            _ => Kind::Tokens,
        });
    let mut findings = Vec::new();
    for file in files {
        findings.extend(check(file, kind)?);
    }
    if is_json(args) {
        outln!("{}", serde_json::to_string_pretty(&findings)?);
    } else {
        findings.iter().for_each(Finding::print);
    }
    Ok(ExitCode::from(u8::from(!findings.is_empty())))
}

fn check(file: &Path, kind: Option<Kind>) -> eyre::Result<Vec<Finding>> {
    let name = file.display().to_string();
    let text = match std::fs::read_to_string(file) {
        Ok(text) => text,
        Err(error) => return Ok(vec![Finding::unreadable(name, &error)]),
    };
    let document = match Document::parse(&name, &text) {
        Ok(document) => document,
        Err(problems) => return Ok(Finding::from_problems(problems)),
    };
    let result = match kind.unwrap_or_else(|| detect_kind(&document)) {
        Kind::Answers => Answers::from_document(&document).map(drop),
        Kind::Config => Config::from_document(&document).map(drop),
        Kind::Settings => settings::Node::from_document(&document).map(drop),
        Kind::Tokens => Tokens::from_document(&document).map(drop),
        Kind::PeerTokens => peer::Tokens::from_document(&document).map(drop),
    };
    Ok(result.map_or_else(Finding::from_problems, |()| Vec::new()))
}

/// Detects the kind of a document by a key that only documents of this kind have.
fn detect_kind(document: &Document) -> Kind {
    let kinds = [
        ("format", Kind::Config),
        ("routes", Kind::Config),
        ("listen", Kind::Settings),
        ("log_service", Kind::Settings),
        ("operators", Kind::Tokens),
        ("peer_tokens", Kind::PeerTokens),
    ];
    kinds
        .iter()
        .find(|(key, _)| document.has(key))
        .map_or(Kind::Answers, |(_, kind)| *kind)
}

impl Finding {
    fn from_problems(problems: Problems) -> Vec<Self> {
        let file = problems.document;
        let from_problem = |problem: crate::document::Problem| Self {
            file: file.clone(),
            line: problem.line,
            column: problem.column,
            path: problem.issue.path,
            message: problem.issue.message,
        };
        problems.list.into_iter().map(from_problem).collect()
    }

    fn unreadable(file: String, error: &std::io::Error) -> Self {
        Self {
            file,
            line: 0,
            column: 0,
            path: String::new(),
            message: format!("can't read the file: {error}"),
        }
    }

    fn print(&self) {
        let Self {
            file,
            line,
            column,
            path,
            message,
        } = self;
        let separator = if path.is_empty() { "" } else { ": " };
        outln!("{file}:{line}:{column}: {path}{separator}{message}");
    }
}
