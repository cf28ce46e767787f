//! Encoding of frames on a peer stream: a big-endian length of four bytes, then the frame in `bincode`.

use bytes::{Buf, Bytes, BytesMut};
use shallotpost_protocol::wire::{FRAME_LENGTH_MAX, Frame};

const PREFIX_BYTES: usize = 4;

/// Reason why a frame cannot be encoded or decoded.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    #[error("a frame of {length} bytes exceeds {FRAME_LENGTH_MAX} bytes")]
    TooLarge {
        /// Length of the encoded frame, without the prefix.
        length: usize,
    },
    #[error("the frame cannot be encoded: {0}")]
    Encode(#[from] bincode::error::EncodeError),
    #[error("the bytes are not a frame: {0}")]
    Decode(#[from] bincode::error::DecodeError),
    #[error("{0} bytes follow the frame")]
    TrailingBytes(usize),
}

/// Encodes a frame with its length prefix.
///
/// # Errors
///
/// Fails if the frame exceeds [`FRAME_LENGTH_MAX`] or cannot be encoded.
pub fn encode(frame: &Frame) -> Result<Bytes, Error> {
    let mut bytes = vec![0; PREFIX_BYTES];
    let length =
        bincode::serde::encode_into_std_write(frame, &mut bytes, bincode::config::standard())?;
    let prefix = u32::try_from(length).ok().filter(|_| length <= FRAME_LENGTH_MAX);
    let prefix = prefix.ok_or(Error::TooLarge { length })?;
    bytes[..PREFIX_BYTES].copy_from_slice(&prefix.to_be_bytes());
    Ok(bytes.into())
}

/// Splits received bytes into frames.
#[derive(Debug, Default)]
pub struct Decoder {
    buffer: BytesMut,
}

impl Decoder {
    pub fn push(&mut self, bytes: &[u8]) {
        self.buffer.extend_from_slice(bytes);
    }

    /// Returns the next frame, or `None` if it has not arrived completely. After an error the stream is unusable.
    ///
    /// # Errors
    ///
    /// Fails if the frame exceeds [`FRAME_LENGTH_MAX`], is invalid, or is followed by bytes within its length.
    pub fn next_frame(&mut self) -> Result<Option<Frame>, Error> {
        let Some(prefix) = self.buffer.first_chunk::<PREFIX_BYTES>() else { return Ok(None) };
        let length = u32::from_be_bytes(*prefix) as usize;
        if length > FRAME_LENGTH_MAX {
            return Err(Error::TooLarge { length });
        }
        if self.buffer.len() < PREFIX_BYTES + length {
            return Ok(None);
        }
        self.buffer.advance(PREFIX_BYTES);
        let bytes = self.buffer.split_to(length);
        let config = bincode::config::standard().with_limit::<FRAME_LENGTH_MAX>();
        let (frame, used) = bincode::serde::decode_from_slice(&bytes, config)?;
        match length - used {
            0 => Ok(Some(frame)),
            rest => Err(Error::TrailingBytes(rest)),
        }
    }
}
