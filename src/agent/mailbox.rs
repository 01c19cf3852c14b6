//! An unbounded single-threaded queue for the packets of one flow. An empty
//! queue holds no buffer, which keeps idle flows small; a Tokio channel would
//! keep at least one block of messages allocated.

use std::cell::RefCell;
use std::collections::VecDeque;
use std::rc::Rc;

use tokio::sync::Notify;

/// A queue with any number of senders and one receiver; clones share it.
#[derive(Debug)]
pub struct Mailbox<T>(Rc<Inner<T>>);

#[derive(Debug)]
struct Inner<T> {
    queue: RefCell<VecDeque<T>>,
    available: Notify,
}

impl<T> Clone for Mailbox<T> {
    fn clone(&self) -> Self {
        Self(self.0.clone())
    }
}

impl<T> Default for Mailbox<T> {
    fn default() -> Self {
        Self(Rc::new(Inner { queue: RefCell::default(), available: Notify::new() }))
    }
}

impl<T> Mailbox<T> {
    /// Appends an item and wakes the receiver.
    pub fn send(&self, item: T) {
        self.0.queue.borrow_mut().push_back(item);
        self.0.available.notify_one();
    }

    /// Removes the oldest item, waiting while the queue is empty.
    pub async fn recv(&self) -> T {
        loop {
            if let Some(item) = self.pop() {
                return item;
            }
            self.0.available.notified().await;
        }
    }

    fn pop(&self) -> Option<T> {
        let mut queue = self.0.queue.borrow_mut();
        let item = queue.pop_front();
        if queue.is_empty() {
            queue.shrink_to_fit();
        }
        item
    }
}
