//! Operators at real cells: configurations that race, evacuations and returns, each repeated where its answer
//! was lost; and readers.

use std::cell::Cell as Plain;
use std::rc::Rc;
use std::time::Duration;

use control_plane::configuration::{Command, CommandOutcome};
use control_plane::server::Indeterminate;
use tokio::time::{Instant, sleep, timeout};

use crate::history::{History, Mark, mark_of};
use crate::net::Net;

/// As the interface and its caller set them.
const ORDER: Duration = Duration::from_millis(900);
const SILENCE: Duration = Duration::from_millis(1000);
/// A change without a clear answer is left after this.
const PATIENCE: Duration = Duration::from_secs(20);
/// An order of a zone is sent for so long, as the protocol has it.
const ACK: Duration = Duration::from_millis(6000);
/// Of a hundred answers, so many are lost.
const LOST: u64 = 15;

pub struct Operators {
    net: Rc<Net>,
    history: Rc<History>,
    marks: Plain<Mark>,
    /// While this holds, new orders are given.
    pub busy: Plain<bool>,
    /// How often the zone was evacuated by an order that was heard, less the returns.
    pub idle: Plain<u32>,
}

enum Heard {
    Clear(CommandOutcome),
    Elsewhere(usize),
    Nothing,
}

fn change(base: u64, rev: u64, mark: Mark) -> Command {
    let body = format!(
        r#"{{"rev": {rev}, "services": [{{"name": "s"}}], "routes": [{{"name": "r", "host": "h",
            "path_prefix": "/a/", "type": "mutating", "deadline_ms": 100, "target_ms": {mark},
            "svc": "s", "tries": 2}}]}}"#
    );
    Command::Replace { base, body }
}

impl Operators {
    pub fn new(net: Rc<Net>, history: Rc<History>) -> Rc<Self> {
        let (marks, busy, idle) = (Plain::new(0), Plain::new(true), Plain::new(0));
        Rc::new(Self {
            net,
            history,
            marks,
            busy,
            idle,
        })
    }

    async fn pause(&self, most: u64) {
        sleep(Duration::from_millis(50 + self.net.below(most))).await;
    }

    /// What comes of a call to one machine; `loses`: its answer may be lost on the way.
    async fn heard(
        &self,
        at: usize,
        loses: bool,
        call: impl Future<Output = Result<CommandOutcome, Indeterminate>>,
    ) -> Heard {
        let answer = timeout(SILENCE, self.net.on(at, call)).await;
        if loses && self.net.below(100) < LOST || self.net.cell(at).is_none() {
            sleep(SILENCE).await;
            return Heard::Nothing;
        }
        match answer {
            Ok(Ok(CommandOutcome::Conflict)) | Ok(Err(Indeterminate::NoMajority)) | Err(_) => {
                Heard::Nothing
            }
            Ok(Ok(verdict)) => Heard::Clear(verdict),
            Ok(Err(Indeterminate::NotLeader(leader))) => {
                let place = leader.and_then(|l| self.net.place(l));
                self.history
                    .require(place != Some(at), || format!("{at} redirects to itself"));
                place.map_or(Heard::Nothing, Heard::Elsewhere)
            }
            #[allow(unreachable_patterns)]
            _ => Heard::Nothing,
        }
    }

    /// Gives an order until its answer is clear.
    async fn insist<F: Future<Output = Result<CommandOutcome, Indeterminate>>>(
        &self,
        loses: bool,
        patience: Duration,
        call: impl Fn(Rc<control_plane::server::ControlServer>) -> F,
    ) -> Option<CommandOutcome> {
        let until = Instant::now() + patience;
        let mut at = self.net.below(self.net.size() as u64) as usize;
        while Instant::now() < until {
            let heard = match self.net.cell(at) {
                Some(cell) => self.heard(at, loses, call(cell)).await,
                None => Heard::Nothing,
            };
            match heard {
                Heard::Clear(verdict) => return Some(verdict),
                Heard::Elsewhere(leader) => at = leader,
                Heard::Nothing => at = (at + 1) % self.net.size(),
            }
            self.pause(100).await;
        }
        None
    }

    /// One who changes the configuration.
    pub async fn configure(self: Rc<Self>) {
        let mut known = 0;
        loop {
            self.pause(1500).await;
            if !self.busy.get() {
                continue;
            }
            self.marks.set(self.marks.get() + 1);
            let (mark, rev) = (self.marks.get(), known + 1 + self.net.below(3));
            let command = change(known, rev, mark);
            let call = |cell: Rc<control_plane::server::ControlServer>| {
                let command = command.clone();
                async move { cell.submit_command(&command, ORDER).await }
            };
            match self.insist(true, PATIENCE, call).await {
                Some(CommandOutcome::Applied | CommandOutcome::AlreadyApplied) => {
                    self.history.acknowledged(known, rev, mark);
                    known = rev;
                }
                Some(CommandOutcome::RevisionMismatch { current }) => {
                    self.history.refused(mark);
                    known = current;
                }
                Some(_) => self.history.refused(mark),
                None => {}
            }
        }
    }

    /// The only one who evacuates a zone, and takes each evacuation back: never more than one stands.
    pub async fn evacuate(self: Rc<Self>) {
        loop {
            self.pause(3000).await;
            if !self.busy.get() {
                self.idle.set(1);
                continue;
            }
            self.idle.set(0);
            if self.drain(true).await.is_some() {
                self.judge(true).await;
            }
            // A zone is returned also where its evacuation was never answered clearly, until that is answered.
            while self.drain(false).await.is_none() {}
            self.judge(false).await;
        }
    }

    async fn drain(&self, begin: bool) -> Option<CommandOutcome> {
        self.insist(false, ACK, |cell| async move {
            let mut acknowledgement = cell.submit_zone_command("b", begin, ORDER).await?;
            let chance = self.net.below(100);
            if chance < LOST {
                // Its connection breaks before anything is written.
                return Err(Indeterminate::NoMajority);
            }
            acknowledgement.mark_sent();
            if chance < 2 * LOST {
                // It breaks on the way.
                acknowledgement.mark_connection_broken().await;
                return Err(Indeterminate::NoMajority);
            }
            if begin && chance < 3 * LOST {
                // It is read and lost after that.
                acknowledgement.confirm().await;
                return Err(Indeterminate::NoMajority);
            }
            acknowledgement.confirm().await;
            Ok(CommandOutcome::Applied)
        })
        .await
    }

    async fn judge(&self, begin: bool) {
        let Some(agreed) = self.read_once().await else {
            return;
        };
        let holds = agreed
            .evacuated_zones()
            .find(|(zone, _)| *zone == "b")
            .map_or(0, |(_, holds)| holds);
        self.history.require(holds == usize::from(begin), || {
            format!("evacuated {begin}, and it counts {holds} times")
        });
    }

    async fn read_once(&self) -> Option<control_plane::configuration::ReplicatedState> {
        let at = self.net.below(self.net.size() as u64) as usize;
        // One without a disk has nothing to read: it points elsewhere.
        let cell = self
            .net
            .cell(at)
            .filter(|cell| cell.control_node.has_disk)?;
        let floor = self.history.newest(Instant::now());
        let read = self.net.on(at, async {
            let confirmed = cell.wait_until_current(ORDER).await;
            confirmed.then(|| cell.replicated_state())
        });
        let agreed = timeout(SILENCE, read).await.ok()??;
        self.history.read(floor, agreed.revision);
        self.history
            .in_force(agreed.config_index, mark_of(&agreed.config));
        Some(agreed)
    }

    /// One who reads, anywhere.
    pub async fn read(self: Rc<Self>) {
        loop {
            self.pause(400).await;
            self.read_once().await;
        }
    }
}
