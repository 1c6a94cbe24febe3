//! The cases of `review/4/` to `review/8/` that are scripts: `stand-ins-2 CASE FOLDER`, from the root of the repository.
//!
//! Writes `record.txt` in FOLDER. Ends with 1 if the rule was broken, 0 if it held, and 2 if the case could not run.
//! With `TROUBLE=0` in the environment the disruption is left out.

mod client;
mod http;
mod keyed_upstream;
mod left_out;
mod platform;
mod proxy;
mod read_back;
mod record;
mod renamed_route;
mod route_churn;
mod system;
mod two_holders;
mod upstream;

use std::path::Path;
use std::process::ExitCode;
use std::sync::Arc;

use record::Record;
use renamed_route::Rule;

fn main() -> ExitCode {
    let arguments: Vec<String> = std::env::args().collect();
    let [_, case, folder] = arguments.as_slice() else {
        eprintln!("usage: stand-ins-2 CASE FOLDER");
        return ExitCode::from(2);
    };
    let trouble = std::env::var("TROUBLE").as_deref() != Ok("0");
    let record = match Record::create(&Path::new(folder).join("record.txt")) {
        Ok(record) => Arc::new(record),
        Err(error) => {
            eprintln!("record.txt: {error}");
            return ExitCode::from(2);
        }
    };
    let result = match case.as_str() {
        "renamed" => renamed_route::run(Rule::Twice, trouble, &record).and_then(|held| {
            let none_refused = renamed_route::run(Rule::Refused, trouble, &record)?;
            Ok(held && none_refused)
        }),
        "churn" => route_churn::run(trouble, &record),
        "owner" => two_holders::run(trouble, &record),
        "left-out" => left_out::run(trouble, &record),
        "read-back" => read_back::run(trouble, &record),
        _ => Err(format!("no case `{case}`")),
    };
    match result {
        Ok(true) => {
            println!("{case}: the rule held");
            ExitCode::SUCCESS
        }
        Ok(false) => {
            println!("{case}: the rule was broken, see record.txt");
            ExitCode::from(1)
        }
        Err(error) => {
            record.say(&format!("could not run: {error}"));
            eprintln!("{case}: could not run: {error}");
            ExitCode::from(2)
        }
    }
}
