package org.mustardstage.entry.traffic;

import io.activej.bytebuf.ByteBuf;
import io.activej.csp.supplier.ChannelSupplier;

/** Utilities for streams of buffers. */
final class Streams {
  private static final long MAX_DISCARDED_BYTES = 1 << 20;

  private Streams() {}

  /** Reads a stream to its end and drops the data. Runs {@code onTooLong} if it exceeds 1 MiB. */
  static void discard(ChannelSupplier<ByteBuf> stream, Runnable onTooLong) {
    discard(stream, onTooLong, MAX_DISCARDED_BYTES);
  }

  private static void discard(ChannelSupplier<ByteBuf> stream, Runnable onTooLong, long maxBytes) {
    stream
        .get()
        .whenResult(
            buf -> {
              if (buf == null) {
                return;
              }
              long remainingBytes = maxBytes - buf.readRemaining();
              buf.recycle();
              if (remainingBytes < 0) {
                onTooLong.run();
                return;
              }
              discard(stream, onTooLong, remainingBytes);
            });
  }
}
