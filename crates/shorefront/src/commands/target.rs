//! Selects the control balancers to call, and reads and formats their responses.

use std::net::SocketAddr;
use std::time::Duration;

use clap::{Args, ValueEnum};
use control_plane::operator_client::{
    Bytes, OperatorClient, OperatorRequest, Response, StatusCode,
};
use protocol::settings::Settings;
use serde_json::Value;

use super::error::CommandError;

#[derive(Args)]
pub(crate) struct Target {
    /// The `ctl` address of a control balancer; may be given several times. Left out: those that the settings
    /// file named by SHOREFRONT_SETTINGS tells.
    #[arg(long, global = true, value_name = "IP:PORT")]
    at: Vec<SocketAddr>,
    /// An order without a clear answer is sent again for so long.
    #[arg(long, global = true, value_name = "SECONDS", default_value_t = 6.0)]
    patience: f64,
    #[arg(long, global = true, value_enum, default_value_t = OutputFormat::Table)]
    pub(crate) output: OutputFormat,
}

#[derive(Clone, Copy, ValueEnum)]
pub(crate) enum OutputFormat {
    /// For people.
    Table,
    /// As it was answered.
    Json,
}

impl Target {
    /// Returns the addresses to call: those given on the command line, otherwise those in the settings file.
    fn addresses(&self) -> Result<Vec<SocketAddr>, CommandError> {
        if !self.at.is_empty() {
            return Ok(self.at.clone());
        }
        let settings = Settings::read(&Settings::path()?)?;
        let own = settings.listen.ctl;
        let seeds = settings.seeds.iter().copied();
        let others = seeds.filter(|seed| Some(*seed) != own);
        Ok(own.into_iter().chain(others).collect())
    }

    /// Returns a client that calls these control balancers.
    pub(crate) fn client(&self) -> Result<OperatorClient, CommandError> {
        let timeout = Duration::try_from_secs_f64(self.patience).map_err(|source| {
            CommandError::InvalidPatience {
                seconds: self.patience,
                source,
            }
        })?;
        Ok(OperatorClient {
            addresses: self.addresses()?,
            timeout,
        })
    }

    /// Formats a document in the requested output format.
    pub(crate) fn format(&self, value: &Value) -> String {
        match self.output {
            OutputFormat::Table => serde_json::to_string_pretty(value).unwrap_or_default(),
            OutputFormat::Json => value.to_string(),
        }
    }
}

/// Sends a request, and returns the JSON body of the response if that reports success.
pub(crate) async fn call(
    client: &OperatorClient,
    request: &OperatorRequest,
) -> Result<Value, CommandError> {
    read_response(&client.call(request).await?)
}

fn read_response(response: &Response<Bytes>) -> Result<Value, CommandError> {
    let body = String::from_utf8_lossy(response.body()).into_owned();
    if response.status().is_success() {
        return serde_json::from_str(&body)
            .map_err(|source| CommandError::UnreadableResponse { body, source });
    }
    let document = serde_json::from_str::<Value>(&body).ok();
    let reason = document.and_then(|document| document["err"].as_str().map(str::to_string));
    Err(CommandError::Refused {
        status: response.status().as_u16(),
        reason: reason.unwrap_or(body),
    })
}

/// The newest configuration and its revision.
#[derive(Default)]
pub(crate) struct CurrentConfig {
    /// 0 while there is no configuration.
    pub(crate) revision: u64,
    pub(crate) config: Option<Value>,
}

/// Reads the newest configuration, as a majority of the control balancers confirms it.
pub(crate) async fn read_current_config(
    client: &OperatorClient,
) -> Result<CurrentConfig, CommandError> {
    let response = client.call(&OperatorRequest::get("/-/Config.Read")).await?;
    if response.status() == StatusCode::NOT_FOUND {
        return Ok(CurrentConfig::default());
    }
    let config = read_response(&response)?;
    Ok(CurrentConfig {
        revision: config["rev"].as_u64().unwrap_or(0),
        config: Some(config),
    })
}
