//! Progress and events of a run, through slog, on standard error: for people on a terminal, silent in a pipe, and in
//! either form where `--log` asks for it.
use clap::ValueEnum;
use slog::{o, Discard, Drain, Logger};
use std::io::IsTerminal;
use std::sync::Mutex;

/// A form of the log.
#[derive(Clone, Copy, Debug, PartialEq, Eq, ValueEnum)]
pub enum Form {
    /// One JSON object a line.
    Json,
    /// For people.
    Text,
}

/// A log of that form; of none where none is asked for and nobody watches.
pub fn start(form: Option<Form>) -> Logger {
    let watched = std::io::stderr().is_terminal();
    match form.or(watched.then_some(Form::Text)) {
        Some(Form::Json) => {
            let json = slog_json::Json::default(std::io::stderr());
            Logger::root(Mutex::new(json).fuse(), o!())
        }
        Some(Form::Text) => {
            let plain = slog_term::PlainSyncDecorator::new(std::io::stderr());
            Logger::root(slog_term::FullFormat::new(plain).build().fuse(), o!())
        }
        None => Logger::root(Discard, o!()),
    }
}
