package org.mustardstage.standins.bench.policies;

/** One request that a caller sends to an entry VM. A retry by the caller is a new request. */
final class CallerRequest {
  final long id;
  final CallType call;
  final int region;
  final int attemptNumber;
  final long startNanos;
  final long serviceTimeNanos;
  boolean ended;

  CallerRequest(
      long id,
      CallType call,
      int region,
      int attemptNumber,
      long startNanos,
      long serviceTimeNanos) {
    this.id = id;
    this.call = call;
    this.region = region;
    this.attemptNumber = attemptNumber;
    this.startNanos = startNanos;
    this.serviceTimeNanos = serviceTimeNanos;
  }

  /** Returns the time at which the caller stops waiting. */
  long deadlineNanos() {
    return startNanos + call.timeoutNanos();
  }
}
