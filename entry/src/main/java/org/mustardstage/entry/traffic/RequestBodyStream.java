package org.mustardstage.entry.traffic;

import io.activej.bytebuf.ByteBuf;
import io.activej.csp.supplier.AbstractChannelSupplier;
import io.activej.csp.supplier.ChannelSupplier;
import io.activej.promise.Promise;

/** The body that a caller sends, bounded in size, noting when the caller holds it up. */
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

  /** The body is larger than the limit. */
  static final class BodyTooLargeException extends Exception {
    private static final long serialVersionUID = 1L;

    BodyTooLargeException() {
      super("body too large", null, false, false);
    }
  }
}
