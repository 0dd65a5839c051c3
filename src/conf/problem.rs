//! Problems in operators' files.

use std::fmt;

/// One problem, with its place and what would be right.
#[derives::record]
#[derive(Eq, PartialOrd, Ord)]
pub struct Problem {
    /// File below the checked directory.
    pub file: String,
    /// Line, counted from 1; 0 when the problem is about the whole file or
    /// directory.
    pub line: usize,
    /// Field, or the part of the file that is wrong.
    pub field: String,
    /// What is wrong and what would be right.
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
    found: Vec<Problem>,
}

impl<'a> FileProblems<'a> {
    pub(super) const fn new(file: &'a str, text: &'a str) -> Self {
        Self {
            file,
            text,
            found: Vec::new(),
        }
    }

    /// Notes a problem at a byte offset of the file.
    pub(super) fn add(&mut self, offset: usize, field: &str, message: String) {
        self.found.push(Problem {
            file: self.file.to_owned(),
            line: line_at(self.text, offset),
            field: field.to_owned(),
            message,
        });
    }

    pub(super) fn into_found(self) -> Vec<Problem> {
        self.found
    }
}

fn line_at(text: &str, offset: usize) -> usize {
    let before = &text.as_bytes()[..offset.min(text.len())];
    1 + before.iter().filter(|byte| **byte == b'\n').count()
}
