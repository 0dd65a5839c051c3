//! A result for the terminal.

use {
    crate::measure::{Checks, ScenarioResult},
    std::fmt::Write,
};

/// All figures, without the series.
#[must_use]
pub fn text(result: &ScenarioResult) -> String {
    let mut text = String::new();
    // Writing to a text does not fail.
    let _ = write_measures(&mut text, result);
    let _ = write_overload(&mut text, result);
    let _ = write_loads(&mut text, result);
    let _ = write_workspaces(&mut text, result);
    let _ = write_checks(&mut text, &result.checks);
    text
}

fn write_measures(text: &mut String, result: &ScenarioResult) -> std::fmt::Result {
    writeln!(text, "{}", result.name)?;
    if !result.description.is_empty() {
        writeln!(text, "{}", result.description.trim())?;
    }
    writeln!(text, "node flags: {}", result.node_flags.join(" "))?;
    writeln!(
        text,
        "goodput, normal          {:>10.1} /s",
        result.normal_per_s
    )?;
    if let Some(trouble_per_s) = result.trouble_per_s {
        writeln!(text, "goodput, in trouble      {trouble_per_s:>10.1} /s")?;
    }
    match result.recovery_s {
        Some(recovery_s) => writeln!(text, "recovery                 {recovery_s:>10.1} s")?,
        None if result.stayed_down => writeln!(text, "recovery                 not in this run")?,
        None => {}
    }
    let worst = result.worst_served.as_deref().unwrap_or("none");
    let ratio = result.worst_served_ratio;
    writeln!(text, "worst-served workspace   {ratio:>10.3} ({worst})")?;
    let wrongful_percent = result.wrongful_ratio * 100.0;
    writeln!(text, "wrongful refusals        {wrongful_percent:>10.3} %")?;
    let cpu_us = result.node_cpu_us_per_attempt;
    writeln!(text, "CPU of nodes per send    {cpu_us:>10.1} us")?;
    let resident_mib = result.node_cost.max_resident_bytes as f64 / f64::from(1 << 20);
    writeln!(text, "memory of largest node   {resident_mib:>10.1} MiB\n")
}

fn write_overload(text: &mut String, result: &ScenarioResult) -> std::fmt::Result {
    let Some(overload) = &result.overload else {
        return Ok(());
    };
    writeln!(text, "overload of {}", overload.service)?;
    let rows = [
        ("possible, /s", overload.possible_per_s),
        ("goodput, /s", overload.goodput_per_s),
        ("goodput over possible", overload.goodput_ratio),
        ("critical requests served", overload.critical_served_ratio),
        ("other requests served", overload.other_served_ratio),
        ("sends per request", overload.sends_per_original),
        ("attempts per request", overload.attempts_per_original),
        ("most attempts per send", overload.max_attempts_per_send),
        ("work begun in vain", overload.wasted_ratio),
    ];
    for (name, value) in rows {
        writeln!(text, "  {name:<26}{value:>10.3}")?;
    }
    writeln!(text)
}

fn write_loads(text: &mut String, result: &ScenarioResult) -> std::fmt::Result {
    for load in &result.loads {
        writeln!(
            text,
            "load {}: {} offered, {} sends, p50 {:.1} ms, p99 {:.1} ms, unsent {}",
            load.name,
            load.offered_count,
            load.attempt_count,
            load.p50_ms,
            load.p99_ms,
            load.unsent_count
        )?;
        for (judgement, count) in &load.judgements {
            writeln!(text, "  {judgement:?}: {count}")?;
        }
        for (reason, count) in &load.reasons {
            writeln!(text, "  sends refused, {reason}: {count}")?;
        }
    }
    writeln!(text)
}

fn write_workspaces(text: &mut String, result: &ScenarioResult) -> std::fmt::Result {
    for workspace in &result.workspaces {
        writeln!(
            text,
            "workspace {}: served {:.3} of its claim ({} of {}), wrongful {} of {} inside the rate",
            workspace.name,
            workspace.served_ratio,
            workspace.whole_count,
            workspace.claim_count,
            workspace.wrongful_count,
            workspace.inside_count
        )?;
    }
    writeln!(text)
}

fn write_checks(text: &mut String, checks: &Checks) -> std::fmt::Result {
    let rows = [
        ("double executions", checks.double_execution_count),
        ("false not-run", checks.false_not_run_count),
        ("keys in journals", checks.leaked_key_count),
        ("wrong answers", checks.wrong_answer_count),
        ("most executions of one request", checks.max_execution_count),
    ];
    for (name, count) in rows {
        writeln!(text, "{name:<32}{count:>6}")?;
    }
    for (service, ratio) in &checks.executions_per_original {
        writeln!(text, "executions per request at {service}: {ratio:.3}")?;
    }
    for (workspace, excess) in &checks.window_excess {
        writeln!(
            text,
            "executed over rate and burst, {workspace}: {excess:.1}"
        )?;
    }
    for (workspace, excess) in &checks.proven_excess {
        writeln!(
            text,
            "admitted over rate and burst, {workspace}: {excess:.1}"
        )?;
    }
    Ok(())
}
