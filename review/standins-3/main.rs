//! Trials of the third review. Usage: `trial NAME ROOT FOLDER`; `TROUBLE=0` leaves the disruption out.
//! Exits with 1 if the rule was broken, 0 if it held and 2 if the trial could not run.

mod crashing;
mod deadly_part;
mod deadly_pieces;
mod engines;
mod flapping_link;
mod hosts;
mod http;
mod late_removal;
mod leaving;
mod lost_evidence;
mod preempting;
mod proxy;
mod record;
mod staging;
mod store;
mod streaming;
mod unframed;
mod works_on;

use std::path::PathBuf;
use std::process::ExitCode;
use std::sync::Arc;

use record::Record;

/// What a trial has in common with the others.
pub struct Trial {
    pub root: String,
    /// Temporary folder.
    pub folder: PathBuf,
    pub record: Arc<Record>,
    pub trouble: bool,
}

/// Whether the rule held.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Verdict {
    Held,
    Broken,
    NotRun,
}

fn main() -> ExitCode {
    let arguments: Vec<String> = std::env::args().collect();
    let [_, name, root, folder] = arguments.as_slice() else {
        eprintln!("usage: trial NAME ROOT FOLDER");
        return ExitCode::from(2);
    };
    let temporary = std::env::temp_dir().join(format!("hollywheel-review-{}", std::process::id()));
    std::fs::create_dir_all(&temporary).expect("a temporary folder");
    let trial = Trial {
        root: root.clone(),
        folder: temporary.clone(),
        record: Arc::new(Record::create(&format!("{folder}/record.txt"))),
        trouble: std::env::var("TROUBLE").as_deref() != Ok("0"),
    };
    let ran = std::panic::catch_unwind(std::panic::AssertUnwindSafe(|| match name.as_str() {
        "works-on" => works_on::run(&trial),
        "unframed" => unframed::run(&trial),
        "late-removal" => late_removal::run(&trial),
        "deadly-part" => deadly_part::run(&trial),
        "deadly-pieces" => deadly_pieces::run(&trial),
        "flapping-link" => flapping_link::run(&trial),
        "lost-evidence" => lost_evidence::run(&trial),
        _ => Verdict::NotRun,
    }));
    let verdict = ran.unwrap_or(Verdict::NotRun);
    trial.record.say(&format!("verdict: {verdict:?}"));
    if std::env::var_os("KEEP").is_none() {
        let _ = std::fs::remove_dir_all(&temporary);
    } else {
        println!("kept {}", temporary.display());
    }
    ExitCode::from(match verdict {
        Verdict::Held => 0,
        Verdict::Broken => 1,
        Verdict::NotRun => 2,
    })
}
