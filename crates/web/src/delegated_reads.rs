//! Reading for streams that only change how their inner streams are written.

/// Implements [`smol::io::AsyncRead`] for a wrapper `$wrapper<S>` by its field `stream`.
#[macro_export]
macro_rules! delegate_reads {
    ($wrapper:ident) => {
        impl<S: ::smol::io::AsyncRead + Unpin> ::smol::io::AsyncRead for $wrapper<S> {
            fn poll_read(
                mut self: ::std::pin::Pin<&mut Self>,
                context: &mut ::std::task::Context<'_>,
                buffer: &mut [u8],
            ) -> ::std::task::Poll<::std::io::Result<usize>> {
                ::std::pin::Pin::new(&mut self.stream).poll_read(context, buffer)
            }
        }
    };
}
