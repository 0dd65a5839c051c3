//! What commands print, and the exit code that goes with it.

use {
    super::{Args, OutputFormat},
    clap::CommandFactory,
    clap_complete::Shell,
    serde::Serialize,
    std::fmt::Display,
};

/// How a command ended.
#[derives::key]
pub enum Exit {
    /// All that was asked for is done.
    Done,
    /// Nothing was changed, or a check found problems.
    Failed,
    /// Part of it is done, or it is not known.
    Unsure,
}

impl Exit {
    /// Exit code of the process. 2 is clap's code for wrong usage.
    #[must_use]
    pub const fn code(self) -> u8 {
        match self {
            Self::Done => 0,
            Self::Failed => 1,
            Self::Unsure => 3,
        }
    }
}

/// A command's output in both forms.
#[derive(Debug, Clone)]
pub struct Finished {
    /// How it ended.
    pub exit: Exit,
    text: String,
    json: String,
}

impl Finished {
    /// The output of a report.
    ///
    /// # Panics
    /// Never: reports are plain data.
    pub fn new<R: Serialize + Display>(exit: Exit, report: &R) -> Self {
        Self {
            exit,
            text: report.to_string(),
            json: serde_json::to_string_pretty(report).expect("a report is plain data"),
        }
    }

    /// A completion script, the same in both forms.
    pub fn completions(shell: Shell) -> Self {
        let mut script = Vec::new();
        clap_complete::generate(shell, &mut Args::command(), "dogwoodctl", &mut script);
        Self::page(String::from_utf8_lossy(&script).into_owned())
    }

    /// A page that is the same in both forms.
    #[must_use]
    pub fn page(text: String) -> Self {
        Self {
            exit: Exit::Done,
            json: text.clone(),
            text,
        }
    }

    /// The output in this form.
    #[must_use]
    pub fn output(&self, format: OutputFormat) -> &str {
        match format {
            OutputFormat::Text => &self.text,
            OutputFormat::Json => &self.json,
        }
    }
}
