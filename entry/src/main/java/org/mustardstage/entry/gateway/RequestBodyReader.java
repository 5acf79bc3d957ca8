package org.mustardstage.entry.gateway;

import io.activej.bytebuf.ByteBuf;
import io.activej.csp.consumer.ChannelConsumers;
import io.activej.http.HttpRequest;
import io.activej.promise.Promise;
import io.activej.promise.SettablePromise;
import io.activej.reactor.Reactor;
import io.vavr.control.Either;
import java.io.IOException;
import org.mustardstage.core.overload.BufferBudget;

/**
 * Reads the bodies of callers' requests into memory, each within the limit of the configuration and
 * all together within a bound. Beyond the bound, the largest body that is still being read is
 * dropped, and its caller is told at once; a whole body is kept until its request has ended.
 * Confined to the traffic thread.
 */
final class RequestBodyReader {
  /** What is read and thrown away after a failure, so that the caller can read the response. */
  private static final long MAX_SKIPPED_BYTES = 8 << 20;

  private final Reactor reactor;
  private final BufferBudget<Body> budget;

  /** Creates a reader of bodies that hold at most {@code capacityBytes} together. */
  RequestBodyReader(Reactor reactor, long capacityBytes) {
    this.reactor = reactor;
    this.budget = new BufferBudget<>(capacityBytes);
  }

  /** Why a body was not read. */
  enum Failure {
    /** The body is larger than the configuration allows. */
    TOO_LARGE,
    /** The bodies of all requests together are too large. */
    BUFFERS_FULL,
    /** The caller left, or the body is malformed. */
    INCOMPLETE
  }

  /** A body, which counts towards the bound until it is released. */
  final class Body {
    private final SettablePromise<Either<Failure, Body>> result = new SettablePromise<>();
    private final ByteBlocks blocks = new ByteBlocks();
    private final long maxBytes;
    private byte[] whole = {};
    private int receivedBytes;
    private long skippedBytes;

    private Body(long maxBytes) {
      this.maxBytes = maxBytes;
    }

    private void append(ByteBuf chunk) throws IOException {
      int size = chunk.readRemaining();
      if (result.isComplete()) {
        chunk.recycle();
        skip(size);
        return;
      }
      blocks.add(chunk.array(), chunk.head(), size);
      chunk.recycle();
      receivedBytes += size;
      if (receivedBytes > maxBytes) {
        fail(Failure.TOO_LARGE);
        return;
      }
      budget.resize(this, receivedBytes).ifPresent(this::dropLargest);
    }

    private void dropLargest(Body largest) {
      if (largest == this) {
        fail(Failure.BUFFERS_FULL);
      } else {
        // The other request ends in a task of its own.
        reactor.postLast(largest::dropUnlessEnded);
      }
    }

    private void dropUnlessEnded() {
      if (!result.isComplete()) {
        fail(Failure.BUFFERS_FULL);
      }
    }

    private void skip(int size) throws IOException {
      skippedBytes += size;
      if (skippedBytes > MAX_SKIPPED_BYTES) {
        throw new IOException("the rest of a request body that is not used is too large to skip");
      }
    }

    /** Drops what was read; does nothing if the body has failed before. */
    private void fail(Failure failure) {
      blocks.clear();
      release();
      result.trySet(Either.left(failure));
    }

    private void onEndOfStream() {
      if (result.isComplete()) {
        return;
      }
      whole = blocks.takeAll();
      if (whole.length > 0) {
        budget.keep(this);
      }
      result.set(Either.right(this));
    }

    /** Returns the bytes of the whole body; must not be modified. */
    byte[] bytes() {
      return whole;
    }

    /** Ends the use of the body, so that it no longer counts towards the bound. */
    void release() {
      budget.remove(this);
    }
  }

  /**
   * Reads the body of {@code request}. The promise never fails. It completes with a failure as soon
   * as that is known; the rest of the body is then skipped, so that the caller reads the response.
   */
  Promise<Either<Failure, Body>> read(HttpRequest request, long maxBytes) {
    Body body = new Body(maxBytes);
    request
        .takeBodyStream()
        .streamTo(ChannelConsumers.ofConsumer(body::append))
        .subscribe(
            (end, e) -> {
              if (e == null) {
                body.onEndOfStream();
              } else {
                body.fail(Failure.INCOMPLETE);
              }
            });
    return body.result;
  }
}
