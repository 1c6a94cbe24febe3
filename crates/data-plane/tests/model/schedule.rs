//! Strategies that generate schedules: calls to two upstreams, and what the upstreams do with each of them.

use hyper::Method;
use proptest::collection::vec;
use proptest::prelude::*;

use crate::scripted_upstream::{
    Behaviour, Echo, End, Framing, LARGE_BODY_BYTES, ScriptedResponse, Step, Writes,
};

/// Number of ids that are used again and again; the others rarely repeat.
const REUSED_IDS: usize = 3;
const ALL_IDS: usize = 10_000;
/// A body that fills the buffers between balancer and upstream, so that writing it has to wait.
const SLOW_BODY_BYTES: usize = 3 << 20;
/// An upstream that begins its work early has read fewer bytes of the body than this.
const EARLY_START_BYTES: usize = 200_000;
const MAX_CALLS: usize = 7;

/// Unsolicited bytes that do not form a response to any request.
const GARBAGE: [&[u8]; 8] = [
    b"\r\n",
    b"0\r\n\r\n",
    b"HTTP/1.1 2",
    b"noise\r\n\r\n",
    b"\x16\x03\x01",
    b"HTTP/1.1 200 OK\r\n\r\n",
    b"HTTP/1.1 404 Not Found\r\n\r\n",
    b"HTTP/1.1 503 Busy\r\nNot-Run: 1\r\nContent-Length: 0\r\n\r\n",
];

/// One attempt at an upstream.
#[derive(Clone, Debug)]
pub(crate) struct Call {
    pub upstream: usize,
    pub id: usize,
    pub method: Method,
    pub body: usize,
    pub behaviour: Behaviour,
    /// A new incarnation of the upstream starts before the call.
    pub restarts_upstream: bool,
    /// The call names the incarnation before the current one.
    pub to_former_incarnation: bool,
    /// The client has disconnected before the request is sent.
    pub is_abandoned: bool,
    /// The client disconnects once the request has reached the upstream.
    pub disconnects: bool,
    /// The call runs concurrently with the one before it.
    pub is_concurrent: bool,
    /// The next call begins only after delayed steps were executed.
    pub flushes_delayed: bool,
}

#[derive(Clone, Debug)]
pub(crate) struct Schedule {
    pub calls: Vec<Call>,
}

pub(crate) fn id(number: usize) -> String {
    format!("id-{number}")
}

fn percent(percentage: u32) -> impl Strategy<Value = bool> {
    prop::bool::weighted(f64::from(percentage) / 100.0)
}

fn body() -> impl Strategy<Value = usize> {
    prop_oneof![6 => 0..40usize, 3 => 40..9000usize, 1 => 9000..200_000usize]
}

fn writes() -> impl Strategy<Value = Writes> {
    prop_oneof![
        4 => Just(Writes::One),
        3 => (1..1000u16).prop_map(Writes::SplitAt),
        1 => Just(Writes::EachByte),
    ]
}

fn framing() -> impl Strategy<Value = Framing> {
    prop_oneof![
        4 => Just(Framing::Length),
        1 => Just(Framing::SameLengthTwice),
        2 => Just(Framing::Chunked),
        1 => Just(Framing::Trailers),
        2 => Just(Framing::Close),
        1 => Just(Framing::TwoLengths),
        1 => Just(Framing::LengthAndChunked),
    ]
}

fn echo() -> impl Strategy<Value = Echo> {
    prop_oneof![
        12 => Just(Echo::Own),
        3 => Just(Echo::Missing),
        1 => (0..REUSED_IDS).prop_map(|other| Echo::OwnThen(id(other))),
        1 => (0..REUSED_IDS).prop_map(|other| Echo::OwnAfter(id(other))),
    ]
}

/// The status of a response, and whether it claims that the request was not run.
fn status_and_claim() -> impl Strategy<Value = (u16, bool)> {
    prop_oneof![
        10 => Just((200, false)),
        2 => prop::sample::select(vec![(201, false), (204, false), (304, false), (404, false)]),
        3 => prop::sample::select(vec![(500, false), (503, false), (429, false), (408, false)]),
        2 => prop::sample::select(vec![(500, true), (200, true), (404, true)]),
        4 => prop::sample::select(vec![(503, true), (429, true), (400, true), (421, true)]),
        1 => Just((421, false)),
    ]
}

/// Whether an upstream that responds with this status and claim has run the request.
fn implies_run((status, not_run): (u16, bool)) -> bool {
    !(not_run && [503, 429, 421, 400].contains(&status))
}

/// A response that names its request and has a definite end.
fn unambiguous_response() -> impl Strategy<Value = ScriptedResponse> {
    let framing = prop::sample::select(vec![Framing::Length, Framing::Chunked, Framing::Trailers]);
    (status_and_claim(), framing, body(), writes(), percent(5)).prop_map(
        |((status, not_run), framing, body, writes, closes)| {
            let body = if matches!(writes, Writes::EachByte) {
                body.min(20)
            } else {
                body
            };
            let framing = if [204, 304].contains(&status) {
                Framing::Length
            } else {
                framing
            };
            ScriptedResponse {
                not_run,
                framing,
                writes,
                closes,
                ..ScriptedResponse::new(status, body)
            }
        },
    )
}

fn any_response() -> impl Strategy<Value = ScriptedResponse> {
    let cut = prop::option::weighted(0.2, 0..1000u16);
    let trailing = prop::option::weighted(0.2, prop::sample::select(GARBAGE.to_vec()));
    (
        unambiguous_response(),
        framing(),
        echo(),
        percent(10),
        percent(15),
        cut,
        trailing,
    )
        .prop_map(
            |(response, framing, echo, http10, unsealed, cut, trailing)| {
                let writes = match trailing {
                    Some(more) if cut.is_none() && framing != Framing::Close => {
                        Writes::WithTrailing(more)
                    }
                    _ => response.writes.clone(),
                };
                // HTTP/1.0 has no chunked transfer coding.
                let http10 = http10 && [Framing::Length, Framing::Close].contains(&framing);
                ScriptedResponse {
                    framing,
                    echo,
                    http10,
                    sealed: !unsealed,
                    cut,
                    writes,
                    ..response
                }
            },
        )
}

fn garbage() -> impl Strategy<Value = Step> {
    prop::sample::select(GARBAGE.to_vec()).prop_map(|bytes| Step::Garbage(bytes.to_vec()))
}

fn surplus(response: impl Strategy<Value = ScriptedResponse>) -> impl Strategy<Value = Step> {
    let back = prop_oneof![3 => Just(0), 3 => Just(1), 2 => 2..5usize];
    (back, response).prop_map(|(back, response)| Step::Surplus { back, response })
}

/// A step that can't confuse a balancer that matches responses by id.
fn harmless_step() -> impl Strategy<Value = Step> {
    prop_oneof![
        3 => surplus(unambiguous_response()),
        1 => Just(Step::Interim(103)),
        1 => Just(Step::Interim(100)),
    ]
}

fn any_step() -> impl Strategy<Value = Step> {
    prop_oneof![2 => harmless_step(), 3 => surplus(any_response()), 2 => garbage(), 1 => Just(Step::AfterCall)]
}

fn end() -> impl Strategy<Value = End> {
    prop_oneof![
        6 => Just(End::Keep),
        2 => Just(End::Close),
        2 => Just(End::Reset),
        1 => Just(End::HalfClose),
        1 => Just(End::Silent),
    ]
}

fn plain_behaviour() -> impl Strategy<Value = Behaviour> {
    unambiguous_response().prop_map(|response| {
        let runs = implies_run((response.status, response.not_run));
        Behaviour {
            runs,
            ..Behaviour::respond_with(response)
        }
    })
}

/// An unambiguous response among surplus ones: before it, after it, and delayed.
fn behaviour_with_surplus() -> impl Strategy<Value = Behaviour> {
    (
        plain_behaviour(),
        vec(harmless_step(), 0..2),
        vec(harmless_step(), 0..2),
        vec(surplus(unambiguous_response()), 0..3),
    )
        .prop_map(|(plain, before_body, before, late)| {
            // No surplus response to this request may precede its own.
            let is_not_own_surplus = |step: &Step| !matches!(step, Step::Surplus { back: 0, .. });
            let mut steps: Vec<Step> = before.into_iter().filter(is_not_own_surplus).collect();
            steps.extend(plain.steps);
            if !late.is_empty() {
                steps.push(Step::AfterCall);
            }
            steps.extend(late);
            let before_body = before_body.into_iter().filter(is_not_own_surplus).collect();
            Behaviour {
                before_body,
                steps,
                ..plain
            }
        })
}

/// Any other behaviour: truncated or garbled responses, resets, silence, and responses before the request is complete.
fn faulty_behaviour() -> impl Strategy<Value = Behaviour> {
    let own = prop::option::weighted(0.8, any_response());
    let around = (vec(any_step(), 0..2), vec(any_step(), 0..3));
    (own, around, percent(20), percent(70), percent(60), end()).prop_map(
        |(own, (before, after), before_body, reads_body, ran, end)| {
            // A surplus response to this request must not precede its own.
            let is_allowed_first =
                |step: &Step| !matches!(step, Step::Surplus { back: 0, .. } | Step::AfterCall);
            let mut steps: Vec<Step> = before.into_iter().filter(is_allowed_first).collect();
            // An upstream may begin its work before it has read the whole request, whether that shows or not.
            let runs = own
                .as_ref()
                .map_or(ran, |o| implies_run((o.status, o.not_run)));
            let cut = own.as_ref().is_some_and(|o| o.cut.is_some());
            let close = own.as_ref().is_some_and(|o| o.framing == Framing::Close);
            let answered = own.is_some();
            steps.extend(own.map(Step::Respond));
            // Whatever follows a truncated response would be read as the rest of it.
            if !cut && !close && answered {
                steps.extend(after);
            }
            let resets_instead = end == End::Keep && (cut || close || !answered || !reads_body);
            let end = if resets_instead { End::Reset } else { end };
            // The steps are executed either right after the request's head or once its body was read or skipped.
            let (before_body, steps) = if before_body {
                (steps, Vec::new())
            } else {
                (Vec::new(), steps)
            };
            let reads_body = reads_body && (before_body.is_empty() || !cut);
            Behaviour {
                before_body,
                reads_body,
                runs,
                steps,
                end,
            }
        },
    )
}

fn behaviour() -> impl Strategy<Value = Behaviour> {
    prop_oneof![5 => plain_behaviour(), 4 => behaviour_with_surplus(), 6 => faulty_behaviour()]
}

fn call() -> impl Strategy<Value = Call> {
    let request = prop_oneof![
        50 => Just((Method::GET, 0)),
        10 => Just((Method::HEAD, 0)),
        30 => (0..3000usize).prop_map(|body| (Method::POST, body)),
        2 => Just((Method::POST, SLOW_BODY_BYTES)),
        1 => Just((Method::POST, LARGE_BODY_BYTES)),
    ];
    let flags = (
        percent(4),
        percent(30),
        percent(3),
        percent(4),
        percent(15),
        percent(70),
    );
    let id = prop_oneof![1 => 0..REUSED_IDS, 2 => REUSED_IDS..ALL_IDS];
    (percent(25), id, request, behaviour(), flags).prop_map(
        |(second, id, (method, body), behaviour, flags)| {
            let (
                restarts_upstream,
                to_former_incarnation,
                is_abandoned,
                disconnects,
                is_concurrent,
                flushes_delayed,
            ) = flags;
            let upstream = usize::from(second);
            // Surplus responses while the request is being written need a request that takes long to write.
            let has_surplus = behaviour
                .before_body
                .iter()
                .any(|step| matches!(step, Step::Surplus { .. }));
            let body = if has_surplus && body > 0 {
                body.max(SLOW_BODY_BYTES)
            } else {
                body
            };
            Call {
                upstream,
                id,
                method,
                body,
                behaviour,
                restarts_upstream,
                to_former_incarnation,
                is_abandoned,
                disconnects,
                is_concurrent,
                flushes_delayed,
            }
        },
    )
}

/// What an upstream does with a request of which it has read only a part.
#[derive(Clone, Copy, Debug)]
struct PartialRead {
    /// After how many bytes of the body it begins its work, if it does so before it has read the whole body.
    begins_work_after: Option<usize>,
    /// Whether it stops reading where it would otherwise read without responding.
    stops_reading: bool,
    /// Whether a body that it leaves unread is too large to be sent all the same.
    has_large_body: bool,
}

impl PartialRead {
    fn apply(self, call: &mut Call) {
        let behaviour = &mut call.behaviour;
        let work = self.begins_work_after.filter(|_| behaviour.runs);
        behaviour
            .before_body
            .splice(0..0, work.map(Step::BeginWork));
        if self.stops_reading && behaviour.end == End::Silent {
            behaviour.end = End::Unread;
        }
        if self.has_large_body && call.body > 0 && !behaviour.reads_body {
            call.body = LARGE_BODY_BYTES;
        }
    }
}

fn partial_read() -> impl Strategy<Value = PartialRead> {
    let bytes = prop_oneof![1 => Just(0), 2 => 1..9000usize, 2 => 9000..EARLY_START_BYTES];
    (prop::option::weighted(0.3, bytes), percent(50), percent(50)).prop_map(
        |(begins_work_after, stops_reading, has_large_body)| PartialRead {
            begins_work_after,
            stops_reading,
            has_large_body,
        },
    )
}

pub(crate) fn schedule() -> impl Strategy<Value = Schedule> {
    // The calls are drawn first, so that a seed yields the same calls whatever is added to them.
    let partial_reads = vec(partial_read(), MAX_CALLS);
    (vec(call(), 1..=MAX_CALLS), partial_reads).prop_map(|(mut calls, partial_reads)| {
        for (call, partial_read) in calls.iter_mut().zip(partial_reads) {
            partial_read.apply(call);
        }
        Schedule { calls }
    })
}
