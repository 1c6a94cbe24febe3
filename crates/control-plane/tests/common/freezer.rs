//! Simulates processes that freeze while time goes on: their tasks are kept but not polled.

use std::cell::Cell;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll};

use tokio::sync::{Notify, mpsc};
use tokio::task::{LocalSet, spawn_local};

type Task = Pin<Box<dyn Future<Output = ()>>>;

/// Spawns the tasks of a process and can freeze them.
#[derive(Clone)]
pub(crate) struct Freezer {
    frozen: Rc<Cell<bool>>,
    changed: Rc<Notify>,
    tasks: mpsc::UnboundedSender<Task>,
}

impl Default for Freezer {
    fn default() -> Self {
        Self::new().0
    }
}

impl Freezer {
    /// Returns a freezer and the future that runs its tasks. Dropping the future ends the tasks.
    pub(crate) fn new() -> (Self, impl Future<Output = ()>) {
        let (tasks, mut spawned) = mpsc::unbounded_channel::<Task>();
        let (frozen, changed) = (Rc::new(Cell::new(false)), Rc::new(Notify::new()));
        let set = LocalSet::new();
        set.spawn_local(async move {
            while let Some(task) = spawned.recv().await {
                spawn_local(task);
            }
        });
        let running = RunningTasks {
            set,
            frozen: frozen.clone(),
        };
        let wakes = changed.clone();
        let run = async move {
            tokio::pin!(running);
            loop {
                // A change of `frozen` polls the tasks again, which run unless they are frozen.
                tokio::select! {
                    () = &mut running => return,
                    () = wakes.notified() => {}
                }
            }
        };
        (
            Self {
                frozen,
                changed,
                tasks,
            },
            run,
        )
    }

    pub(crate) fn spawn(&self, task: impl Future<Output = ()> + 'static) {
        let _ = self.tasks.send(Box::pin(task));
    }

    pub(crate) fn freeze(&self, frozen: bool) {
        self.frozen.set(frozen);
        self.changed.notify_waiters();
    }

    /// Waits until the process is not frozen.
    pub(crate) async fn wait_until_running(&self) {
        while self.frozen.get() {
            self.changed.notified().await;
        }
    }
}

struct RunningTasks {
    set: LocalSet,
    frozen: Rc<Cell<bool>>,
}

impl Future for RunningTasks {
    type Output = ();

    fn poll(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<()> {
        if self.frozen.get() {
            Poll::Pending
        } else {
            Pin::new(&mut self.set).poll(context)
        }
    }
}
