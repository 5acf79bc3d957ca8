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

/** A body: held whole when it is small, else a stream that can be read once. */
sealed interface Body {
  /**
   * A whole body.
   *
   * @param bytes its bytes, not to be changed
   */
  @SuppressWarnings("ArrayRecordComponent")
  record Buffered(byte[] bytes) implements Body {}

  /**
   * A body whose end has not been read.
   *
   * @param stream the bytes from the beginning on
   * @param statedBytes the length that the sender stated, if it did
   */
  record Streamed(ChannelSupplier<ByteBuf> stream, OptionalLong contentLength) implements Body {
    Optional<String> contentLengthText() {
      return contentLength.isPresent()
          ? Optional.of(Long.toString(contentLength.getAsLong()))
          : Optional.empty();
    }

    /** Returns the same body with its stream wrapped. */
    Streamed mapStream(UnaryOperator<ChannelSupplier<ByteBuf>> wrap) {
      return new Streamed(wrap.apply(stream), contentLength);
    }
  }

  /** Adds the body to a request. */
  default void addTo(HttpRequest.Builder request) {
    switch (this) {
      case Buffered held when held.bytes().length == 0 -> {}
      case Buffered held -> request.withBody(held.bytes());
      case Streamed streamed -> {
        streamed.contentLengthText().ifPresent(n -> request.withHeader(HttpHeaders.CONTENT_LENGTH, n));
        request.withBodyStream(streamed.stream());
      }
    }
  }

  /** Adds the body to an answer. */
  default void addTo(HttpResponse.Builder response) {
    switch (this) {
      case Buffered held when held.bytes().length == 0 -> {}
      case Buffered held -> response.withBody(held.bytes());
      case Streamed streamed -> {
        streamed.contentLengthText().ifPresent(n -> response.withHeader(HttpHeaders.CONTENT_LENGTH, n));
        response.withBodyStream(streamed.stream());
      }
    }
  }

  /** Reads {@code stream} until it ends or more than {@code maxHeldBytes} have been read. */
  static Promise<Body> read(
      ChannelSupplier<ByteBuf> stream, OptionalLong statedBytes, int maxHeldBytes) {
    return readRemaining(stream, new ByteBufs(), maxHeldBytes)
        .map(body -> body instanceof Streamed s ? new Streamed(s.stream(), statedBytes) : body);
  }

  private static Promise<Body> readRemaining(
      ChannelSupplier<ByteBuf> stream, ByteBufs read, int maxHeldBytes) {
    return stream
        .get()
        .whenException(e -> read.recycle())
        .then(
            buf -> {
              if (buf == null) {
                return Promise.of((Body) new Buffered(read.takeRemaining().asArray()));
              }
              read.add(buf);
              if (read.remainingBytes() > maxHeldBytes) {
                return Promise.of((Body) new Streamed(concat(stream, read), OptionalLong.empty()));
              }
              return readRemaining(stream, read, maxHeldBytes);
            });
  }

  private static ChannelSupplier<ByteBuf> concat(ChannelSupplier<ByteBuf> stream, ByteBufs read) {
    return ChannelSuppliers.concat(ChannelSuppliers.ofValue(read.takeRemaining()), stream);
  }
}
