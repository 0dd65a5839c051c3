//! Problems found in operators' files.

use std::fmt;

/// One problem, with its location and how to correct it.
#[derives::record]
#[derive(Eq, PartialOrd, Ord)]
pub struct Problem {
    /// Path relative to the checked directory.
    pub file: String,
    /// Line number from 1; 0 when the problem concerns the whole file or
    /// directory.
    pub line: usize,
    /// Name of the field, or the invalid text.
    pub field: String,
    /// What is wrong and what is expected.
    pub message: String,
}

impl fmt::Display for Problem {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{}", self.file)?;
        if self.line > 0 {
            write!(formatter, ":{}", self.line)?;
        }
        write!(formatter, ": {}: {}", self.field, self.message)
    }
}

/// Collects the problems of one file.
#[derive(Debug)]
pub(super) struct FileProblems<'a> {
    file: &'a str,
    text: &'a str,
    problems: Vec<Problem>,
}

impl<'a> FileProblems<'a> {
    pub(super) const fn new(file: &'a str, text: &'a str) -> Self {
        Self {
            file,
            text,
            problems: Vec::new(),
        }
    }

    /// Adds a problem at a byte offset of the file.
    pub(super) fn add(&mut self, offset: usize, field: &str, message: String) {
        self.problems.push(Problem {
            file: self.file.to_owned(),
            line: line_number(self.text, offset),
            field: field.to_owned(),
            message,
        });
    }

    pub(super) fn into_problems(self) -> Vec<Problem> {
        self.problems
    }
}

fn line_number(text: &str, offset: usize) -> usize {
    let preceding = &text.as_bytes()[..offset.min(text.len())];
    1 + preceding.iter().filter(|byte| **byte == b'\n').count()
}
