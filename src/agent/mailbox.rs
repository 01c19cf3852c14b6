//! A flow's queue of packets inside one thread: a flow waits for most of its
//! life, so an empty queue holds no buffer (a channel's first block alone
//! would be larger than the rest of the flow).

use std::cell::RefCell;
use std::collections::VecDeque;
use std::rc::Rc;

use tokio::sync::Notify;

/// A queue with any number of writers and one reader.
#[derive(Debug)]
pub struct Mailbox<T>(Rc<Inner<T>>);

#[derive(Debug)]
struct Inner<T> {
    queue: RefCell<VecDeque<T>>,
    news: Notify,
}

impl<T> Clone for Mailbox<T> {
    fn clone(&self) -> Self {
        Self(self.0.clone())
    }
}

impl<T> Default for Mailbox<T> {
    fn default() -> Self {
        Self(Rc::new(Inner { queue: RefCell::default(), news: Notify::new() }))
    }
}

impl<T> Mailbox<T> {
    /// Puts one in.
    pub fn send(&self, item: T) {
        self.0.queue.borrow_mut().push_back(item);
        self.0.news.notify_one();
    }

    /// Takes the oldest out, waiting for one if there is none.
    pub async fn recv(&self) -> T {
        loop {
            if let Some(item) = self.pop() {
                return item;
            }
            self.0.news.notified().await;
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
