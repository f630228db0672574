//! The link between predecessor and successor: frames over a Unix socket, each preceded by its length.

use super::{Frame, HANDOVER_TIMEOUT, HandoverState};
use crate::net::events::{DriverInput, HandoverMessage};
use std::io;
use thiserror::Error;
use tokio::net::UnixStream;
use tokio::net::unix::{OwnedReadHalf, OwnedWriteHalf};
use tokio::sync::mpsc;
use tokio::time::timeout;

/// Maximum length of a frame in bytes (64 MiB). A longer length is treated as a corrupt link.
const MAX_FRAME_BYTES: usize = 64 << 20;

/// Error of the link between predecessor and successor.
#[derive(Debug, Error)]
pub enum LinkError {
    /// Connecting to the socket, reading the other process's id, or reading or writing a frame failed.
    #[error("{0}")]
    Io(#[from] io::Error),
    /// A frame can't be encoded or decoded.
    #[error("frame can't be encoded or decoded: {0}")]
    Codec(#[from] postcard::Error),
    /// A frame of an unexpected kind or of an invalid length arrived, or a frame to be sent is too long.
    #[error("unexpected frame")]
    Unexpected,
    /// The exchange with the other process was not complete within [`HANDOVER_TIMEOUT`].
    #[error("timed out waiting for the other process")]
    Timeout,
    /// The process at the other end started later than this one, so this process must not take over from it.
    #[error("the other process started later")]
    NewerProcess,
}

/// A connection between predecessor and successor.
#[derive(Debug)]
pub struct Link {
    reader: OwnedReadHalf,
    pub(super) writer: LinkWriter,
}

/// Writing half of a link.
#[derive(Debug)]
pub struct LinkWriter(OwnedWriteHalf);

impl LinkWriter {
    /// Sends a message to the other process.
    ///
    /// # Errors
    /// Returns an error if the link is lost, or if the frame can't be encoded or is too long.
    pub async fn send_message(&mut self, message: HandoverMessage) -> Result<(), LinkError> {
        self.send(&Frame::Message(message)).await
    }

    /// Sends a frame and waits until all its bytes are written.
    ///
    /// # Errors
    /// Returns an error if the link is lost, or if the frame can't be encoded or is too long.
    pub async fn send(&mut self, frame: &Frame) -> Result<(), LinkError> {
        let payload = postcard::to_allocvec(frame)?;
        let length = u32::try_from(payload.len()).map_err(|_| LinkError::Unexpected)?;
        self.write_all(&length.to_le_bytes()).await?;
        Ok(self.write_all(&payload).await?)
    }

    /// Writes all bytes. Tries again at once after a short write, and waits only after a write that would block; see
    /// [`crate::net::stream`] for the reason.
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

    /// Sends a frame and waits until all its bytes are written.
    ///
    /// # Errors
    /// Returns an error if the link is lost, or if the frame can't be encoded or is too long.
    pub async fn send(&mut self, frame: &Frame) -> Result<(), LinkError> {
        self.writer.send(frame).await
    }

    /// Sends the predecessor's state and waits for the successor to confirm that it owns the messages.
    ///
    /// # Errors
    /// Returns an error if the link is lost, if another frame arrives, or if the exchange is not complete within
    /// [`HANDOVER_TIMEOUT`].
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

    /// Starts a task that forwards all received messages, and finally the loss of the link, to the driver. Returns the
    /// writing half.
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

/// Fills the buffer. Tries again at once after a short read, and waits only after a read that would block; see
/// [`crate::net::stream`] for the reason.
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
