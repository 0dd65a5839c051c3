//! Classes of requests by importance.

use std::str::FromStr;

/// Number of classes, for arrays indexed by class.
pub const CLASS_COUNT: usize = 3;

/// Importance of a request, set by the route that it matches.
///
/// Ordered: a higher class is shed later.
#[derives::key]
#[derive(serde::Serialize, serde::Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Class {
    /// Requests that can be repeated at any time; shed first.
    Browse = 0,
    /// Interactive reads that a person waits for.
    Standard = 1,
    /// Orders, price changes, sign-offs; shed last, with reserved slots.
    Critical = 2,
}

impl Class {
    /// All classes, from the first to be shed to the last.
    pub const ALL: [Self; CLASS_COUNT] = [Self::Browse, Self::Standard, Self::Critical];

    /// Index into arrays of [`CLASS_COUNT`] entries.
    #[must_use]
    pub const fn index(self) -> usize {
        self as usize
    }

    /// Name in configuration, headers and metrics.
    #[must_use]
    pub const fn name(self) -> &'static str {
        match self {
            Self::Browse => "browse",
            Self::Standard => "standard",
            Self::Critical => "critical",
        }
    }

    /// Class of a new request among those of all workspaces, if operators assigned a class to its
    /// workspace.
    ///
    /// The class of the workspace takes precedence: no request of a lower workspace is preferred
    /// to one of a higher. Among equal workspaces the route decides, as far as there are enough
    /// classes to distinguish them.
    #[must_use]
    pub const fn with_workspace_class(self, workspace: Option<Self>) -> Self {
        match (workspace, self) {
            (None, class) => class,
            (Some(Self::Critical), _) => Self::Critical,
            (Some(Self::Standard), Self::Critical) => Self::Standard,
            (Some(Self::Standard | Self::Browse), _) => Self::Browse,
        }
    }

    /// The class with this index, if there is one.
    #[must_use]
    pub fn from_index(index: usize) -> Option<Self> {
        Self::ALL.get(index).copied()
    }
}

/// A class name that is not known.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
#[error("unknown class {name:?}: expected browse, standard or critical")]
pub struct UnknownClass {
    /// The unknown name.
    pub name: String,
}

impl FromStr for Class {
    type Err = UnknownClass;

    fn from_str(name: &str) -> Result<Self, Self::Err> {
        Self::ALL
            .into_iter()
            .find(|class| class.name() == name)
            .ok_or_else(|| UnknownClass {
                name: name.to_owned(),
            })
    }
}
