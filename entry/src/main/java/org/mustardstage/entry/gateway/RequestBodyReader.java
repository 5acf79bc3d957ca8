package org.mustardstage.entry.gateway;

import io.activej.bytebuf.ByteBuf;
import io.activej.csp.consumer.ChannelConsumers;
import io.activej.http.HttpRequest;
import io.activej.promise.Promise;
import io.vavr.control.Either;
import java.io.ByteArrayOutputStream;
import org.mustardstage.core.overload.BufferBudget;

/**
 * Reads the bodies of callers' requests into memory, each within the limit of the configuration and
 * all together within a bound. Beyond the bound, the largest body is dropped. Confined to the
 * traffic thread.
 */
final class RequestBodyReader {
  private final BufferBudget<Body> budget;

  /** Creates a reader of bodies that hold at most {@code capacityBytes} together. */
  RequestBodyReader(long capacityBytes) {
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
    private final ByteArrayOutputStream received = new ByteArrayOutputStream();
    private final long maxBytes;
    private boolean dropped;

    private Body(long maxBytes) {
      this.maxBytes = maxBytes;
    }

    private void append(ByteBuf chunk) throws BodyException {
      received.write(chunk.array(), chunk.head(), chunk.readRemaining());
      chunk.recycle();
      if (received.size() > maxBytes) {
        throw new BodyException(Failure.TOO_LARGE);
      }
      if (!dropped) {
        budget.resize(this, received.size()).ifPresent(Body::drop);
      }
      if (dropped) {
        throw new BodyException(Failure.BUFFERS_FULL);
      }
    }

    private void drop() {
      dropped = true;
      received.reset();
      release();
    }

    /** Returns the bytes; must not be modified. */
    byte[] bytes() {
      return received.toByteArray();
    }

    /** Ends the use of the body, so that it no longer counts towards the bound. */
    void release() {
      budget.remove(this);
    }
  }

  /** Thrown to stop reading a body. */
  private static final class BodyException extends Exception {
    private static final long serialVersionUID = 1L;
    private final Failure failure;

    BodyException(Failure failure) {
      super(failure.name(), null, false, false);
      this.failure = failure;
    }
  }

  /** Reads the body of {@code request}. The promise never fails. */
  Promise<Either<Failure, Body>> read(HttpRequest request, long maxBytes) {
    Body body = new Body(maxBytes);
    return request
        .takeBodyStream()
        .streamTo(ChannelConsumers.ofConsumer(body::append))
        .map(
            end -> Either.right(body),
            e -> {
              body.drop();
              return Either.left(
                  e instanceof BodyException stopped ? stopped.failure : Failure.INCOMPLETE);
            });
  }
}
