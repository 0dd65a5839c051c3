//! Checks operators' files and turns them into records.

use {
    super::{
        file::{RouteSection, ServiceFile, WorkspaceSection, WorkspacesFile},
        path::{covers, parse_path},
        problem::{FileProblems, Problem},
        record::{RouteRecord, RulesRecord, ServiceRecord, WorkspaceRecord},
    },
    crate::model::Class,
    serde::de::DeserializeOwned,
    std::ops::RangeInclusive,
    toml::Spanned,
};

/// Retries of a service that sets none.
pub const DEFAULT_RETRIES: i64 = 1;
/// Deadline of a service that sets none.
pub const DEFAULT_DEADLINE_MS: i64 = 2_000;
/// Key lease of a workspace that sets none.
pub const DEFAULT_KEY_LEASE_S: i64 = 60;

const RETRIES: RangeInclusive<i64> = 0..=10;
const DEADLINES_MS: RangeInclusive<i64> = 1..=600_000;
/// 0 stands for targets that are never cold.
const COLD_RATES_PER_S: RangeInclusive<i64> = 0..=1_000_000;
const RATES_PER_S: RangeInclusive<i64> = 1..=10_000_000;
const BURSTS: RangeInclusive<i64> = 1..=100_000_000;
const KEY_LEASES_S: RangeInclusive<i64> = 1..=86_400;
const MAX_NAME_BYTES: usize = 64;

const METHODS: [&str; 7] = ["GET", "HEAD", "POST", "PUT", "PATCH", "DELETE", "OPTIONS"];

/// What one file adds to the rules.
#[derive(Debug, Clone, Default)]
pub(super) struct Part {
    pub(super) services: Vec<ServiceRecord>,
    pub(super) workspaces: Vec<WorkspaceRecord>,
}

impl Part {
    pub(super) fn into_rules(self) -> RulesRecord {
        RulesRecord {
            services: self.services,
            workspaces: self.workspaces,
        }
    }
}

/// Checks a service's file.
pub(super) fn check_service(file: &str, text: &str) -> (Part, Vec<Problem>) {
    let mut problems = FileProblems::new(file, text);
    let mut part = Part::default();
    if let Some(parsed) = parse::<ServiceFile>(text, &mut problems) {
        part.services.push(service(&parsed, &mut problems));
    }
    (part, problems.into_found())
}

/// Checks `workspaces.toml`.
pub(super) fn check_workspaces(file: &str, text: &str) -> (Part, Vec<Problem>) {
    let mut problems = FileProblems::new(file, text);
    let mut part = Part::default();
    if let Some(parsed) = parse::<WorkspacesFile>(text, &mut problems) {
        for section in &parsed.workspaces {
            let record = workspace(section, &mut problems);
            if part
                .workspaces
                .iter()
                .any(|other| other.name == record.name)
            {
                let message = format!("workspace {:?} stands twice: keep one", record.name);
                problems.add(section.span().start, "name", message);
            }
            part.workspaces.push(record);
        }
    }
    (part, problems.into_found())
}

fn parse<T: DeserializeOwned>(text: &str, problems: &mut FileProblems<'_>) -> Option<T> {
    match toml::from_str(text) {
        Ok(parsed) => Some(parsed),
        Err(error) => {
            let span = error.span().unwrap_or(0..0);
            let field = text.get(span.clone()).unwrap_or_default();
            let field = field.lines().next().unwrap_or_default().trim();
            let field = if field.is_empty() { "file" } else { field };
            problems.add(span.start, field, error.message().to_owned());
            None
        }
    }
}

fn service(file: &ServiceFile, problems: &mut FileProblems<'_>) -> ServiceRecord {
    let retries = number(
        file.retries.as_ref(),
        "retries",
        DEFAULT_RETRIES,
        &RETRIES,
        problems,
    );
    let deadline_ms = number(
        file.deadline_ms.as_ref(),
        "deadline_ms",
        DEFAULT_DEADLINE_MS,
        &DEADLINES_MS,
        problems,
    );
    let cold_rate_per_s = number(
        file.cold_rate_per_s.as_ref(),
        "cold_rate_per_s",
        0,
        &COLD_RATES_PER_S,
        problems,
    );
    let mut routes: Vec<RouteRecord> = Vec::new();
    for section in &file.routes {
        let record = route(section, deadline_ms, problems);
        note_shadowed(&record, &routes, section.span().start, problems);
        routes.push(record);
    }
    if routes.is_empty() {
        let message = "no [[route]]: give at least one, or no request is served".to_owned();
        problems.add(0, "route", message);
    }
    ServiceRecord {
        name: name(file.service.as_ref(), "service", 0, problems),
        retry_limit: u8::try_from(retries).unwrap_or(0),
        cold_rate_per_s: u32::try_from(cold_rate_per_s).unwrap_or(0),
        routes,
    }
}

// A route behind one that matches everything it matches is dead text: the
// operator believes its class or its `repeatable = false` to be in force, and
// it is not. Nothing at run time would show it.
fn note_shadowed(
    record: &RouteRecord,
    earlier: &[RouteRecord],
    offset: usize,
    problems: &mut FileProblems<'_>,
) {
    let shadow = earlier.iter().position(|other| {
        let methods_covered = other.methods.is_empty()
            || !record.methods.is_empty()
                && record
                    .methods
                    .iter()
                    .all(|method| other.methods.contains(method));
        methods_covered && covers(&other.path, &record.path)
    });
    if let Some(index) = shadow {
        let message = format!(
            "{:?} can never match, since route {} ({:?}) matches all of it: put it before that one",
            record.path.join("/"),
            index + 1,
            earlier[index].path.join("/"),
        );
        problems.add(offset, "route", message);
    }
}

fn route(
    section: &Spanned<RouteSection>,
    service_deadline_ms: i64,
    problems: &mut FileProblems<'_>,
) -> RouteRecord {
    let offset = section.span().start;
    let section = section.get_ref();
    let deadline_ms = number(
        section.deadline_ms.as_ref(),
        "deadline_ms",
        service_deadline_ms,
        &DEADLINES_MS,
        problems,
    );
    let record = RouteRecord {
        methods: methods(section, problems),
        path: path(section, offset, problems),
        class: class(section, offset, problems),
        repeatable: section
            .repeatable
            .as_ref()
            .is_some_and(|set| *set.get_ref()),
        deadline_ms: u32::try_from(deadline_ms).unwrap_or(1),
    };
    note_contradictions(&record, section, offset, problems);
    record
}

fn note_contradictions(
    record: &RouteRecord,
    section: &RouteSection,
    offset: usize,
    problems: &mut FileProblems<'_>,
) {
    let offset = section
        .repeatable
        .as_ref()
        .map_or(offset, |set| set.span().start);
    if record.repeatable && record.methods.is_empty() {
        let message = "repeatable = true needs methods: name those that may be executed again";
        problems.add(offset, "repeatable", message.to_owned());
    }
    let has_class = section.class.is_some();
    if !record.repeatable && has_class && record.class == Class::Browse {
        let message = "a route that is not repeatable is shed first in class browse: \
                       set repeatable = true, or class standard or critical";
        problems.add(offset, "repeatable", message.to_owned());
    }
}

fn methods(section: &RouteSection, problems: &mut FileProblems<'_>) -> Vec<String> {
    let Some(methods) = &section.methods else {
        return Vec::new();
    };
    let mut names: Vec<String> = Vec::new();
    for method in methods {
        let name = method.get_ref();
        if !METHODS.contains(&name.as_str()) {
            let message = format!("unknown method {name:?}: expected {}", METHODS.join(", "));
            problems.add(method.span().start, "methods", message);
        } else if names.contains(name) {
            let message = format!("method {name} stands twice: keep one");
            problems.add(method.span().start, "methods", message);
        }
        names.push(name.clone());
    }
    names
}

fn path(section: &RouteSection, offset: usize, problems: &mut FileProblems<'_>) -> Vec<String> {
    let Some(path) = &section.path else {
        let message = "missing: give the path below the service, such as \"prices/*\"".to_owned();
        problems.add(offset, "path", message);
        return Vec::new();
    };
    match parse_path(path.get_ref()) {
        Ok(segments) => segments,
        Err(error) => {
            problems.add(path.span().start, "path", error.to_string());
            Vec::new()
        }
    }
}

fn class(section: &RouteSection, offset: usize, problems: &mut FileProblems<'_>) -> Class {
    let Some(class) = &section.class else {
        let message = "missing: expected browse, standard or critical".to_owned();
        problems.add(offset, "class", message);
        return Class::Standard;
    };
    class.get_ref().parse().unwrap_or_else(|error| {
        let error: crate::model::UnknownClass = error;
        problems.add(class.span().start, "class", error.to_string());
        Class::Standard
    })
}

fn workspace(
    section: &Spanned<WorkspaceSection>,
    problems: &mut FileProblems<'_>,
) -> WorkspaceRecord {
    let offset = section.span().start;
    let section = section.get_ref();
    let rate = required(
        section.rate_per_s.as_ref(),
        "rate_per_s",
        offset,
        &RATES_PER_S,
        problems,
    );
    let burst = required(section.burst.as_ref(), "burst", offset, &BURSTS, problems);
    let lease_s = number(
        section.key_lease_s.as_ref(),
        "key_lease_s",
        DEFAULT_KEY_LEASE_S,
        &KEY_LEASES_S,
        problems,
    );
    WorkspaceRecord {
        name: name(section.name.as_ref(), "name", offset, problems),
        rate_per_s: u32::try_from(rate).unwrap_or(1),
        burst_count: u32::try_from(burst).unwrap_or(1),
        regions: regions(section, problems),
        key_lease_ms: u64::try_from(lease_s).unwrap_or(1) * 1_000,
    }
}

fn required(
    value: Option<&Spanned<i64>>,
    field: &str,
    offset: usize,
    range: &RangeInclusive<i64>,
    problems: &mut FileProblems<'_>,
) -> i64 {
    if value.is_none() {
        let message = format!("missing: expected {} to {}", range.start(), range.end());
        problems.add(offset, field, message);
    }
    number(value, field, *range.start(), range, problems)
}

fn regions(section: &WorkspaceSection, problems: &mut FileProblems<'_>) -> Vec<String> {
    let regions = section.regions.as_deref().unwrap_or_default();
    let named = regions.iter();
    named
        .map(|region| name(Some(region), "regions", region.span().start, problems))
        .collect()
}

fn number(
    value: Option<&Spanned<i64>>,
    field: &str,
    default: i64,
    range: &RangeInclusive<i64>,
    problems: &mut FileProblems<'_>,
) -> i64 {
    let Some(value) = value else {
        return default;
    };
    let number = *value.get_ref();
    if range.contains(&number) {
        return number;
    }
    let message = format!(
        "{number} is out of range: expected {} to {}",
        range.start(),
        range.end()
    );
    problems.add(value.span().start, field, message);
    default
}

fn name(
    value: Option<&Spanned<String>>,
    field: &str,
    offset: usize,
    problems: &mut FileProblems<'_>,
) -> String {
    let Some(value) = value else {
        problems.add(offset, field, "missing: give a name".to_owned());
        return String::new();
    };
    let name = value.get_ref();
    let is_allowed = |c: char| c.is_ascii_alphanumeric() || matches!(c, '-' | '_' | '.');
    if name.is_empty() || name.len() > MAX_NAME_BYTES || !name.chars().all(is_allowed) {
        let message =
            format!("{name:?}: expected 1 to {MAX_NAME_BYTES} letters, digits, '-', '_' or '.'");
        problems.add(value.span().start, field, message);
    }
    name.clone()
}
