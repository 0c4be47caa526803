use async_channel::{Receiver, Sender, TrySendError};
use async_std::task;
use hollyhook_core::{Error, ErrorKind, Name};

/// The sending end of a bounded channel of messages to a service.
#[derive(Debug)]
pub struct Mailbox<M> {
    name: Name,
    sender: Sender<M>,
}

impl<M> Mailbox<M> {
    /// Creates a mailbox for up to `capacity` messages to the service `name`, and the receiver for that service.
    pub fn bounded(name: impl Into<Name>, capacity: usize) -> (Self, Receiver<M>) {
        let (sender, receiver) = async_channel::bounded(capacity);
        (Self { name: name.into(), sender }, receiver)
    }

    /// Sends a message without waiting.
    ///
    /// # Errors
    ///
    /// `Overloaded` if the mailbox is full, `Draining` if the service has dropped its receiver. The message is dropped.
    pub fn post(&self, message: M) -> Result<(), Error> {
        self.sender.try_send(message).map_err(|error| {
            let (kind, state) = match error {
                TrySendError::Full(_) => (ErrorKind::Overloaded, "is full"),
                TrySendError::Closed(_) => (ErrorKind::Draining, "is closed"),
            };
            Error::new(kind, format!("the mailbox of the service `{}` {state}", self.name))
        })
    }
}

impl<M: Send + 'static> Mailbox<M> {
    /// Sends a message that must not be lost; if the mailbox is full, a task waits for room.
    ///
    /// Returns whether there was room at once. The number of messages that wait is for the sender to bound.
    pub fn post_or_wait(&self, message: M) -> bool {
        let Err(TrySendError::Full(message)) = self.sender.try_send(message) else {
            return true;
        };
        let sender = self.sender.clone();
        task::spawn(async move {
            // The service drops its receiver only when the process ends.
            let _closed = sender.send(message).await;
        });
        false
    }
}

impl<M> Clone for Mailbox<M> {
    fn clone(&self) -> Self {
        Self { name: Name::clone(&self.name), sender: self.sender.clone() }
    }
}
