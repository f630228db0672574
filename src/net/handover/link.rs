//! The link between two processes: frames with their length before them, over a local socket.

use super::{Frame, HANDOVER_TIMEOUT, HandoverState};
use crate::net::events::{DriverInput, HandoverMessage};
use std::io;
use thiserror::Error;
use tokio::net::UnixStream;
use tokio::net::unix::{OwnedReadHalf, OwnedWriteHalf};
use tokio::sync::mpsc;
use tokio::time::timeout;

/// A longer frame is damage.
const MAX_FRAME_BYTES: usize = 64 << 20;

/// Why the link does not serve.
#[derive(Debug, Error)]
pub enum LinkError {
    /// The socket failed.
    #[error("{0}")]
    Io(#[from] io::Error),
    /// A frame can't be encoded or decoded.
    #[error("can't be read: {0}")]
    Unreadable(#[from] postcard::Error),
    /// Another frame was due, or the link is lost.
    #[error("unexpected frame")]
    Unexpected,
    /// No frame came in time.
    #[error("no frame in time")]
    Timeout,
    /// The process at the other end started later: it is the one to take over.
    #[error("the other process started later")]
    NewerProcess,
}

/// The link between two processes.
#[derive(Debug)]
pub struct Link {
    reader: OwnedReadHalf,
    pub(super) writer: LinkWriter,
}

/// The end of the link that is written to.
#[derive(Debug)]
pub struct LinkWriter(OwnedWriteHalf);

impl LinkWriter {
    /// Sends a message.
    ///
    /// # Errors
    /// The link is lost.
    pub async fn send_message(&mut self, message: HandoverMessage) -> Result<(), LinkError> {
        self.send(&Frame::Message(message)).await
    }

    /// Writes a frame, whole.
    ///
    /// # Errors
    /// The link is lost, or the frame is too long.
    pub async fn send(&mut self, frame: &Frame) -> Result<(), LinkError> {
        let payload = postcard::to_allocvec(frame)?;
        let length = u32::try_from(payload.len()).map_err(|_| LinkError::Unexpected)?;
        self.write_all(&length.to_le_bytes()).await?;
        Ok(self.write_all(&payload).await?)
    }

    /// Writes all bytes; waits only when the system says that it would block, see [`crate::net::stream`].
    async fn write_all(&self, mut bytes: &[u8]) -> io::Result<()> {
        while !bytes.is_empty() {
            self.0.writable().await?;
            match self.0.try_write(bytes) {
                Ok(0) => return Err(io::ErrorKind::WriteZero.into()),
                Ok(written) => bytes = &bytes[written..],
                Err(error) if is_transient(&error) => {}
                Err(error) => return Err(error),
            }
        }
        Ok(())
    }
}

fn is_transient(error: &io::Error) -> bool {
    matches!(
        error.kind(),
        io::ErrorKind::WouldBlock | io::ErrorKind::Interrupted
    )
}

impl Link {
    pub(super) fn new(stream: UnixStream) -> Self {
        let (reader, writer) = stream.into_split();
        Link {
            reader,
            writer: LinkWriter(writer),
        }
    }

    pub(super) async fn receive(&mut self) -> Result<Frame, LinkError> {
        read_frame(&self.reader).await
    }

    /// Writes a frame, whole.
    ///
    /// # Errors
    /// The link is lost, or the frame is too long.
    pub async fn send(&mut self, frame: &Frame) -> Result<(), LinkError> {
        self.writer.send(frame).await
    }

    /// The predecessor's part: sends its state, and waits until the successor owns all.
    ///
    /// # Errors
    /// The successor did not take over.
    pub async fn send_state(&mut self, state: HandoverState) -> Result<(), LinkError> {
        let exchange = async {
            self.send(&Frame::State(Box::new(state))).await?;
            match self.receive().await? {
                Frame::Accepted => Ok(()),
                _ => Err(LinkError::Unexpected),
            }
        };
        timeout(HANDOVER_TIMEOUT, exchange)
            .await
            .map_err(|_| LinkError::Timeout)?
    }

    /// Forwards all messages that come to the driver, and the end of the link too; the rest is for writing.
    pub fn listen(self, inputs: mpsc::UnboundedSender<DriverInput>) -> LinkWriter {
        let Link { reader, writer } = self;
        tokio::task::spawn_local(async move {
            while let Ok(frame) = read_frame(&reader).await {
                let Frame::Message(message) = frame else {
                    continue;
                };
                if inputs.send(DriverInput::Handover(message)).is_err() {
                    return;
                }
            }
            let _ = inputs.send(DriverInput::HandoverLinkLost);
        });
        writer
    }
}

async fn read_frame(reader: &OwnedReadHalf) -> Result<Frame, LinkError> {
    let mut length = [0; 4];
    read_exact(reader, &mut length).await?;
    let length = u32::from_le_bytes(length) as usize;
    if length > MAX_FRAME_BYTES {
        return Err(LinkError::Unexpected);
    }
    let mut payload = vec![0; length];
    read_exact(reader, &mut payload).await?;
    Ok(postcard::from_bytes(&payload)?)
}

/// Fills the buffer; waits only when the system says that it would block, see [`crate::net::stream`].
async fn read_exact(reader: &OwnedReadHalf, buffer: &mut [u8]) -> io::Result<()> {
    let mut filled = 0;
    while filled < buffer.len() {
        reader.readable().await?;
        match reader.try_read(&mut buffer[filled..]) {
            Ok(0) => return Err(io::ErrorKind::UnexpectedEof.into()),
            Ok(read) => filled += read,
            Err(error) if is_transient(&error) => {}
            Err(error) => return Err(error),
        }
    }
    Ok(())
}
