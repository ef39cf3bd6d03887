//! Checks of the guarantees, from the records of callers and backend servers.

use super::load::{CallRecord, CallerEnd};
use super::odd::STRANGER;
use super::support::ServerLog;

/// Returns the complete answer of a server without faults.
fn expected_body(path: &str) -> &'static str {
    match path {
        "/draft/ok" | "/draft/omit" | "/brief/ok" | "/paused/ok" => {
            "id: 1\ndata: a\n\nid: 2\ndata: b\n\n"
        }
        "/brief/broken" | "/brief/restarted" => {
            "id: 1\ndata: a\n\nid: 2\ndata: b\n\nid: 3\ndata: c\n\n"
        }
        "/draft/broken" => "no whole answer",
        _ => "echo body",
    }
}

fn runs_of(ran: &[String], attempt: &str) -> usize {
    let prefix = format!("ran {attempt} ");
    ran.iter().filter(|line| line.starts_with(&prefix)).count()
}

/// Returns the violated guarantees.
pub fn violations(calls: &[CallRecord], log: &ServerLog) -> Vec<String> {
    let ran = log.lines_with_prefix("ran ");
    let mut found = Vec::new();
    for call in calls {
        let runs = runs_of(&ran, &call.attempt);
        let repeats = ["/look/", "/brief/", "/paused/"]
            .iter()
            .any(|prefix| call.path.starts_with(prefix));
        if !repeats && runs > 1 {
            found.push(format!("ran {runs} times: {call}"));
        }
        if call.path == "/paused/ok" && runs > 1 {
            found.push(format!(
                "its server was only silent, and it ran again: {call}"
            ));
        }
        if runs > 2 {
            found.push(format!("ran at more servers than allowed: {call}"));
        }
        match &call.end {
            CallerEnd::Whole(429 | 503, _, proven) if runs > 0 || *proven => {
                found.push(format!("called refused but ran: {call}"));
            }
            CallerEnd::Whole(200, body, proven) => {
                if !proven || runs == 0 {
                    found.push(format!("success without a server's answer: {call}"));
                }
                let expected = expected_body(call.path);
                if body != expected {
                    found.push(format!("not the whole answer: {call}"));
                }
            }
            CallerEnd::Whole(401 | 404, ..) => {
                found.push(format!("denied although it is allowed: {call}"));
            }
            _ => {}
        }
    }
    for line in &ran {
        let attempt = line.split(' ').nth(1).unwrap_or("");
        let Some(call) = calls.iter().find(|call| call.attempt == attempt) else {
            found.push(format!("nobody sent it: {line}"));
            continue;
        };
        let inputs = match call.path.split('/').nth(1) {
            // The request omits the last stage.
            _ if call.path == "/draft/omit" => "inputs=2 ",
            Some("draft") => "inputs=1 ",
            Some("brief") => "inputs=2 ",
            _ => "inputs=0 ",
        };
        if line.contains(STRANGER) {
            found.push(format!("ran at a server of another system: {line}"));
        }
        if !line.contains("tenant=office key= ") {
            found.push(format!("wrong workspace or a key passed on: {line}"));
        }
        if !line.contains(inputs) {
            found.push(format!("wrong inputs: {line}"));
        }
    }
    found
}
