//! Clients of the control servers: operators that send conflicting configurations, an operator that evacuates a
//! zone and returns it to service, each retrying when a response is lost, and readers.

use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;

use control_plane::configuration::{Command, CommandOutcome, ReplicatedState};
use control_plane::server::{ControlServer, Indeterminate};
use tokio::time::{Instant, sleep, timeout};

use crate::deployment::Deployment;
use crate::history::{CommandId, History, command_id_of};

/// How long a server may work on a command, as set by its HTTP interface.
const COMMAND_TIMEOUT: Duration = Duration::from_millis(900);
/// How long a caller waits for a response before it calls another server.
const RESPONSE_TIMEOUT: Duration = Duration::from_millis(1000);
/// A configuration change without a definite response is abandoned after this time.
const CHANGE_TIMEOUT: Duration = Duration::from_secs(20);
/// How long an evacuation or a return to service is retried, as the protocol specifies.
const EVACUATION_TIMEOUT: Duration = Duration::from_millis(6000);
/// The percentage of responses that are lost.
const LOSS_PERCENT: u64 = 15;
/// The zone that is evacuated and returned to service.
const ZONE: &str = "b";

type CommandResult = Result<CommandOutcome, Indeterminate>;

/// The clients, which all use the same deployment and history.
pub(crate) struct Operators {
    deployment: Rc<Deployment>,
    history: Rc<History>,
    last_command_id: Cell<CommandId>,
}

/// The result of one call, as seen by the caller.
enum Response {
    Definite(CommandOutcome),
    /// Another machine is the leader.
    Redirect(usize),
    /// No response, or no definite one.
    None,
}

/// How responses are lost on their way to the caller.
#[derive(Clone, Copy, PartialEq)]
enum Losses {
    /// Responses are lost at random.
    Random,
    /// The call itself simulates lost responses.
    ByCall,
}

/// Returns the command that replaces the configuration of revision `base`.
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

    /// Waits for a random time.
    async fn pause(&self, max_ms: u64) {
        let pause_ms = 50 + self.deployment.random_below(max_ms);
        sleep(Duration::from_millis(pause_ms)).await;
    }

    fn random_machine(&self) -> usize {
        let machines = self.deployment.size() as u64;
        self.deployment.random_below(machines) as usize
    }

    /// Makes a call to one machine.
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
                    format!("machine {machine} redirects to itself")
                });
                leader.map_or(Response::None, Response::Redirect)
            }
        }
    }

    /// Calls one machine after the other until there is a definite response. Returns `None` if there is none in time.
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

    /// Repeatedly changes the configuration.
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

    /// Repeatedly evacuates the zone and returns it to service. Only one operator does this, so there is never more
    /// than one evacuation in effect.
    pub(crate) async fn evacuate_and_return(self: Rc<Self>) {
        loop {
            self.pause(3000).await;
            if self.send_zone_command(true).await.is_some() {
                self.check_evacuations(true).await;
            }
            // The zone is also returned to service if the evacuation had no definite response, and this is retried
            // until there is one.
            while self.send_zone_command(false).await.is_none() {}
            self.check_evacuations(false).await;
        }
    }

    /// Evacuates the zone or returns it to service. Returns `None` if there is no definite response in time.
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
                // The connection breaks while the response is being sent.
                acknowledgement.mark_connection_broken().await;
                return Err(Indeterminate::NoMajority);
            }
            if is_evacuation && chance < 3 * LOSS_PERCENT {
                // The response is delivered, but the caller loses it afterwards.
                acknowledgement.confirm().await;
                return Err(Indeterminate::NoMajority);
            }
            acknowledgement.confirm().await;
            Ok(CommandOutcome::Applied)
        })
        .await
    }

    /// Checks that the zone counts as evacuated once or not at all.
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
                format!(
                    "expected evacuated = {is_evacuated}, but the zone counts {count} evacuations"
                )
            });
    }

    /// Reads the replicated state from a random machine, and checks it.
    async fn read_once(&self) -> Option<ReplicatedState> {
        let machine = self.random_machine();
        // A server without a disk has no replicated state and redirects reads.
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

    /// Repeatedly reads from random machines.
    pub(crate) async fn read(self: Rc<Self>) {
        loop {
            self.pause(400).await;
            self.read_once().await;
        }
    }
}
