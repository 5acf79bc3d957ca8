package org.mustardstage.entry.gateway;

import com.google.common.base.Preconditions;
import io.vavr.control.Either;
import java.io.IOException;
import java.util.function.LongSupplier;
import java.util.random.RandomGenerator;
import org.mustardstage.core.gateway.RoutingRule;
import org.mustardstage.core.transfer.ResponseSizeEstimator;
import org.mustardstage.core.transfer.TransferBudget;
import org.mustardstage.entry.log.Event;
import org.mustardstage.entry.log.EventLog;
import org.mustardstage.entry.traffic.CallerConnection;

/**
 * The large responses of one traffic thread: asks the budget for room before a request is sent, and
 * learns how large the responses of each rule are. Requests of other rules are not concerned.
 */
final class LargeResponses {
  private static final long INITIAL_RESPONSE_BYTES = 1 << 20;

  /** Allows one caller 50 Mbit/s at a round trip of 10 ms. */
  private static final int CALLER_SEND_BUFFER_BYTES = 64 << 10;

  private final TransferBudget<String> budget;
  private final ResponseSizeEstimator sizes = new ResponseSizeEstimator(INITIAL_RESPONSE_BYTES);
  private final GatewayMetrics metrics;

  /**
   * Creates a budget without transfers.
   *
   * @param capacityBytes the room for all large responses together
   * @param ordinaryBytes what ordinary responses hold at this moment
   */
  LargeResponses(long capacityBytes, LongSupplier ordinaryBytes, GatewayMetrics metrics) {
    this.budget = new TransferBudget<>(capacityBytes, ordinaryBytes, RandomGenerator.getDefault());
    this.metrics = metrics;
    metrics.measureLargeResponses(this::heldBytes, this::reservedBytes);
  }

  /** Reserves room for the response to a request, or says that the request must not be sent. */
  Either<RequestOutcome.NotRun, TransferBudget<String>.Transfer> begin(CallerRequest request) {
    RoutingRule rule = request.rule();
    Preconditions.checkArgument(
        rule.largeResponses(), "rule %s must have large responses", rule.name());
    String caller = callerOf(request);
    return budget
        .begin(System.nanoTime(), caller, sizes.expectedBytes(rule.name()))
        .mapLeft(refusal -> refuse(request, caller, refusal));
  }

  private RequestOutcome.NotRun refuse(
      CallerRequest request, String caller, TransferBudget.Refusal refusal) {
    metrics.recordLargeRequestRefused(request.rule());
    EventLog.log(
        Event.LARGE_REQUEST_REFUSED,
        "request",
        request.id(),
        "rule",
        request.rule().name(),
        "caller",
        caller,
        "neededBytes",
        refusal.neededBytes(),
        "freeBytes",
        refusal.freeBytes(),
        "callerBytes",
        refusal.callerBytes(),
        "retryAfterMillis",
        refusal.retryAfterMillis());
    return new RequestOutcome.NotRun(NotRunReasons.RESPONSES_FULL, refusal.retryAfterMillis());
  }

  /** Returns who shares room with others: the tenant, or the address if requests need no key. */
  private static String callerOf(CallerRequest request) {
    return request
        .tenant()
        .map(tenant -> "tenant " + tenant.name())
        .orElseGet(() -> request.callerAddress().getHostAddress());
  }

  /** Records the size of a response that arrived whole. */
  void recordSize(RoutingRule rule, long bytes) {
    sizes.record(rule.name(), bytes);
  }

  /**
   * Returns the outcome with a body that counts towards the budget until the caller has taken it.
   * Gives the room back at once if there is no body.
   */
  RequestOutcome track(
      CallerRequest request, RequestOutcome outcome, TransferBudget<String>.Transfer transfer) {
    if (!(outcome instanceof RequestOutcome.Responded responded)
        || (responded.response().stream().isEmpty() && responded.response().body().length == 0)) {
      transfer.end(System.nanoTime());
      return outcome;
    }
    EndpointResponse response = responded.response();
    if (response.stream().isPresent()) {
      return outcome;
    }
    if (response.isSuccess()) {
      recordSize(request.rule(), response.body().length);
    }
    return new RequestOutcome.Responded(
        response.withStream(StreamedBody.ofWhole(transfer, response.body())));
  }

  /** Limits what the operating system holds for a caller beside what counts here. */
  void limitSendBuffer(CallerConnection connection) {
    try {
      connection.limitSendBuffer(CALLER_SEND_BUFFER_BYTES);
    } catch (IOException e) {
      // The connection is closed, and the write of the response fails and ends it.
      EventLog.log(Event.SEND_BUFFER_NOT_LIMITED, e);
    }
  }

  /** Returns what all large responses hold. */
  long heldBytes() {
    return budget.heldBytes();
  }

  /** Returns the room that is reserved for all large responses. */
  long reservedBytes() {
    return budget.reservedBytes();
  }
}
