package org.mustardstage.core.transfer;

import com.google.common.base.Preconditions;
import com.google.common.collect.ImmutableList;
import io.vavr.control.Either;
import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.Map;
import java.util.Set;
import java.util.function.LongSupplier;
import java.util.random.RandomGenerator;
import org.mustardstage.core.overload.DepartureRateEstimator;
import org.mustardstage.core.overload.RetryAfterScheduler;
import org.mustardstage.core.overload.RetryAfterSettings;

/**
 * Bounds the memory of all large responses that a VM holds for callers.
 *
 * <p>Handles many callers that read large responses slowly at once. An endpoint keeps its slot
 * until its response has been read, and cuts off a response that stays unread. So room for the
 * whole response is reserved before the request is sent, and a request without room is refused.
 * With the room reserved, the response is read as fast as the endpoint sends it, whatever the
 * caller's pace. Room is given back as the caller takes the bytes.
 *
 * <p>Room is shared by dynamic thresholds (Choudhury and Hahne): a caller may reserve at most
 * {@value #THRESHOLD_FACTOR} times what is free. One caller alone so leaves a third of the room to
 * others, and the more callers reserve room, the smaller is the share of each. Ordinary responses
 * come first: what they hold is not given to new transfers.
 *
 * @param <C> identifies a caller
 */
public final class TransferBudget<C> {
  /** Room that a transfer keeps until its response has arrived, so that it never stops for good. */
  static final long MIN_WINDOW_BYTES = 64 << 10;

  private static final int THRESHOLD_FACTOR = 2;

  /** No transfer reserves more than this share of the capacity before its length is known. */
  private static final int MAX_RESERVATION_DIVISOR = 8;

  private final long capacityBytes;
  private final LongSupplier ordinaryBytes;
  private final Map<C, Long> reservedByCaller = new HashMap<>();
  private final Set<Transfer> stopped = new LinkedHashSet<>();
  private final DepartureRateEstimator departureRate = new DepartureRateEstimator();
  private final RetryAfterScheduler retryAfterScheduler;
  private long reservedBytes;
  private long heldBytes;

  /**
   * A request that is refused, as there is no room for its response.
   *
   * @param neededBytes the room that its response needs
   * @param freeBytes the room that nobody has reserved
   * @param callerBytes the room that the caller has reserved
   * @param retryAfterMillis after how long the caller should retry
   */
  public record Refusal(
      long neededBytes, long freeBytes, long callerBytes, long retryAfterMillis) {}

  /**
   * Creates a budget.
   *
   * @param capacityBytes the room for all large responses together
   * @param ordinaryBytes what ordinary responses hold at this moment
   * @param random spreads the retries of refused callers
   */
  public TransferBudget(long capacityBytes, LongSupplier ordinaryBytes, RandomGenerator random) {
    Preconditions.checkArgument(
        capacityBytes >= MAX_RESERVATION_DIVISOR * MIN_WINDOW_BYTES,
        "capacityBytes must be at least %s: %s",
        MAX_RESERVATION_DIVISOR * MIN_WINDOW_BYTES,
        capacityBytes);
    this.capacityBytes = capacityBytes;
    this.ordinaryBytes = ordinaryBytes;
    this.retryAfterScheduler = new RetryAfterScheduler(RetryAfterSettings.DEFAULT, random);
  }

  /** Reserves room for a response, or refuses its request. */
  public Either<Refusal, Transfer> begin(long nowNanos, C caller, long expectedBytes) {
    departureRate.advance(nowNanos, reservedBytes > 0);
    long neededBytes =
        Math.clamp(expectedBytes, MIN_WINDOW_BYTES, capacityBytes / MAX_RESERVATION_DIVISOR);
    if (!hasRoom(caller, neededBytes)) {
      return Either.left(
          new Refusal(
              neededBytes,
              freeBytes(),
              reservedByCaller.getOrDefault(caller, 0L),
              retryAfterScheduler.nextMillis(nowNanos, departureRate.perSecond())));
    }
    return Either.right(new Transfer(caller, neededBytes));
  }

  private boolean hasRoom(C caller, long bytes) {
    long freeAfterwards = freeBytes() - bytes;
    return freeAfterwards >= 0
        && reservedByCaller.getOrDefault(caller, 0L) + bytes <= THRESHOLD_FACTOR * freeAfterwards;
  }

  private long freeBytes() {
    return Math.max(0, capacityBytes - reservedBytes - ordinaryBytes.getAsLong());
  }

  /** Returns the room that is reserved for all transfers together. */
  public long reservedBytes() {
    return reservedBytes;
  }

  /** Returns what all transfers together hold. */
  public long heldBytes() {
    return heldBytes;
  }

  /** One response on its way from an endpoint to a caller. */
  public final class Transfer {
    private final C caller;
    private long expectedBytes;
    private long receivedBytes;
    private long sentBytes;
    private long reserved;
    private boolean received;
    private boolean ended;
    private Runnable onRoom = () -> {};

    private Transfer(C caller, long expectedBytes) {
      this.caller = caller;
      this.expectedBytes = expectedBytes;
      updateReservation();
    }

    /** Records the length of the response, and reserves room for all of it if there is some. */
    public void setLength(long bytes) {
      if (bytes <= expectedBytes || hasRoom(caller, bytes - expectedBytes)) {
        expectedBytes = bytes;
        updateReservation();
      }
    }

    /**
     * Returns whether more of the response may be read from the endpoint. If not, {@code whenRoom}
     * is run once, as soon as it should be asked again.
     */
    public boolean mayReceive(Runnable whenRoom) {
      if (held() < reserved) {
        return true;
      }
      if (hasRoom(caller, MIN_WINDOW_BYTES)) {
        expectedBytes = receivedBytes + MIN_WINDOW_BYTES;
        updateReservation();
        return true;
      }
      onRoom = whenRoom;
      stopped.add(this);
      return false;
    }

    /** Records bytes that were read from the endpoint and are held now. */
    public void recordReceived(long bytes) {
      receivedBytes += bytes;
      heldBytes += bytes;
      updateReservation();
    }

    /** Records that the response has arrived whole. */
    public void recordReceivedWhole() {
      received = true;
      updateReservation();
      resumeStopped();
    }

    /** Records bytes that the caller has taken. */
    public void recordSent(long bytes) {
      sentBytes += bytes;
      heldBytes -= bytes;
      updateReservation();
      resumeStopped();
    }

    /** Ends the transfer and gives back its room. May be called more than once. */
    public void end(long nowNanos) {
      if (ended) {
        return;
      }
      departureRate.advance(nowNanos, reservedBytes > 0);
      departureRate.recordDeparture();
      heldBytes -= held();
      ended = true;
      stopped.remove(this);
      updateReservation();
      resumeStopped();
    }

    /** Returns how much of the response has arrived. */
    public long receivedBytes() {
      return receivedBytes;
    }

    /** Returns how much of the response the caller has taken. */
    public long sentBytes() {
      return sentBytes;
    }

    private long held() {
      return ended ? 0 : receivedBytes - sentBytes;
    }

    private void updateReservation() {
      long remaining = received ? 0 : Math.max(expectedBytes - sentBytes, MIN_WINDOW_BYTES);
      long now = ended ? 0 : Math.max(held(), remaining);
      long change = now - reserved;
      reserved = now;
      reservedBytes += change;
      reservedByCaller.merge(caller, change, Long::sum);
      reservedByCaller.remove(caller, 0L);
    }
  }

  /** Lets the transfers that had to stop ask again, in the order in which they stopped. */
  private void resumeStopped() {
    if (stopped.isEmpty()) {
      return;
    }
    ImmutableList<Transfer> asking = ImmutableList.copyOf(stopped);
    stopped.clear();
    asking.stream().filter(transfer -> !transfer.ended).forEach(transfer -> transfer.onRoom.run());
  }
}
