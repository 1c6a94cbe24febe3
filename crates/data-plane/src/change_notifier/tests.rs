//! Order in which watchers wake, and changes that occur while nobody waits.

use std::cell::RefCell;

use tokio::task::{LocalSet, spawn_local, yield_now};

use super::*;

#[tokio::test]
async fn watchers_wake_in_order_and_miss_no_change() {
    let test = async {
        let changes = ChangeNotifier::default();
        let woken: Rc<RefCell<Vec<usize>>> = Rc::default();
        for waiter in 0..20 {
            let (mut watcher, woken) = (changes.watch(), woken.clone());
            spawn_local(async move {
                watcher.changed().await;
                woken.borrow_mut().push(waiter);
            });
        }
        yield_now().await;
        let mut before = changes.watch();
        changes.notify();
        before.changed().await;
        while woken.borrow().len() < 20 {
            yield_now().await;
        }
        assert_eq!(*woken.borrow(), (0..20).collect::<Vec<_>>());
        changes.notify();
        before.mark_all_seen();
        let mut waits = std::pin::pin!(before.changed());
        let now = std::future::poll_fn(|cx| std::task::Poll::Ready(waits.as_mut().poll(cx)));
        assert!(now.await.is_pending(), "the change was marked as seen");
    };
    LocalSet::new().run_until(test).await;
}
