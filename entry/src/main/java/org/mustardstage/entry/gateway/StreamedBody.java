package org.mustardstage.entry.gateway;

import com.google.common.base.Preconditions;
import io.activej.async.exception.AsyncCloseException;
import io.activej.bytebuf.ByteBuf;
import io.activej.csp.supplier.AbstractChannelSupplier;
import io.activej.promise.Promise;
import io.activej.promise.SettablePromise;
import java.util.Optional;
import java.util.OptionalLong;
import org.mustardstage.core.transfer.TransferBudget;

/**
 * The body of a large response between the connection to the endpoint, which adds bytes, and the
 * connection of the caller, which takes them. What it holds counts towards the budget until the
 * caller's socket has taken it. The stream ends in order only if the response has arrived whole;
 * otherwise it fails, so that the caller's connection is closed and never looks complete.
 */
final class StreamedBody extends AbstractChannelSupplier<ByteBuf> {
  private final TransferBudget<?>.Transfer transfer;
  private final OptionalLong length;
  private final ByteBlocks blocks = new ByteBlocks();
  private Optional<SettablePromise<ByteBuf>> waiting = Optional.empty();
  private Listener listener = Listener.NONE;
  private int blockInTransit;
  private boolean receivedWhole;
  private boolean ended;

  /** Told once how the body ended. */
  interface Listener {
    Listener NONE =
        new Listener() {
          @Override
          public void onReceivedWhole() {}

          @Override
          public void onBrokenOff() {}

          @Override
          public void onCallerGone() {}
        };

    /** The body has arrived whole; the caller may still be taking it. */
    void onReceivedWhole();

    /** The endpoint or its connection ended before the body was whole. */
    void onBrokenOff();

    /** The caller can't be sent the rest, which may not have arrived yet. */
    void onCallerGone();
  }

  /**
   * Creates an empty body.
   *
   * @param length the length, if the endpoint stated it
   */
  StreamedBody(TransferBudget<?>.Transfer transfer, OptionalLong length) {
    this.transfer = transfer;
    this.length = length;
    length.ifPresent(transfer::setLength);
  }

  /** Creates a body that has arrived whole already. */
  static StreamedBody ofWhole(TransferBudget<?>.Transfer transfer, byte[] bytes) {
    StreamedBody body = new StreamedBody(transfer, OptionalLong.of(bytes.length));
    body.add(bytes, 0, bytes.length);
    body.completeReceived();
    return body;
  }

  /** Returns the length, if it is known before the end. */
  OptionalLong length() {
    return length;
  }

  void setListener(Listener newListener) {
    listener = newListener;
  }

  /** Returns whether the response has arrived whole. */
  boolean isReceivedWhole() {
    return receivedWhole;
  }

  /** Returns how much has arrived. */
  long receivedBytes() {
    return transfer.receivedBytes();
  }

  /** Returns how much the caller's socket has taken. */
  long sentBytes() {
    return transfer.sentBytes();
  }

  /** Returns whether more may be read; if not, {@code whenRoom} is run when to ask again. */
  boolean mayReceive(Runnable whenRoom) {
    return transfer.mayReceive(whenRoom);
  }

  /** Adds bytes from the endpoint. */
  void add(byte[] bytes, int offset, int size) {
    if (ended || size == 0) {
      return;
    }
    transfer.recordReceived(size);
    blocks.add(bytes, offset, size);
    deliver();
  }

  /** Records that the response has arrived whole. */
  void completeReceived() {
    if (ended || receivedWhole) {
      return;
    }
    Preconditions.checkState(
        length.isEmpty() || length.getAsLong() == transfer.receivedBytes(),
        "body must have %s bytes but has %s",
        length,
        transfer.receivedBytes());
    receivedWhole = true;
    transfer.recordReceivedWhole();
    listener.onReceivedWhole();
    deliver();
  }

  /** Ends the stream to the caller visibly incomplete, unless the response has arrived whole. */
  void breakOff() {
    if (ended || receivedWhole) {
      return;
    }
    ended = true;
    listener.onBrokenOff();
    closeEx(new AsyncCloseException("the endpoint's response broke off"));
  }

  @Override
  protected Promise<ByteBuf> doGet() {
    recordBlockSent();
    SettablePromise<ByteBuf> next = new SettablePromise<>();
    waiting = Optional.of(next);
    deliver();
    return next;
  }

  /** Asking for the next block means that the caller's socket has taken the one before. */
  private void recordBlockSent() {
    int sent = blockInTransit;
    blockInTransit = 0;
    if (sent > 0) {
      transfer.recordSent(sent);
    }
  }

  private void deliver() {
    if (waiting.isEmpty() || ended) {
      return;
    }
    Optional<ByteBuf> next = blocks.poll();
    if (next.isEmpty() && !receivedWhole) {
      return;
    }
    SettablePromise<ByteBuf> asked = waiting.get();
    waiting = Optional.empty();
    if (next.isEmpty()) {
      ended = true;
      transfer.end(System.nanoTime());
      asked.set(null);
      return;
    }
    blockInTransit = next.get().readRemaining();
    asked.set(next.get());
  }

  @Override
  protected void onClosed(Exception e) {
    if (!ended) {
      ended = true;
      listener.onCallerGone();
    }
    blocks.clear();
    transfer.end(System.nanoTime());
    Optional<SettablePromise<ByteBuf>> asked = waiting;
    waiting = Optional.empty();
    asked.ifPresent(promise -> promise.trySetException(e));
  }
}
