//! Path patterns of routes.

/// Matches exactly one segment.
const ANY_SEGMENT: &str = "*";
/// Matches the rest of a path, which may be empty.
const ANY_REST: &str = "**";

/// An invalid path pattern.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum PathError {
    /// `**` precedes other segments.
    #[error("'**' matches the rest of the path: put it last")]
    RestNotLast,
    /// A wildcard is only part of a segment.
    #[error("{segment:?}: '*' matches a whole segment: write \"*\" between slashes")]
    PartialWildcard {
        /// The segment.
        segment: String,
    },
    /// A segment that no request path can contain.
    #[error(
        "{segment:?}: a segment needs printable ASCII characters other than space, '?' and '#', and is not '.' or '..'"
    )]
    BadSegment {
        /// The segment.
        segment: String,
    },
}

/// Splits a pattern into its segments and ignores empty ones.
pub fn parse_path(path: &str) -> Result<Vec<String>, PathError> {
    let segments: Vec<&str> = path
        .split('/')
        .filter(|segment| !segment.is_empty())
        .collect();
    for (index, segment) in segments.iter().enumerate() {
        check_segment(segment, index + 1 == segments.len())?;
    }
    Ok(segments.into_iter().map(str::to_owned).collect())
}

fn check_segment(segment: &str, is_last: bool) -> Result<(), PathError> {
    if segment == ANY_REST {
        return if is_last {
            Ok(())
        } else {
            Err(PathError::RestNotLast)
        };
    }
    if segment == ANY_SEGMENT {
        return Ok(());
    }
    let segment = segment.to_owned();
    if segment.contains('*') {
        return Err(PathError::PartialWildcard { segment });
    }
    let is_allowed_char = |c: char| c.is_ascii_graphic() && !matches!(c, '?' | '#');
    if segment == "." || segment == ".." || !segment.chars().all(is_allowed_char) {
        return Err(PathError::BadSegment { segment });
    }
    Ok(())
}

/// Whether `outer` matches every path that `inner` matches.
#[must_use]
pub fn covers(outer: &[String], inner: &[String]) -> bool {
    let mut inner_segments = inner.iter();
    for pattern in outer {
        match (pattern.as_str(), inner_segments.next().map(String::as_str)) {
            (ANY_REST, _) => return true,
            (_, None | Some(ANY_REST)) => return false,
            (ANY_SEGMENT, Some(_)) => {}
            (literal, Some(segment)) if literal == segment => {}
            _ => return false,
        }
    }
    inner_segments.next().is_none()
}
