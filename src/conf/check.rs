//! Validates operators' configuration files and converts them to records.

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

/// Retries per original request of a service that sets none.
pub const DEFAULT_RETRIES: i64 = 1;
/// Deadline, in milliseconds, of a service that sets none.
pub const DEFAULT_DEADLINE_MS: i64 = 2_000;
/// Key lease, in seconds, of a workspace that sets none.
pub const DEFAULT_KEY_LEASE_S: i64 = 60;

const RETRY_COUNT_RANGE: RangeInclusive<i64> = 0..=10;
const DEADLINE_RANGE_MS: RangeInclusive<i64> = 1..=600_000;
/// 0: targets of the service are never cold.
const COLD_RATE_RANGE_PER_S: RangeInclusive<i64> = 0..=1_000_000;
const RATE_RANGE_PER_S: RangeInclusive<i64> = 1..=10_000_000;
const BURST_COUNT_RANGE: RangeInclusive<i64> = 1..=100_000_000;
const KEY_LEASE_RANGE_S: RangeInclusive<i64> = 1..=86_400;
const MAX_NAME_BYTES: usize = 64;

const KNOWN_METHODS: [&str; 7] = ["GET", "HEAD", "POST", "PUT", "PATCH", "DELETE", "OPTIONS"];

/// Rules parsed from one file.
#[derive(Debug, Clone, Default)]
pub(super) struct FileRules {
    pub(super) services: Vec<ServiceRecord>,
    pub(super) workspaces: Vec<WorkspaceRecord>,
}

impl FileRules {
    pub(super) fn into_rules(self) -> RulesRecord {
        RulesRecord {
            services: self.services,
            workspaces: self.workspaces,
        }
    }
}

/// Parses and validates a service file.
pub(super) fn check_service(file: &str, text: &str) -> (FileRules, Vec<Problem>) {
    let mut problems = FileProblems::new(file, text);
    let mut rules = FileRules::default();
    if let Some(parsed) = parse_toml::<ServiceFile>(text, &mut problems) {
        rules.services.push(parse_service(&parsed, &mut problems));
    }
    (rules, problems.into_problems())
}

/// Parses and validates `workspaces.toml`.
pub(super) fn check_workspaces(file: &str, text: &str) -> (FileRules, Vec<Problem>) {
    let mut problems = FileProblems::new(file, text);
    let mut rules = FileRules::default();
    if let Some(parsed) = parse_toml::<WorkspacesFile>(text, &mut problems) {
        for section in &parsed.workspaces {
            let record = parse_workspace(section, &mut problems);
            if rules
                .workspaces
                .iter()
                .any(|other| other.name == record.name)
            {
                let message = format!(
                    "workspace {:?} is defined twice: keep one definition",
                    record.name
                );
                problems.add(section.span().start, "name", message);
            }
            rules.workspaces.push(record);
        }
    }
    (rules, problems.into_problems())
}

fn parse_toml<T: DeserializeOwned>(text: &str, problems: &mut FileProblems<'_>) -> Option<T> {
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

fn parse_service(file: &ServiceFile, problems: &mut FileProblems<'_>) -> ServiceRecord {
    let retries = number_or_default(
        file.retries.as_ref(),
        "retries",
        DEFAULT_RETRIES,
        &RETRY_COUNT_RANGE,
        problems,
    );
    let deadline_ms = number_or_default(
        file.deadline_ms.as_ref(),
        "deadline_ms",
        DEFAULT_DEADLINE_MS,
        &DEADLINE_RANGE_MS,
        problems,
    );
    let cold_rate_per_s = number_or_default(
        file.cold_rate_per_s.as_ref(),
        "cold_rate_per_s",
        0,
        &COLD_RATE_RANGE_PER_S,
        problems,
    );
    let mut routes: Vec<RouteRecord> = Vec::new();
    for section in &file.routes {
        let record = parse_route(section, deadline_ms, problems);
        report_shadowed_route(&record, &routes, section.span().start, problems);
        routes.push(record);
    }
    if routes.is_empty() {
        let message = "no [[route]]: add at least one, or all requests are rejected".to_owned();
        problems.add(0, "route", message);
    }
    ServiceRecord {
        name: required_name(file.service.as_ref(), "service", 0, problems),
        retry_limit: u8::try_from(retries).unwrap_or(0),
        cold_rate_per_s: u32::try_from(cold_rate_per_s).unwrap_or(0),
        routes,
    }
}

// A route that an earlier one covers never matches, so its class and
// `repeatable = false` have no effect. Nothing at run time would reveal this.
fn report_shadowed_route(
    record: &RouteRecord,
    earlier: &[RouteRecord],
    offset: usize,
    problems: &mut FileProblems<'_>,
) {
    let covering_index = earlier.iter().position(|other| {
        let methods_covered = other.methods.is_empty()
            || !record.methods.is_empty()
                && record
                    .methods
                    .iter()
                    .all(|method| other.methods.contains(method));
        methods_covered && covers(&other.path, &record.path)
    });
    if let Some(index) = covering_index {
        let message = format!(
            "{:?} can never match, because route {} ({:?}) matches every path it matches: move it before that route",
            record.path.join("/"),
            index + 1,
            earlier[index].path.join("/"),
        );
        problems.add(offset, "route", message);
    }
}

fn parse_route(
    section: &Spanned<RouteSection>,
    service_deadline_ms: i64,
    problems: &mut FileProblems<'_>,
) -> RouteRecord {
    let offset = section.span().start;
    let section = section.get_ref();
    let deadline_ms = number_or_default(
        section.deadline_ms.as_ref(),
        "deadline_ms",
        service_deadline_ms,
        &DEADLINE_RANGE_MS,
        problems,
    );
    let record = RouteRecord {
        methods: parse_methods(section, problems),
        path: parse_path_field(section, offset, problems),
        class: parse_class(section, offset, problems),
        repeatable: section
            .repeatable
            .as_ref()
            .is_some_and(|value| *value.get_ref()),
        deadline_ms: u32::try_from(deadline_ms).unwrap_or(1),
    };
    report_contradictions(&record, section, offset, problems);
    record
}

fn report_contradictions(
    record: &RouteRecord,
    section: &RouteSection,
    offset: usize,
    problems: &mut FileProblems<'_>,
) {
    let offset = section
        .repeatable
        .as_ref()
        .map_or(offset, |value| value.span().start);
    if record.repeatable && record.methods.is_empty() {
        let message =
            "repeatable = true needs methods: list the methods that may be executed again";
        problems.add(offset, "repeatable", message.to_owned());
    }
    let has_class = section.class.is_some();
    if !record.repeatable && has_class && record.class == Class::Browse {
        let message = "class browse is shed first and needs a repeatable route: \
                       set repeatable = true, or class standard or critical";
        problems.add(offset, "repeatable", message.to_owned());
    }
}

fn parse_methods(section: &RouteSection, problems: &mut FileProblems<'_>) -> Vec<String> {
    let Some(methods) = &section.methods else {
        return Vec::new();
    };
    let mut names: Vec<String> = Vec::new();
    for method in methods {
        let name = method.get_ref();
        if !KNOWN_METHODS.contains(&name.as_str()) {
            let message = format!(
                "unknown method {name:?}: expected {}",
                KNOWN_METHODS.join(", ")
            );
            problems.add(method.span().start, "methods", message);
        } else if names.contains(name) {
            let message = format!("method {name} is listed twice: keep one");
            problems.add(method.span().start, "methods", message);
        }
        names.push(name.clone());
    }
    names
}

fn parse_path_field(
    section: &RouteSection,
    offset: usize,
    problems: &mut FileProblems<'_>,
) -> Vec<String> {
    let Some(path) = &section.path else {
        let message =
            "missing: give the path relative to the service, such as \"prices/*\"".to_owned();
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

fn parse_class(section: &RouteSection, offset: usize, problems: &mut FileProblems<'_>) -> Class {
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

fn parse_workspace(
    section: &Spanned<WorkspaceSection>,
    problems: &mut FileProblems<'_>,
) -> WorkspaceRecord {
    let offset = section.span().start;
    let section = section.get_ref();
    let rate_per_s = required_number(
        section.rate_per_s.as_ref(),
        "rate_per_s",
        offset,
        &RATE_RANGE_PER_S,
        problems,
    );
    let burst_count = required_number(
        section.burst.as_ref(),
        "burst",
        offset,
        &BURST_COUNT_RANGE,
        problems,
    );
    let key_lease_s = number_or_default(
        section.key_lease_s.as_ref(),
        "key_lease_s",
        DEFAULT_KEY_LEASE_S,
        &KEY_LEASE_RANGE_S,
        problems,
    );
    WorkspaceRecord {
        name: required_name(section.name.as_ref(), "name", offset, problems),
        rate_per_s: u32::try_from(rate_per_s).unwrap_or(1),
        burst_count: u32::try_from(burst_count).unwrap_or(1),
        regions: parse_regions(section, problems),
        key_lease_ms: u64::try_from(key_lease_s).unwrap_or(1) * 1_000,
    }
}

fn required_number(
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
    number_or_default(value, field, *range.start(), range, problems)
}

fn parse_regions(section: &WorkspaceSection, problems: &mut FileProblems<'_>) -> Vec<String> {
    let regions = section.regions.as_deref().unwrap_or_default();
    let values = regions.iter();
    values
        .map(|region| required_name(Some(region), "regions", region.span().start, problems))
        .collect()
}

fn number_or_default(
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

fn required_name(
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
    let is_allowed_char = |c: char| c.is_ascii_alphanumeric() || matches!(c, '-' | '_' | '.');
    if name.is_empty() || name.len() > MAX_NAME_BYTES || !name.chars().all(is_allowed_char) {
        let message =
            format!("{name:?}: expected 1 to {MAX_NAME_BYTES} letters, digits, '-', '_' or '.'");
        problems.add(value.span().start, field, message);
    }
    name.clone()
}
