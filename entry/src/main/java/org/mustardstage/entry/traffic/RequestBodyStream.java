package org.mustardstage.entry.traffic;

import io.activej.bytebuf.ByteBuf;
import io.activej.csp.supplier.AbstractChannelSupplier;
import io.activej.csp.supplier.ChannelSupplier;
import io.activej.promise.Promise;

/**
 * The body of a caller's request. Fails when the body exceeds the size limit, and records on the
 * connection when the transfer waits for the caller, so that a caller which sends too slowly is
 * disconnected.
 */
final class RequestBodyStream extends AbstractChannelSupplier<ByteBuf> {
  private final ChannelSupplier<ByteBuf> stream;
  private final CallerConnection connection;
  private final long maxBytes;
  private long readBytes;

  RequestBodyStream(ChannelSupplier<ByteBuf> stream, CallerConnection connection, long maxBytes) {
    super(stream);
    this.stream = stream;
    this.connection = connection;
    this.maxBytes = maxBytes;
  }

  @Override
  protected Promise<ByteBuf> doGet() {
    connection.setWaitingForCaller(true);
    return stream
        .get()
        .then(
            buf -> {
              connection.setWaitingForCaller(false);
              return checkSize(buf);
            });
  }

  private Promise<ByteBuf> checkSize(ByteBuf buf) {
    readBytes += buf == null ? 0 : buf.readRemaining();
    if (readBytes <= maxBytes) {
      return Promise.of(buf);
    }
    buf.recycle();
    BodyTooLargeException tooLarge = new BodyTooLargeException();
    closeEx(tooLarge);
    return Promise.ofException(tooLarge);
  }

  /** Thrown when a request body exceeds the size limit. */
  static final class BodyTooLargeException extends Exception {
    private static final long serialVersionUID = 1L;

    BodyTooLargeException() {
      super("request body exceeds the size limit", null, false, false);
    }
  }
}
