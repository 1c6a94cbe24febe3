//! An operator's commands: each is an order to whichever control balancer answers clearly, and its exit status
//! tells what became of it.

mod status;

use std::collections::BTreeMap;
use std::fmt::Write as _;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::ExitCode;
use std::time::Duration;

use clap::{Args, Subcommand, ValueEnum};
use control_plane::configuration::validate;
use control_plane::operator_client::{
    Bytes, OperatorClient, OperatorRequest, Response, StatusCode,
};
use protocol::config::Config;
use protocol::settings::Settings;
use serde_json::Value;

/// Exit statuses beside 0: nothing of it was sent, or no answer says what became of it; it was refused and
/// changes nothing.
const FAILED: u8 = 1;
const REFUSED: u8 = 3;
const UNCLEAR: u8 = 4;

/// Where control is, and how answers are shown.
#[derive(Args)]
pub struct Whom {
    /// The `ctl` address of a control balancer; may be given several times. Left out: those that the settings
    /// file named by SHOREFRONT_SETTINGS tells.
    #[arg(long, global = true, value_name = "IP:PORT")]
    at: Vec<SocketAddr>,
    /// An order without a clear answer is sent again for so long.
    #[arg(long, global = true, value_name = "SECONDS", default_value_t = 6.0)]
    patience: f64,
    #[arg(long, global = true, value_enum, default_value_t = Form::Table)]
    output: Form,
}

#[derive(Clone, Copy, ValueEnum)]
enum Form {
    /// For people.
    Table,
    /// As it was answered.
    Json,
}

#[derive(Subcommand)]
pub enum ConfigCommand {
    /// Prints the newest configuration, as a majority of the control balancers confirms it.
    Get,
    /// Puts a whole configuration in the place of the current one.
    Replace(Change),
    /// Adds, replaces and removes named items: `rev`, `upsert`, `remove`.
    Amend(Change),
    /// Says what a whole configuration would change.
    Diff { file: PathBuf },
    /// Says whether a whole configuration makes sense, without asking anyone.
    Check { file: PathBuf },
}

#[derive(Args)]
pub struct Change {
    /// JSON.
    file: PathBuf,
    /// The version that it builds on; the current one if left out.
    #[arg(long)]
    base: Option<u64>,
}

#[derive(Subcommand)]
pub enum DrainCommand {
    /// Nothing more is sent to the upstreams of the zone.
    Begin { zone: String },
    /// Takes that back.
    Finish { zone: String },
}

/// What an operator asks.
#[derive(Subcommand)]
pub enum Operation {
    /// The configuration that all balancers follow.
    Config {
        #[command(subcommand)]
        what: ConfigCommand,
        #[command(flatten)]
        whom: Whom,
    },
    /// Evacuations of zones.
    Drain {
        #[command(subcommand)]
        what: DrainCommand,
        #[command(flatten)]
        whom: Whom,
    },
    /// How things stand: who leads, who is behind, balancers, evacuated zones, keys.
    Status {
        #[command(flatten)]
        whom: Whom,
    },
}

/// Why a command ended without what it was to do.
struct Ended(u8, String);

impl From<String> for Ended {
    fn from(why: String) -> Self {
        Self(FAILED, why)
    }
}

pub async fn run(operation: &Operation) -> ExitCode {
    let ended = match operation {
        Operation::Config { what, whom } => config(what, whom).await,
        Operation::Drain { what, whom } => drain(what, whom).await,
        Operation::Status { whom } => status::run(whom).await,
    };
    match ended {
        Ok(shown) => {
            println!("{}", shown.trim_end());
            ExitCode::SUCCESS
        }
        Err(Ended(status, why)) => {
            eprintln!("shorefront: {why}");
            ExitCode::from(status)
        }
    }
}

async fn config(what: &ConfigCommand, whom: &Whom) -> Result<String, Ended> {
    match what {
        ConfigCommand::Check { file } => {
            let config = valid(file)?.1;
            let (routes, services) = (config.routes.len(), config.services.len());
            let (file, rev) = (file.display(), config.revision);
            Ok(format!(
                "{file}: good (rev {rev}, {routes} routes, {services} services)"
            ))
        }
        ConfigCommand::Get => {
            let (_, current) = newest(&whom.operator()?).await?;
            let current = current.ok_or("no configuration yet".to_string())?;
            Ok(whom.shown(&current))
        }
        ConfigCommand::Diff { file } => {
            let next = valid(file)?.0;
            let (rev, current) = newest(&whom.operator()?).await?;
            let mut lines = vec![format!("rev {rev} -> {}", next["rev"])];
            lines.extend(difference(&current.unwrap_or_default(), &next));
            Ok(lines.join("\n"))
        }
        ConfigCommand::Replace(change) => changed(whom, "/-/Config.Replace", change).await,
        ConfigCommand::Amend(change) => changed(whom, "/-/Config.Amend", change).await,
    }
}

impl Whom {
    fn addresses(&self) -> Result<Vec<SocketAddr>, Ended> {
        if !self.at.is_empty() {
            return Ok(self.at.clone());
        }
        let settings = Settings::path().and_then(|path| Settings::read(&path));
        let settings = settings.map_err(|e| format!("{e}; or name a balancer with --at"))?;
        let mut all: Vec<SocketAddr> = settings.listen.ctl.into_iter().collect();
        all.extend(
            settings
                .seeds
                .iter()
                .filter(|seed| Some(**seed) != settings.listen.ctl),
        );
        Ok(all)
    }

    fn operator(&self) -> Result<OperatorClient, Ended> {
        let patience = Duration::try_from_secs_f64(self.patience);
        let patience = patience.map_err(|e| format!("--patience {}: {e}", self.patience))?;
        Ok(OperatorClient {
            addresses: self.addresses()?,
            timeout: patience,
        })
    }

    fn shown(&self, value: &Value) -> String {
        match self.output {
            Form::Table => serde_json::to_string_pretty(value).unwrap_or_default(),
            Form::Json => value.to_string(),
        }
    }
}

/// A whole configuration, as it stands in the file and as it is read.
fn valid(file: &Path) -> Result<(Value, Config), Ended> {
    let whole = json(file)?;
    let config = validate(&whole).map_err(|e| format!("{}: {e}", file.display()))?;
    Ok((whole, config))
}

fn json(file: &Path) -> Result<Value, Ended> {
    Ok(text(file)?.1)
}

/// A file's bytes, and the JSON that they are.
fn text(file: &Path) -> Result<(Vec<u8>, Value), Ended> {
    let text = std::fs::read(file).map_err(|e| format!("{}: {e}", file.display()))?;
    let value = serde_json::from_slice(&text);
    let value = value.map_err(|e| format!("{}: not JSON: {e}", file.display()))?;
    Ok((text, value))
}

/// The JSON that answers an order, or why there is none.
async fn asked(operator: &OperatorClient, order: &OperatorRequest) -> Result<Value, Ended> {
    told(&answered(operator, order).await?)
}

async fn answered(
    operator: &OperatorClient,
    order: &OperatorRequest,
) -> Result<Response<Bytes>, Ended> {
    operator
        .call(order)
        .await
        .map_err(|e| Ended(UNCLEAR, e.to_string()))
}

fn told(answer: &Response<Bytes>) -> Result<Value, Ended> {
    let said = String::from_utf8_lossy(answer.body());
    if answer.status().is_success() {
        return serde_json::from_str(&said).map_err(|e| Ended(UNCLEAR, format!("{said}: {e}")));
    }
    let why = serde_json::from_str::<Value>(&said).ok();
    let why = why
        .as_ref()
        .and_then(|v| v["err"].as_str())
        .unwrap_or(&said);
    Err(Ended(
        REFUSED,
        format!("refused ({}): {why}", answer.status().as_u16()),
    ))
}

/// The current version and configuration; version 0 while there is none.
async fn newest(operator: &OperatorClient) -> Result<(u64, Option<Value>), Ended> {
    let answer = answered(operator, &OperatorRequest::get("/-/Config.Read")).await?;
    if answer.status() == StatusCode::NOT_FOUND {
        return Ok((0, None));
    }
    let config = told(&answer)?;
    Ok((config["rev"].as_u64().unwrap_or(0), Some(config)))
}

async fn changed(whom: &Whom, path: &str, change: &Change) -> Result<String, Ended> {
    let operator = whom.operator()?;
    // Sent as it stands in the file: it is known by that when it comes again.
    let (body, _) = text(&change.file)?;
    let base = match change.base {
        Some(base) => base,
        None => newest(&operator).await?.0,
    };
    let taken = asked(
        &operator,
        &OperatorRequest::post(path, Some(base), body.into()),
    )
    .await?;
    Ok(match whom.output {
        Form::Table => format!("version {} is in force, on top of {base}", taken["rev"]),
        Form::Json => taken.to_string(),
    })
}

async fn drain(what: &DrainCommand, whom: &Whom) -> Result<String, Ended> {
    let (call, zone) = match what {
        DrainCommand::Begin { zone } => ("Begin", zone),
        DrainCommand::Finish { zone } => ("Finish", zone),
    };
    let order = OperatorRequest::post(&format!("/-/Drain.{call}/{zone}"), None, Default::default());
    let taken = asked(&whom.operator()?, &order).await?;
    Ok(match whom.output {
        Form::Table => match taken["evacuations"].as_u64() {
            Some(0) => format!("zone {zone} is not evacuated"),
            holds => format!(
                "zone {zone} is evacuated ({} times)",
                holds.unwrap_or_default()
            ),
        },
        Form::Json => taken.to_string(),
    })
}

/// A value without quotes.
fn word(value: &Value) -> String {
    match value {
        Value::Null => "none".into(),
        Value::String(text) => text.clone(),
        other => other.to_string(),
    }
}

fn table<const N: usize>(rows: &[[String; N]]) -> String {
    let mut shown = String::new();
    for row in rows {
        let mut line = String::new();
        for (i, cell) in row.iter().enumerate() {
            let width = rows.iter().map(|r| r[i].chars().count()).max().unwrap_or(0);
            let _ = write!(line, "{cell:width$}  ");
        }
        let _ = writeln!(shown, "{}", line.trim_end());
    }
    shown
}

/// What comes, goes and is other, by list and name; `limits` whole.
fn difference(current: &Value, next: &Value) -> Vec<String> {
    let mut lines = Vec::new();
    for list in ["services", "routes"] {
        let named = |whole: &Value| -> BTreeMap<String, Value> {
            let items = whole[list].as_array().into_iter().flatten();
            items.map(|i| (word(&i["name"]), i.clone())).collect()
        };
        let (old, new) = (named(current), named(next));
        for (name, item) in &new {
            match old.get(name) {
                None => lines.push(format!("+ {list} {name}: {item}")),
                Some(known) if known != item => {
                    lines.push(format!("~ {list} {name}: {}", fields(known, item)));
                }
                Some(_) => {}
            }
        }
        for name in old.keys().filter(|name| !new.contains_key(*name)) {
            lines.push(format!("- {list} {name}"));
        }
    }
    if current["limits"] != next["limits"] {
        lines.push(format!(
            "~ limits: {}",
            fields(&current["limits"], &next["limits"])
        ));
    }
    lines
}

/// The fields in which two items differ.
fn fields(old: &Value, new: &Value) -> String {
    let names = |v: &Value| -> Vec<String> {
        v.as_object()
            .map(|o| o.keys().cloned().collect())
            .unwrap_or_default()
    };
    let mut all = names(old);
    all.extend(names(new).into_iter().filter(|n| old.get(n).is_none()));
    let other = all.iter().filter(|n| old.get(*n) != new.get(*n));
    let said = |v: Option<&Value>| v.map_or("none".to_string(), Value::to_string);
    let lines = other.map(|n| format!("{n} {} -> {}", said(old.get(n)), said(new.get(n))));
    lines.collect::<Vec<_>>().join(", ")
}

#[cfg(test)]
mod tests {
    use serde_json::json;

    use super::*;

    #[test]
    fn a_difference_names_what_comes_goes_and_is_other() {
        let old = json!({"routes": [{"name": "a", "svc": "s", "tries": 2}, {"name": "b"}],
            "services": [{"name": "s"}], "limits": {"max_body_bytes": 1}});
        let new = json!({"routes": [{"name": "a", "svc": "t", "tries": 2}, {"name": "c"}],
            "services": [{"name": "s"}, {"name": "t"}], "limits": {"max_body_bytes": 1}});
        assert_eq!(
            difference(&old, &new),
            [
                "+ services t: {\"name\":\"t\"}",
                "~ routes a: svc \"s\" -> \"t\"",
                "+ routes c: {\"name\":\"c\"}",
                "- routes b"
            ]
        );
        assert_eq!(difference(&new, &new), Vec::<String>::new());
        assert_eq!(
            difference(&Value::Null, &json!({"limits": {"x": 1}})),
            ["~ limits: x none -> 1"]
        );
    }

    #[test]
    fn columns_stand_under_each_other() {
        let rows = [["A", "BB"], ["long", "x"]].map(|r| r.map(String::from));
        assert_eq!(table(&rows), "A     BB\nlong  x\n");
    }
}
