package org.mustardstage.entry.traffic;

import io.activej.bytebuf.ByteBuf;
import io.activej.csp.supplier.ChannelSupplier;

/** Helpers for streams of buffers. */
final class Streams {
  private static final long MAX_DISCARDED_BYTES = 1 << 20;

  private Streams() {}

  /** Reads a stream to its end and forgets it, or tells that it is too long for that. */
  static void discard(ChannelSupplier<ByteBuf> stream, Runnable onTooLong) {
    discard(stream, onTooLong, MAX_DISCARDED_BYTES);
  }

  private static void discard(ChannelSupplier<ByteBuf> stream, Runnable onTooLong, long leftBytes) {
    stream
        .get()
        .whenResult(
            buf -> {
              if (buf == null) {
                return;
              }
              long left = leftBytes - buf.readRemaining();
              buf.recycle();
              if (left < 0) {
                onTooLong.run();
                return;
              }
              discard(stream, onTooLong, left);
            });
  }
}
