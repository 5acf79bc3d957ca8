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
  record Held(byte[] bytes) implements Body {}

  /**
   * A body whose end has not been read.
   *
   * @param stream the bytes from the beginning on
   * @param statedBytes the length that the sender stated, if it did
   */
  record Streamed(ChannelSupplier<ByteBuf> stream, OptionalLong statedBytes) implements Body {
    Optional<String> statedLength() {
      return statedBytes.isPresent()
          ? Optional.of(Long.toString(statedBytes.getAsLong()))
          : Optional.empty();
    }

    /** Returns the same body with its stream wrapped. */
    Streamed map(UnaryOperator<ChannelSupplier<ByteBuf>> wrap) {
      return new Streamed(wrap.apply(stream), statedBytes);
    }
  }

  /** Adds the body to a request. */
  default void addTo(HttpRequest.Builder request) {
    switch (this) {
      case Held held when held.bytes().length == 0 -> {}
      case Held held -> request.withBody(held.bytes());
      case Streamed streamed -> {
        streamed.statedLength().ifPresent(n -> request.withHeader(HttpHeaders.CONTENT_LENGTH, n));
        request.withBodyStream(streamed.stream());
      }
    }
  }

  /** Adds the body to an answer. */
  default void addTo(HttpResponse.Builder response) {
    switch (this) {
      case Held held when held.bytes().length == 0 -> {}
      case Held held -> response.withBody(held.bytes());
      case Streamed streamed -> {
        streamed.statedLength().ifPresent(n -> response.withHeader(HttpHeaders.CONTENT_LENGTH, n));
        response.withBodyStream(streamed.stream());
      }
    }
  }

  /** Reads {@code stream} until it ends or more than {@code maxHeldBytes} have been read. */
  static Promise<Body> read(
      ChannelSupplier<ByteBuf> stream, OptionalLong statedBytes, int maxHeldBytes) {
    return readMore(stream, new ByteBufs(), maxHeldBytes)
        .map(body -> body instanceof Streamed s ? new Streamed(s.stream(), statedBytes) : body);
  }

  private static Promise<Body> readMore(
      ChannelSupplier<ByteBuf> stream, ByteBufs read, int maxHeldBytes) {
    return stream
        .get()
        .whenException(e -> read.recycle())
        .then(
            buf -> {
              if (buf == null) {
                return Promise.of((Body) new Held(read.takeRemaining().asArray()));
              }
              read.add(buf);
              if (read.remainingBytes() > maxHeldBytes) {
                return Promise.of((Body) new Streamed(rest(stream, read), OptionalLong.empty()));
              }
              return readMore(stream, read, maxHeldBytes);
            });
  }

  private static ChannelSupplier<ByteBuf> rest(ChannelSupplier<ByteBuf> stream, ByteBufs read) {
    return ChannelSuppliers.concat(ChannelSuppliers.ofValue(read.takeRemaining()), stream);
  }
}
