use async_channel::{Receiver, Sender, TrySendError};
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

impl<M> Clone for Mailbox<M> {
    fn clone(&self) -> Self {
        Self { name: Name::clone(&self.name), sender: self.sender.clone() }
    }
}
