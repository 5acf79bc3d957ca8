package org.mustardstage.entry.traffic;

import io.activej.bytebuf.ByteBuf;
import io.activej.bytebuf.ByteBufs;
import io.activej.csp.supplier.ChannelSupplier;
import io.activej.csp.supplier.ChannelSuppliers;
import io.activej.http.HttpHeaders;
import io.activej.http.HttpRequest;
import io.activej.http.HttpResponse;
import io.activej.promise.Promise;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.function.UnaryOperator;

/** A message body: buffered whole when it is small, otherwise a stream that can be read once. */
sealed interface Body {
  /**
   * A body that is buffered whole.
   *
   * @param bytes the content, which must not be modified
   */
  @SuppressWarnings("ArrayRecordComponent")
  record Buffered(byte[] bytes) implements Body {}

  /**
   * A body that has not been read to its end.
   *
   * @param stream the bytes from the beginning of the body
   * @param contentLength the length that the sender declared, if any
   */
  record Streamed(ChannelSupplier<ByteBuf> stream, OptionalLong contentLength) implements Body {
    Optional<String> contentLengthText() {
      return contentLength.isPresent()
          ? Optional.of(Long.toString(contentLength.getAsLong()))
          : Optional.empty();
    }

    /** Returns this body with {@code wrap} applied to its stream. */
    Streamed mapStream(UnaryOperator<ChannelSupplier<ByteBuf>> wrap) {
      return new Streamed(wrap.apply(stream), contentLength);
    }
  }

  /** Adds the body to a request. */
  default void addTo(HttpRequest.Builder request) {
    switch (this) {
      case Buffered buffered when buffered.bytes().length == 0 -> {}
      case Buffered buffered -> request.withBody(buffered.bytes());
      case Streamed streamed -> {
        streamed
            .contentLengthText()
            .ifPresent(n -> request.withHeader(HttpHeaders.CONTENT_LENGTH, n));
        request.withBodyStream(streamed.stream());
      }
    }
  }

  /** Adds the body to a response. */
  default void addTo(HttpResponse.Builder response) {
    switch (this) {
      case Buffered buffered when buffered.bytes().length == 0 -> {}
      case Buffered buffered -> response.withBody(buffered.bytes());
      case Streamed streamed -> {
        streamed
            .contentLengthText()
            .ifPresent(n -> response.withHeader(HttpHeaders.CONTENT_LENGTH, n));
        response.withBodyStream(streamed.stream());
      }
    }
  }

  /**
   * Reads {@code stream} until it ends or more than {@code maxBufferedBytes} have been read, and
   * returns a buffered body in the first case and a streamed one in the second.
   */
  static Promise<Body> read(
      ChannelSupplier<ByteBuf> stream, OptionalLong contentLength, int maxBufferedBytes) {
    return readRemaining(stream, new ByteBufs(), maxBufferedBytes)
        .map(body -> body instanceof Streamed s ? new Streamed(s.stream(), contentLength) : body);
  }

  private static Promise<Body> readRemaining(
      ChannelSupplier<ByteBuf> stream, ByteBufs read, int maxBufferedBytes) {
    return stream
        .get()
        .whenException(e -> read.recycle())
        .then(
            buf -> {
              if (buf == null) {
                return Promise.of((Body) new Buffered(read.takeRemaining().asArray()));
              }
              read.add(buf);
              if (read.remainingBytes() > maxBufferedBytes) {
                return Promise.of((Body) new Streamed(concat(stream, read), OptionalLong.empty()));
              }
              return readRemaining(stream, read, maxBufferedBytes);
            });
  }

  private static ChannelSupplier<ByteBuf> concat(ChannelSupplier<ByteBuf> stream, ByteBufs read) {
    return ChannelSuppliers.concat(ChannelSuppliers.ofValue(read.takeRemaining()), stream);
  }
}
