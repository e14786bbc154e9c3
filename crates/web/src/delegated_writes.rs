//! Writing for streams that only change how their inner streams are read.

/// Implements [`smol::io::AsyncWrite`] for a wrapper `$wrapper<S>` by its field `stream`.
#[macro_export]
macro_rules! delegate_writes {
    ($wrapper:ident) => {
        impl<S: ::smol::io::AsyncWrite + Unpin> ::smol::io::AsyncWrite for $wrapper<S> {
            fn poll_write(
                mut self: ::std::pin::Pin<&mut Self>,
                context: &mut ::std::task::Context<'_>,
                buffer: &[u8],
            ) -> ::std::task::Poll<::std::io::Result<usize>> {
                ::std::pin::Pin::new(&mut self.stream).poll_write(context, buffer)
            }

            fn poll_write_vectored(
                mut self: ::std::pin::Pin<&mut Self>,
                context: &mut ::std::task::Context<'_>,
                buffers: &[::std::io::IoSlice<'_>],
            ) -> ::std::task::Poll<::std::io::Result<usize>> {
                ::std::pin::Pin::new(&mut self.stream).poll_write_vectored(context, buffers)
            }

            fn poll_flush(
                mut self: ::std::pin::Pin<&mut Self>,
                context: &mut ::std::task::Context<'_>,
            ) -> ::std::task::Poll<::std::io::Result<()>> {
                ::std::pin::Pin::new(&mut self.stream).poll_flush(context)
            }

            fn poll_close(
                mut self: ::std::pin::Pin<&mut Self>,
                context: &mut ::std::task::Context<'_>,
            ) -> ::std::task::Poll<::std::io::Result<()>> {
                ::std::pin::Pin::new(&mut self.stream).poll_close(context)
            }
        }
    };
}
