use async_channel::Sender;
use hollyhook_core::{EndReason, Error};
use hollyhook_wire::{BodySender, EngineUsage, StreamWriter};

/// Size in bytes from which buffered output is flushed before the next event is handled.
const FLUSH_THRESHOLD: usize = 16 * 1_024;

/// Result of a completed generation; the text is empty if it has been streamed.
#[derive(Debug)]
pub(crate) struct GenerationResult {
    pub(crate) text: String,
    pub(crate) reason: EndReason,
    pub(crate) usage: EngineUsage,
}

/// Reply of the relay to the handler of the caller's request.
#[derive(Debug)]
pub(crate) enum RelayReply {
    /// An endpoint accepted the request; the response is streamed.
    Streaming,
    /// The generation is complete; sent for requests that don't stream.
    Completed(GenerationResult),
    /// The generation failed before any part of the response was sent.
    Failed(Error),
}

/// Sends a generation to its caller: as a stream of events, or as one reply when it is complete.
#[derive(Debug)]
pub(crate) struct CallerLink {
    reply: Sender<RelayReply>,
    stream: Option<StreamLink>,
}

#[derive(Debug)]
struct StreamLink {
    body_sender: BodySender,
    writer: StreamWriter,
    output: String,
    has_started: bool,
}

impl CallerLink {
    pub(crate) fn buffered(reply: Sender<RelayReply>) -> Self {
        Self { reply, stream: None }
    }

    pub(crate) fn streaming(reply: Sender<RelayReply>, body_sender: BodySender, writer: StreamWriter) -> Self {
        let stream = StreamLink { body_sender, writer, output: String::new(), has_started: false };
        Self { reply, stream: Some(stream) }
    }

    pub(crate) fn is_streaming(&self) -> bool {
        self.stream.is_some()
    }

    /// Completes when the caller has disconnected.
    pub(crate) fn closed(&self) -> impl Future<Output = ()> + Send + 'static {
        let reply = self.reply.clone();
        let body_sender = self.stream.as_ref().map(|stream| stream.body_sender.clone());
        async move {
            match body_sender {
                Some(body_sender) => body_sender.closed().await,
                None => reply.closed().await,
            }
        }
    }

    /// Starts a streamed response; later calls have no effect.
    ///
    /// A continued stream omits the opening role event, which the caller already has.
    pub(crate) fn start_stream(&mut self, is_continued: bool) {
        let Some(stream) = &mut self.stream else {
            return;
        };
        if stream.has_started {
            return;
        }
        stream.has_started = true;
        if !is_continued {
            stream.output.extend(stream.writer.role());
        }
        let _gone = self.reply.try_send(RelayReply::Streaming);
    }

    /// Adds a token to the buffered output; returns whether the output should be flushed now.
    pub(crate) fn token(&mut self, text: &str, cursor: &str) -> bool {
        let Some(stream) = &mut self.stream else {
            return false;
        };
        stream.output.push_str(&stream.writer.token(text, cursor));
        stream.output.len() >= FLUSH_THRESHOLD
    }

    /// Sends the buffered output; returns whether the caller is still connected.
    pub(crate) async fn flush(&mut self) -> bool {
        match &mut self.stream {
            Some(stream) if !stream.output.is_empty() => {
                let chunk = std::mem::take(&mut stream.output).into_bytes();
                stream.body_sender.send(chunk).await
            }
            _ => true,
        }
    }

    /// Sends the end of the stream, or the whole result if the request does not stream.
    pub(crate) async fn complete(&mut self, result: GenerationResult, has_usage: bool) {
        match &mut self.stream {
            Some(stream) => {
                let end = stream.writer.end(result.reason, has_usage.then_some(result.usage));
                stream.output.push_str(&end);
                self.flush().await;
            }
            None => {
                let _gone = self.reply.try_send(RelayReply::Completed(result));
            }
        }
    }

    /// Reports a failure: as an error event in a stream that has started, otherwise as the reply.
    pub(crate) async fn fail(&mut self, error: Error) {
        match &mut self.stream {
            Some(stream) if stream.has_started => {
                stream.output.push_str(&StreamWriter::failure(&error));
                self.flush().await;
            }
            _ => {
                let _gone = self.reply.try_send(RelayReply::Failed(error));
            }
        }
    }
}
