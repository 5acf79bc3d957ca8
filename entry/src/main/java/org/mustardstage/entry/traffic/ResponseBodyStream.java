package org.mustardstage.entry.traffic;

import io.activej.bytebuf.ByteBuf;
import io.activej.csp.supplier.AbstractChannelSupplier;
import io.activej.csp.supplier.ChannelSupplier;
import io.activej.promise.Promise;

/**
 * A streamed response body. Records on the connection when the transfer waits for the caller, so
 * that a caller which reads too slowly is disconnected.
 */
public final class ResponseBodyStream extends AbstractChannelSupplier<ByteBuf> {
  private final ChannelSupplier<ByteBuf> stream;
  private final CallerConnection connection;

  /** Wraps {@code stream}, which is sent to the caller of {@code connection}. */
  public ResponseBodyStream(ChannelSupplier<ByteBuf> stream, CallerConnection connection) {
    super(stream);
    this.stream = stream;
    this.connection = connection;
  }

  @Override
  protected Promise<ByteBuf> doGet() {
    connection.setWaitingForCaller(false);
    return stream.get().whenResult(() -> connection.setWaitingForCaller(true));
  }
}
