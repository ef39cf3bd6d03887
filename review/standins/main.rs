//! Stand-ins and checks of the review's cases: `standins CASE FOLDER`.
//!
//! A case ends with 1 if the rule was broken, with 0 if it held, and with 2 if the case could not run.

mod endless_body;
mod http;
mod omitted_stage;
mod plain;
mod silent_stream;
mod store;
mod trial;

fn main() {
    let arguments: Vec<String> = std::env::args().collect();
    let folder = arguments.get(2).map_or(".", String::as_str);
    match arguments.get(1).map(String::as_str) {
        Some("omitted-stage") => omitted_stage::omitted_stage(folder),
        Some("endless-body") => endless_body::endless_body(folder),
        Some("foreign-entry") => plain::foreign_entry(folder),
        Some("cut-stream") => silent_stream::cut_stream(folder),
        Some("long-idle-time") => plain::long_idle_time(folder),
        _ => {
            eprintln!("usage: standins CASE FOLDER");
            std::process::exit(2)
        }
    }
}
