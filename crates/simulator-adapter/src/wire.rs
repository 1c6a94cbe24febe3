//! The simulator's messages in JSON. Input messages borrow from the input line.
//!
//! The names in JSON are the simulator's; the names in the code are the terms of `docs/GLOSSARY.md`. Times are in
//! milliseconds of the simulator's clock.

use std::borrow::Cow;

use arrayvec::ArrayVec;
use load_balancing::settings::SiteSettings;
use serde::{Deserialize, Serialize};

/// A string of the input line; owned only if it contains escapes.
pub(crate) type Text<'a> = Cow<'a, str>;

/// The values of a load report, in the order given by the settings.
pub(crate) type LoadReportRow = ArrayVec<f64, 4>;

/// One line of input: the events of all balancers at one time.
#[derive(Deserialize)]
pub(crate) struct Batch<'a> {
    #[serde(rename = "Ts")]
    pub(crate) time: f64,
    #[serde(rename = "batch")]
    pub(crate) number: u64,
    #[serde(borrow, rename = "msgs")]
    pub(crate) events: Vec<Event<'a>>,
}

/// The number of a batch, for a line that is not a valid batch.
#[derive(Deserialize)]
pub(crate) struct BatchNumber {
    #[serde(rename = "batch")]
    pub(crate) number: u64,
}

/// An event for one balancer.
#[derive(Deserialize)]
pub(crate) enum Event<'a> {
    #[serde(borrow, rename = "Order")]
    Request(Request<'a>),
    #[serde(borrow, rename = "Result")]
    AttemptEnded(AttemptEnded<'a>),
    #[serde(rename = "TimeoutFired")]
    TimerFired(TimerFired),
    #[serde(borrow, rename = "Left")]
    ClientDisconnected(ClientDisconnected<'a>),
    #[serde(borrow)]
    Membership(Membership<'a>),
    #[serde(borrow, rename = "Sampled")]
    ProbeEnded(ProbeEnded<'a>),
    #[serde(borrow, rename = "Established")]
    ResponseStarted(ResponseStarted<'a>),
    /// An informational message that requires no action.
    Memo(Memo),
    /// A balancer starts.
    #[serde(rename = "Init")]
    Start(Box<Start>),
    /// A balancer is killed.
    #[serde(rename = "Down")]
    Stop(Stop),
}

/// A client's request has arrived.
#[derive(Deserialize)]
#[serde(rename_all = "PascalCase")]
pub(crate) struct Request<'a> {
    #[serde(rename = "Who")]
    pub(crate) balancer: u64,
    #[serde(borrow, rename = "Job")]
    pub(crate) name: Text<'a>,
    #[serde(rename = "TierClass")]
    pub(crate) class: usize,
    #[serde(default, rename = "Party")]
    pub(crate) tenant: usize,
    #[serde(borrow, default, rename = "Object")]
    pub(crate) key: Option<Text<'a>>,
    #[serde(rename = "DropDead")]
    pub(crate) deadline: f64,
    #[serde(default, rename = "CostGuess")]
    pub(crate) estimated_work: Option<f64>,
    #[serde(default, rename = "Resent")]
    pub(crate) is_client_retry: bool,
    #[serde(default, rename = "Write")]
    pub(crate) is_write: bool,
}

/// An attempt has ended.
#[derive(Deserialize)]
#[serde(rename_all = "PascalCase")]
pub(crate) struct AttemptEnded<'a> {
    #[serde(rename = "Who")]
    pub(crate) balancer: u64,
    #[serde(borrow, rename = "Job")]
    pub(crate) request: Text<'a>,
    #[serde(rename = "Go")]
    pub(crate) attempt: usize,
    #[serde(borrow)]
    pub(crate) upstream: Text<'a>,
    #[serde(rename = "Rc")]
    pub(crate) status: u16,
    pub(crate) latency: f64,
    #[serde(default)]
    pub(crate) last: bool,
    #[serde(default, rename = "Metrics")]
    pub(crate) load_report: Option<LoadReportRow>,
}

/// A timer that the balancer set is due.
#[derive(Deserialize)]
#[serde(rename_all = "PascalCase")]
pub(crate) struct TimerFired {
    #[serde(rename = "Who")]
    pub(crate) balancer: u64,
    pub(crate) token: u64,
}

/// A client has disconnected.
#[derive(Deserialize)]
pub(crate) struct ClientDisconnected<'a> {
    #[serde(rename = "Who")]
    pub(crate) balancer: u64,
    #[serde(borrow, rename = "Job")]
    pub(crate) request: Text<'a>,
}

/// A response has begun to stream.
#[derive(Deserialize)]
pub(crate) struct ResponseStarted<'a> {
    #[serde(rename = "Who")]
    pub(crate) balancer: u64,
    #[serde(borrow, rename = "Job")]
    pub(crate) request: Text<'a>,
}

/// A health probe has ended.
#[derive(Deserialize)]
#[serde(rename_all = "PascalCase")]
pub(crate) struct ProbeEnded<'a> {
    #[serde(rename = "Who")]
    pub(crate) balancer: u64,
    #[serde(rename = "Rc")]
    pub(crate) status: u16,
    pub(crate) latency: f64,
    #[serde(borrow)]
    pub(crate) upstream: Text<'a>,
    #[serde(default, rename = "Metrics")]
    pub(crate) load_report: Option<LoadReportRow>,
}

/// See [`Event::Memo`].
#[derive(Deserialize)]
pub(crate) struct Memo {
    #[serde(rename = "Who")]
    pub(crate) balancer: u64,
}

/// See [`Event::Stop`].
#[derive(Deserialize)]
pub(crate) struct Stop {
    #[serde(rename = "Who")]
    pub(crate) balancer: u64,
}

/// The list of upstreams, or a change to it.
#[derive(Deserialize)]
#[serde(rename_all = "PascalCase")]
pub(crate) struct Membership<'a> {
    #[serde(rename = "Who")]
    pub(crate) balancer: u64,
    pub(crate) kind: MembershipKind,
    #[serde(borrow, default, rename = "Lines")]
    pub(crate) endpoints: Vec<Endpoint<'a>>,
}

/// Kind of a membership message.
#[derive(Clone, Copy, Deserialize)]
#[serde(rename_all = "lowercase")]
pub(crate) enum MembershipKind {
    Update,
    #[serde(rename = "replace")]
    Complete,
    Restored,
    Unavailable,
}

/// One upstream of a list.
#[derive(Deserialize)]
#[serde(rename_all = "PascalCase")]
pub(crate) struct Endpoint<'a> {
    #[serde(borrow, rename = "Upstream")]
    pub(crate) name: Text<'a>,
    #[serde(default, rename = "Az")]
    pub(crate) zone: u32,
    #[serde(default, rename = "Type")]
    pub(crate) kind: u32,
    #[serde(default, rename = "Pack")]
    pub(crate) cell: u32,
    pub(crate) status: Status,
    #[serde(default = "one", rename = "CapacityHint")]
    pub(crate) weight: f64,
    /// When it last started; 0 if unknown.
    #[serde(default, rename = "OnlineSince")]
    pub(crate) started: f64,
}

fn one() -> f64 {
    1.0
}

/// State of an upstream in the list.
#[derive(Clone, Copy, Deserialize)]
#[serde(rename_all = "lowercase")]
pub(crate) enum Status {
    Live,
    #[serde(rename = "quiescing")]
    Draining,
    #[serde(rename = "dead")]
    Gone,
}

/// A balancer starts, without state from earlier runs.
#[derive(Deserialize)]
pub(crate) struct Start {
    #[serde(rename = "Who")]
    pub(crate) balancer: u64,
    #[serde(rename = "Entropy")]
    pub(crate) seed: u64,
    #[serde(rename = "Facts")]
    pub(crate) settings: SiteSettings,
}

/// A balancer's instruction to the simulator.
#[derive(Serialize)]
pub(crate) enum Command<'a> {
    #[serde(rename = "Relay", rename_all = "PascalCase")]
    Send {
        #[serde(rename = "Who")]
        balancer: u64,
        #[serde(rename = "Job")]
        request: &'a str,
        upstream: &'a str,
        #[serde(rename = "AllowFor")]
        timeout: f64,
    },
    #[serde(rename = "NotNow")]
    Reject {
        #[serde(rename = "Who")]
        balancer: u64,
        #[serde(rename = "Job")]
        request: &'a str,
        #[serde(rename = "CoolDown")]
        retry_after: f64,
    },
    #[serde(rename = "FinishError")]
    Fail {
        #[serde(rename = "Who")]
        balancer: u64,
        #[serde(rename = "Job")]
        request: &'a str,
    },
    #[serde(rename = "Retract")]
    Cancel {
        #[serde(rename = "Who")]
        balancer: u64,
        #[serde(rename = "Job")]
        request: &'a str,
        #[serde(rename = "Go")]
        attempt: usize,
    },
    #[serde(rename = "Arm", rename_all = "PascalCase")]
    SetTimer {
        #[serde(rename = "Who")]
        balancer: u64,
        token: u64,
        #[serde(rename = "Instant")]
        at: f64,
    },
    #[serde(rename = "Ping", rename_all = "PascalCase")]
    Probe {
        #[serde(rename = "Who")]
        balancer: u64,
        upstream: &'a str,
    },
    #[serde(rename = "FreeLinks", rename_all = "PascalCase")]
    CloseIdle {
        #[serde(rename = "Who")]
        balancer: u64,
        upstream: &'a str,
    },
    #[serde(rename = "KeepInformed", rename_all = "PascalCase")]
    Subscribe {
        #[serde(rename = "Who")]
        balancer: u64,
        enable: bool,
    },
}
