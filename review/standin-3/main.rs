//! Plays a case of the review: `standin-3 CASE TROUBLE FOLDER RECORD`, in the root of the repository. Exits with 1 if the
//! rule was broken, 0 if it held, and 2 if the case could not run.

mod deadly_task;
mod http;
mod json;
mod reborn_behind_cut;
mod renamed_route;
mod site;
mod store;
mod worker;
mod zones_in_turn;

use std::path::Path;
use std::process::ExitCode;
use std::sync::Arc;

use site::Record;

fn main() -> ExitCode {
    let arguments: Vec<String> = std::env::args().skip(1).collect();
    let [case, trouble, folder, record] = arguments.as_slice() else {
        eprintln!("usage: standin-3 CASE TROUBLE FOLDER RECORD");
        return ExitCode::from(2);
    };
    let record = Arc::new(Record::create(Path::new(record)));
    let (trouble, folder) = (trouble != "0", Path::new(folder));
    let held = match case.as_str() {
        "deadly-task" => deadly_task::run(trouble, folder, &record),
        "reborn-behind-cut" => reborn_behind_cut::run(trouble, folder, &record),
        "renamed-route" => renamed_route::run(trouble, folder, &record),
        "zones-in-turn" => zones_in_turn::run(trouble, folder, &record),
        _ => None,
    };
    let (result, code) = match held {
        Some(true) => ("the rule held", 0),
        Some(false) => ("the rule was broken", 1),
        None => ("the case could not run", 2),
    };
    record.line(result);
    println!("{case}: {result}");
    ExitCode::from(code)
}
