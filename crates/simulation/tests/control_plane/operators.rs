//! Operators: configurations that race, evacuations and returns, each retried where its answer was lost; and readers.

use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;

use control_plane::configuration::{Command, CommandOutcome, ReplicatedState};
use control_plane::server::{ControlServer, Indeterminate};
use tokio::time::{Instant, sleep, timeout};

use crate::deployment::Deployment;
use crate::history::{CommandId, History, command_id_of};

/// How long a server may take over a command, as its HTTP interface sets it.
const COMMAND_TIMEOUT: Duration = Duration::from_millis(900);
/// Without an answer for so long, a caller asks another server.
const RESPONSE_TIMEOUT: Duration = Duration::from_millis(1000);
/// A change of the configuration without a definite answer is given up after this.
const CHANGE_TIMEOUT: Duration = Duration::from_secs(20);
/// An evacuation or return is sent for so long, as the protocol has it.
const EVACUATION_TIMEOUT: Duration = Duration::from_millis(6000);
/// Of a hundred answers, so many are lost.
const LOSS_PERCENT: u64 = 15;
/// The zone that is evacuated and returned.
const ZONE: &str = "b";

type CommandResult = Result<CommandOutcome, Indeterminate>;

pub(crate) struct Operators {
    deployment: Rc<Deployment>,
    history: Rc<History>,
    last_command_id: Cell<CommandId>,
}

/// What a caller learns from one call.
enum Response {
    Definite(CommandOutcome),
    /// Another machine leads.
    Redirect(usize),
    None,
}

/// Whether answers are lost on their way to the caller.
#[derive(Clone, Copy, PartialEq)]
enum Losses {
    Random,
    /// The call itself plays what becomes of its answer.
    ByCall,
}

fn replace_command(base: u64, revision: u64, id: CommandId) -> Command {
    let body = format!(
        r#"{{"rev": {revision}, "services": [{{"name": "s"}}], "routes": [{{"name": "r", "host": "h",
            "path_prefix": "/a/", "type": "mutating", "deadline_ms": 100, "target_ms": {id},
            "svc": "s", "tries": 2}}]}}"#
    );
    Command::Replace { base, body }
}

impl Operators {
    pub(crate) fn new(deployment: Rc<Deployment>, history: Rc<History>) -> Rc<Self> {
        let last_command_id = Cell::new(0);
        Rc::new(Self {
            deployment,
            history,
            last_command_id,
        })
    }

    async fn pause(&self, max_ms: u64) {
        let pause_ms = 50 + self.deployment.random_below(max_ms);
        sleep(Duration::from_millis(pause_ms)).await;
    }

    fn random_machine(&self) -> usize {
        let machines = self.deployment.size() as u64;
        self.deployment.random_below(machines) as usize
    }

    /// What comes of a call to one machine.
    async fn call_once(
        &self,
        machine: usize,
        losses: Losses,
        call: impl Future<Output = CommandResult>,
    ) -> Response {
        let result = timeout(RESPONSE_TIMEOUT, self.deployment.run_on(machine, call)).await;
        let is_lost = losses == Losses::Random && self.deployment.random_below(100) < LOSS_PERCENT;
        if is_lost || self.deployment.server(machine).is_none() {
            sleep(RESPONSE_TIMEOUT).await;
            return Response::None;
        }
        match result {
            Ok(Ok(CommandOutcome::Conflict) | Err(Indeterminate::NoMajority)) | Err(_) => {
                Response::None
            }
            Ok(Ok(outcome)) => Response::Definite(outcome),
            Ok(Err(Indeterminate::NotLeader(leader))) => {
                let leader = leader.and_then(|address| self.deployment.machine_at(address));
                self.history.require(leader != Some(machine), || {
                    format!("{machine} redirects to itself")
                });
                leader.map_or(Response::None, Response::Redirect)
            }
        }
    }

    /// Calls one machine after the other, until there is a definite answer. None if there is none in time.
    async fn call<F: Future<Output = CommandResult>>(
        &self,
        losses: Losses,
        time_limit: Duration,
        call: impl Fn(Rc<ControlServer>) -> F,
    ) -> Option<CommandOutcome> {
        let deadline = Instant::now() + time_limit;
        let mut machine = self.random_machine();
        while Instant::now() < deadline {
            let response = match self.deployment.server(machine) {
                Some(server) => self.call_once(machine, losses, call(server)).await,
                None => Response::None,
            };
            match response {
                Response::Definite(outcome) => return Some(outcome),
                Response::Redirect(leader) => machine = leader,
                Response::None => machine = (machine + 1) % self.deployment.size(),
            }
            self.pause(100).await;
        }
        None
    }

    /// An operator who changes the configuration again and again.
    pub(crate) async fn change_configuration(self: Rc<Self>) {
        let mut known_revision = 0;
        loop {
            self.pause(1500).await;
            let id = self.last_command_id.get() + 1;
            self.last_command_id.set(id);
            let revision = known_revision + 1 + self.deployment.random_below(3);
            let command = replace_command(known_revision, revision, id);
            let call = |server: Rc<ControlServer>| {
                let command = command.clone();
                async move { server.submit_command(&command, COMMAND_TIMEOUT).await }
            };
            match self.call(Losses::Random, CHANGE_TIMEOUT, call).await {
                Some(CommandOutcome::Applied | CommandOutcome::AlreadyApplied) => {
                    self.history.on_acknowledged(known_revision, revision, id);
                    known_revision = revision;
                }
                Some(CommandOutcome::RevisionMismatch { current }) => {
                    self.history.on_rejected(id);
                    known_revision = current;
                }
                Some(_) => self.history.on_rejected(id),
                None => {}
            }
        }
    }

    /// The only operator who evacuates the zone, and who returns it after each evacuation: no more than one stands.
    pub(crate) async fn evacuate_and_return(self: Rc<Self>) {
        loop {
            self.pause(3000).await;
            if self.send_zone_command(true).await.is_some() {
                self.check_evacuations(true).await;
            }
            // A zone is also returned where its evacuation was never answered clearly, until that is answered.
            while self.send_zone_command(false).await.is_none() {}
            self.check_evacuations(false).await;
        }
    }

    /// Evacuates the zone, or returns it.
    async fn send_zone_command(&self, is_evacuation: bool) -> Option<CommandOutcome> {
        self.call(Losses::ByCall, EVACUATION_TIMEOUT, |server| async move {
            let mut acknowledgement = server
                .submit_zone_command(ZONE, is_evacuation, COMMAND_TIMEOUT)
                .await?;
            let chance = self.deployment.random_below(100);
            if chance < LOSS_PERCENT {
                // The connection breaks before anything is written.
                return Err(Indeterminate::NoMajority);
            }
            acknowledgement.mark_sent();
            if chance < 2 * LOSS_PERCENT {
                // It breaks while the answer is on its way.
                acknowledgement.mark_connection_broken().await;
                return Err(Indeterminate::NoMajority);
            }
            if is_evacuation && chance < 3 * LOSS_PERCENT {
                // The answer is read, and lost after that.
                acknowledgement.confirm().await;
                return Err(Indeterminate::NoMajority);
            }
            acknowledgement.confirm().await;
            Ok(CommandOutcome::Applied)
        })
        .await
    }

    /// Checks how often the zone counts as evacuated.
    async fn check_evacuations(&self, is_evacuated: bool) {
        let Some(state) = self.read_once().await else {
            return;
        };
        let count = state
            .evacuated_zones()
            .find(|(zone, _)| *zone == ZONE)
            .map_or(0, |(_, count)| count);
        self.history
            .require(count == usize::from(is_evacuated), || {
                format!("evacuated {is_evacuated}, and it counts {count} times")
            });
    }

    async fn read_once(&self) -> Option<ReplicatedState> {
        let machine = self.random_machine();
        // A server without a disk has nothing to read: it points elsewhere.
        let server = self
            .deployment
            .server(machine)
            .filter(|server| server.control_node.has_disk)?;
        let acknowledged = self.history.newest_revision(Instant::now());
        let read = self.deployment.run_on(machine, async {
            let is_current = server.wait_until_current(COMMAND_TIMEOUT).await;
            is_current.then(|| server.replicated_state())
        });
        let state = timeout(RESPONSE_TIMEOUT, read).await.ok()??;
        self.history.on_read(acknowledged, state.revision);
        self.history
            .on_configuration(state.config_index, command_id_of(&state.config));
        Some(state)
    }

    /// Reads from any machine, again and again.
    pub(crate) async fn read(self: Rc<Self>) {
        loop {
            self.pause(400).await;
            self.read_once().await;
        }
    }
}
