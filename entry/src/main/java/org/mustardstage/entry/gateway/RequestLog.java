package org.mustardstage.entry.gateway;

import org.mustardstage.core.id.ConfigVersion;
import org.mustardstage.entry.log.Event;
import org.mustardstage.entry.log.EventLog;

/**
 * Logs and counts the requests of callers that have their outcome.
 *
 * @param metrics counts the requests
 */
record RequestLog(GatewayMetrics metrics) {
  /** Records that a request has its outcome. */
  void recordEnd(
      CallerRequest request,
      ConfigVersion configVersion,
      RequestExecution execution,
      RequestOutcome outcome) {
    long nowNanos = System.nanoTime();
    metrics.recordOutcome(
        request.rule(), request.tenant(), outcome, nowNanos - request.arrivalNanos());
    if (execution.isHedged()) {
      metrics.recordHedge(request.service(), execution.isOvertaken());
    }
    if (execution.lostAttempts() > 0) {
      EventLog.log(
          Event.ATTEMPTS_LOST,
          "request",
          request.id(),
          "fingerprint",
          request.fingerprint(),
          "callerAddress",
          request.callerAddress().getHostAddress(),
          "lost",
          execution.lostAttempts());
    }
    EventLog.log(
        Event.REQUEST_ENDED,
        "request",
        request.id(),
        "rule",
        request.rule().name(),
        "tenant",
        request.tenant().map(tenant -> tenant.name().value()).orElse(""),
        "config",
        configVersion,
        "service",
        request.service(),
        "object",
        request.affinityKey().orElse(""),
        "tries",
        execution.trace(),
        "tookMillis",
        (nowNanos - request.arrivalNanos()) / 1_000_000,
        "leftMillis",
        (request.deadlineNanos() - nowNanos) / 1_000_000,
        "end",
        describe(outcome));
  }

  private static String describe(RequestOutcome outcome) {
    return switch (outcome) {
      case RequestOutcome.Responded responded -> "answered " + responded.response().status();
      case RequestOutcome.NotRun notRun ->
          "not-run " + notRun.reason() + " retry-after " + notRun.retryAfterMillis();
      case RequestOutcome.Unknown unknown -> "unknown " + unknown.cause();
      case RequestOutcome.CallerDisconnected disconnected -> "caller-left";
    };
  }
}
