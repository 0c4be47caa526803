use async_channel::Sender;
use hollyhook_core::{EndReason, Error};
use hollyhook_wire::{BodySender, EngineUsage, StreamWriter};

/// Bytes that may be gathered before they are sent.
const GATHER_BYTES: usize = 16 * 1_024;

/// The whole text of a request that does not stream.
#[derive(Debug)]
pub(crate) struct WholeText {
    pub(crate) text: String,
    pub(crate) reason: EndReason,
    pub(crate) usage: EngineUsage,
}

/// What the handler of a request waits for.
#[derive(Debug)]
pub(crate) enum RelayReply {
    /// The endpoint accepted; the stream follows.
    Streaming,
    /// The whole text.
    Whole(WholeText),
    /// The final refusal, before anything was sent.
    Refused(Error),
}

/// The way back to the caller.
#[derive(Debug)]
pub(crate) struct CallerLink {
    reply: Sender<RelayReply>,
    stream: Option<StreamLink>,
}

#[derive(Debug)]
struct StreamLink {
    feed: BodySender,
    writer: StreamWriter,
    gathered: String,
    has_begun: bool,
}

impl CallerLink {
    pub(crate) fn whole(reply: Sender<RelayReply>) -> Self {
        Self { reply, stream: None }
    }

    pub(crate) fn streaming(reply: Sender<RelayReply>, feed: BodySender, writer: StreamWriter) -> Self {
        let stream = StreamLink { feed, writer, gathered: String::new(), has_begun: false };
        Self { reply, stream: Some(stream) }
    }

    pub(crate) fn is_streaming(&self) -> bool {
        self.stream.is_some()
    }

    /// Ends when the caller is gone.
    pub(crate) fn closed(&self) -> impl Future<Output = ()> + Send + 'static {
        let reply = self.reply.clone();
        let feed = self.stream.as_ref().map(|stream| stream.feed.clone());
        async move {
            match feed {
                Some(feed) => feed.closed().await,
                None => reply.closed().await,
            }
        }
    }

    /// Lets the answer begin, once.
    pub(crate) fn begin(&mut self, is_continued: bool) {
        let Some(stream) = &mut self.stream else {
            return;
        };
        if stream.has_begun {
            return;
        }
        stream.has_begun = true;
        if !is_continued {
            stream.gathered.extend(stream.writer.role());
        }
        let _gone = self.reply.try_send(RelayReply::Streaming);
    }

    /// Adds a token to what is sent next; returns whether it should be sent now.
    pub(crate) fn token(&mut self, text: &str, cursor: &str) -> bool {
        let Some(stream) = &mut self.stream else {
            return false;
        };
        stream.gathered.push_str(&stream.writer.token(text, cursor));
        stream.gathered.len() >= GATHER_BYTES
    }

    /// Sends what was gathered; returns whether the caller is still there.
    pub(crate) async fn flush(&mut self) -> bool {
        match &mut self.stream {
            Some(stream) if !stream.gathered.is_empty() => {
                let piece = std::mem::take(&mut stream.gathered).into_bytes();
                stream.feed.send(piece).await
            }
            _ => true,
        }
    }

    pub(crate) async fn complete(&mut self, whole: WholeText, has_usage: bool) {
        match &mut self.stream {
            Some(stream) => {
                let end = stream.writer.end(whole.reason, has_usage.then_some(whole.usage));
                stream.gathered.push_str(&end);
                self.flush().await;
            }
            None => {
                let _gone = self.reply.try_send(RelayReply::Whole(whole));
            }
        }
    }

    pub(crate) async fn refuse(&mut self, error: Error) {
        match &mut self.stream {
            Some(stream) if stream.has_begun => {
                stream.gathered.push_str(&StreamWriter::failure(&error));
                self.flush().await;
            }
            _ => {
                let _gone = self.reply.try_send(RelayReply::Refused(error));
            }
        }
    }
}
