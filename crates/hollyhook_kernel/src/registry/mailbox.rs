use async_channel::{Receiver, Sender, TrySendError};
use hollyhook_core::{Error, ErrorKind, Name};

/// The way to send messages of one type to a service.
#[derive(Debug)]
pub struct Mailbox<M> {
    name: Name,
    sender: Sender<M>,
}

impl<M> Mailbox<M> {
    /// A mailbox for the service of that name that holds up to `capacity` messages, and the service's end of it.
    pub fn bounded(name: impl Into<Name>, capacity: usize) -> (Self, Receiver<M>) {
        let (sender, receiver) = async_channel::bounded(capacity);
        (Self { name: name.into(), sender }, receiver)
    }

    /// Sends without waiting.
    ///
    /// # Errors
    ///
    /// `Overloaded` if the mailbox is full, `Draining` if the service has stopped; the message is dropped.
    pub fn post(&self, message: M) -> Result<(), Error> {
        self.sender.try_send(message).map_err(|error| {
            let (kind, what) = match error {
                TrySendError::Full(_) => (ErrorKind::Overloaded, "is full"),
                TrySendError::Closed(_) => (ErrorKind::Draining, "is closed"),
            };
            Error::new(kind, format!("the mailbox of the service `{}` {what}", self.name))
        })
    }
}

impl<M> Clone for Mailbox<M> {
    fn clone(&self) -> Self {
        Self { name: Name::clone(&self.name), sender: self.sender.clone() }
    }
}
