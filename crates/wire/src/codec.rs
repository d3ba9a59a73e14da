//! Protobuf codec with small buffers.

use std::marker::PhantomData;

use prost::Message;
use tonic::codec::BufferSettings;
use tonic_prost::{ProstCodec, ProstDecoder, ProstEncoder};

/// Initial size of the buffers of a call. Every open stream holds its buffers;
/// the default of 8 KiB is a quarter of the memory allowed for an idle stream.
const INITIAL_BUFFER_BYTES: usize = 512;

/// Number of encoded bytes at which they are passed to the connection.
const YIELD_THRESHOLD_BYTES: usize = 32 << 10;

fn buffer_settings() -> BufferSettings {
    BufferSettings::new(INITIAL_BUFFER_BYTES, YIELD_THRESHOLD_BYTES)
}

/// Codec for protobuf messages.
#[derive(Debug)]
pub(crate) struct Codec<T, U>(PhantomData<(T, U)>);

impl<T, U> Default for Codec<T, U> {
    fn default() -> Self {
        Codec(PhantomData)
    }
}

impl<T, U> tonic::codec::Codec for Codec<T, U>
where
    T: Message + Send + 'static,
    U: Message + Default + Send + 'static,
{
    type Encode = T;
    type Decode = U;
    type Encoder = ProstEncoder<T>;
    type Decoder = ProstDecoder<U>;

    fn encoder(&mut self) -> Self::Encoder {
        ProstCodec::<T, U>::raw_encoder(buffer_settings())
    }

    fn decoder(&mut self) -> Self::Decoder {
        ProstCodec::<T, U>::raw_decoder(buffer_settings())
    }
}
