//! Pausing of machines: the tasks of a paused machine are not polled.

use std::cell::{Cell, RefCell};
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll, Waker};

/// Pauses and resumes a machine. Holds the wakers of tasks that were polled during a pause.
#[derive(Default)]
pub(crate) struct PauseSwitch {
    is_paused: Cell<bool>,
    wakers: RefCell<Vec<Waker>>,
}

impl PauseSwitch {
    pub(crate) fn is_paused(&self) -> bool {
        self.is_paused.get()
    }

    pub(crate) fn pause(&self) {
        self.is_paused.set(true);
    }

    pub(crate) fn resume(&self) {
        self.is_paused.set(false);
        self.wakers.take().into_iter().for_each(Waker::wake);
    }
}

/// A task of a machine, which makes progress only while the machine is not paused.
pub(crate) struct Pausable<F> {
    switch: Rc<PauseSwitch>,
    task: Pin<Box<F>>,
}

impl<F: Future> Pausable<F> {
    pub(crate) fn new(switch: Rc<PauseSwitch>, task: F) -> Self {
        let task = Box::pin(task);
        Self { switch, task }
    }
}

impl<F: Future> Future for Pausable<F> {
    type Output = F::Output;

    fn poll(mut self: Pin<&mut Self>, context: &mut Context) -> Poll<F::Output> {
        if self.switch.is_paused() {
            self.switch
                .wakers
                .borrow_mut()
                .push(context.waker().clone());
            return Poll::Pending;
        }
        self.task.as_mut().poll(context)
    }
}
