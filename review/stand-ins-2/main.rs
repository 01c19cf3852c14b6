//! Cases of the second review. `cases NAME DIR` plays the case NAME and writes `record.txt`
//! into DIR. Exit status: 1 if the rule was broken, 0 if it held, 2 if the case could not run.
//!
//! The balancers, agents and the store are the project's own binary, started as separate
//! processes. Clients, servers, the router and the operator are stand-ins in this process.

mod common;
mod http;
mod packet;
mod proxy;
mod record;
mod site;
mod world;

mod half_open;
mod missed_start;
mod new_route;

use std::path::PathBuf;
use std::process::exit;

use record::Record;

/// A case gives up after this time, so that it ends inside 120 s.
const TIME_LIMIT_S: u64 = 105;

/// What a case found.
pub enum Verdict {
    Held,
    Broken(String),
}

fn main() {
    let args: Vec<String> = std::env::args().collect();
    let [_, name, dir] = args.as_slice() else {
        eprintln!("usage: cases NAME DIR");
        exit(2);
    };
    let trouble = std::env::var("TROUBLE").map_or(true, |v| v != "0");
    let record = match Record::create(&PathBuf::from(dir).join("record.txt")) {
        Ok(record) => record,
        Err(e) => {
            eprintln!("record.txt: {e}");
            exit(2);
        }
    };
    record.line(format!("case {name}, trouble {trouble}"));
    watch_time(record.clone());
    let outcome = match name.as_str() {
        "half-open" => half_open::play(&record, trouble),
        "missed-start" => missed_start::play(&record, trouble),
        "new-route" => new_route::play(&record, trouble),
        other => Err(format!("no case `{other}`")),
    };
    site::kill_all();
    if std::env::var("KEEP").is_err() {
        site::Site::clean_up();
    }
    let status = match outcome {
        Ok(Verdict::Held) => {
            record.line("VERDICT the rule held".into());
            0
        }
        Ok(Verdict::Broken(what)) => {
            record.line(format!("VERDICT the rule was broken: {what}"));
            1
        }
        Err(e) => {
            record.line(format!("VERDICT the case could not run: {e}"));
            2
        }
    };
    exit(status);
}

/// Ends the case and its processes when it takes too long.
fn watch_time(record: Record) {
    std::thread::spawn(move || {
        std::thread::sleep(std::time::Duration::from_secs(TIME_LIMIT_S));
        record.line("VERDICT the case could not run: time limit".into());
        site::kill_all();
        exit(2);
    });
}
