//! Connects balancers to the simulator: reads one batch of events per line from standard input, passes the events to
//! the balancers, and writes one line with their commands per batch to standard output.
//!
//! State: one [`Instance`] for each running balancer, in memory only. The adapter ends at the end of its input, or at
//! the first invalid line with a message that names the batch and the field.

mod error;
mod instance;
mod wire;

use std::io::{self, BufRead, Write};
use std::process::ExitCode;

use error::{AdapterError, MessageError};
use instance::Instance;
use load_balancing::interface::Time;
use rustc_hash::FxHashMap;
use wire::{Batch, BatchNumber, Event};

fn main() -> ExitCode {
    match run() {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("simulator-adapter: {error}");
            ExitCode::FAILURE
        }
    }
}

fn run() -> Result<(), AdapterError> {
    let mut input = io::stdin().lock();
    let mut output = io::stdout().lock();
    let mut line = Vec::new();
    let mut reply = Vec::new();
    let mut instances = FxHashMap::default();
    let mut last_batch = None;
    loop {
        line.clear();
        let read = input.read_until(b'\n', &mut line);
        if read.map_err(AdapterError::Input)? == 0 {
            return Ok(());
        }
        if line.trim_ascii().is_empty() {
            continue;
        }
        let batch = parse_batch(&line, last_batch)?;
        last_batch = Some(batch.number);
        reply.clear();
        handle_batch(&mut instances, &batch, &mut reply)?;
        output
            .write_all(&reply)
            .and_then(|()| output.flush())
            .map_err(AdapterError::Output)?;
    }
}

fn parse_batch(line: &[u8], last_batch: Option<u64>) -> Result<Batch<'_>, AdapterError> {
    serde_json::from_slice(line).map_err(|_| malformed_batch(line, last_batch))
}

/// Parses an invalid line again, with a slower parser that tracks the field, to describe the error.
fn malformed_batch(line: &[u8], last_batch: Option<u64>) -> AdapterError {
    let batch = match (serde_json::from_slice::<BatchNumber>(line), last_batch) {
        (Ok(batch), _) => format!("batch {}", batch.number),
        (Err(_), Some(last)) => format!("the batch after {last}"),
        (Err(_), None) => "the first batch".to_string(),
    };
    let mut reader = serde_json::Deserializer::from_slice(line);
    let cause = match serde_path_to_error::deserialize::<_, Batch>(&mut reader) {
        Err(error) if error.path().iter().len() == 0 => error.into_inner().to_string(),
        Err(error) => format!("field `{}`: {}", error.path(), error.inner()),
        Ok(_) => "unexpected data after the batch".to_string(),
    };
    AdapterError::MalformedBatch { batch, cause }
}

/// Passes each event of a batch to its balancer and writes the line that replies to the batch.
fn handle_batch(
    instances: &mut FxHashMap<u64, Instance>,
    batch: &Batch,
    reply: &mut Vec<u8>,
) -> Result<(), AdapterError> {
    write!(reply, "{{\"batch\":{},\"cmds\":[", batch.number).expect("writing to memory can't fail");
    let header_len = reply.len();
    let now = instance::time_from_ms(batch.time);
    for (index, event) in batch.events.iter().enumerate() {
        handle_event(instances, now, event, reply).map_err(|source| AdapterError::Message {
            batch: batch.number,
            index,
            source,
        })?;
    }
    // Each command is followed by a comma; the last one is removed.
    if reply.len() > header_len {
        reply.pop();
    }
    reply.extend_from_slice(b"]}\n");
    Ok(())
}

fn handle_event(
    instances: &mut FxHashMap<u64, Instance>,
    now: Time,
    event: &Event,
    reply: &mut Vec<u8>,
) -> Result<(), MessageError> {
    let balancer = match event {
        Event::Start(start) => {
            instances.insert(start.balancer, Instance::new(now, start)?);
            return Ok(());
        }
        Event::Stop(stop) => {
            instances.remove(&stop.balancer);
            return Ok(());
        }
        Event::Request(message) => message.balancer,
        Event::AttemptEnded(message) => message.balancer,
        Event::TimerFired(message) => message.balancer,
        Event::ClientDisconnected(message) => message.balancer,
        Event::Membership(message) => message.balancer,
        Event::ProbeEnded(message) => message.balancer,
        Event::ResponseStarted(message) => message.balancer,
        Event::Memo(message) => message.balancer,
    };
    // Events for a balancer that is not running are ignored.
    let Some(instance) = instances.get_mut(&balancer) else {
        return Ok(());
    };
    match event {
        Event::Request(message) => instance.on_request(now, message, reply)?,
        Event::AttemptEnded(message) => instance.on_attempt_ended(now, message, reply)?,
        Event::TimerFired(message) => instance.on_timer_fired(now, message.token, reply),
        Event::ClientDisconnected(message) => {
            instance.on_client_disconnected(now, &message.request, reply);
        }
        Event::Membership(message) => instance.on_membership(now, message, reply),
        Event::ProbeEnded(message) => instance.on_probe_ended(now, message, reply),
        Event::ResponseStarted(message) => {
            instance.on_response_started(now, &message.request, reply);
        }
        Event::Memo(_) | Event::Start(_) | Event::Stop(_) => {}
    }
    Ok(())
}
