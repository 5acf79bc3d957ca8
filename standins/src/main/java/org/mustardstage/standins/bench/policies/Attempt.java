package org.mustardstage.standins.bench.policies;

/** One attempt of a caller. */
final class Attempt {
  final long id;
  final CallType call;
  final int region;
  final int tries;
  final long startNanos;
  final long serviceNanos;
  boolean ended;

  Attempt(long id, CallType call, int region, int tries, long startNanos, long serviceNanos) {
    this.id = id;
    this.call = call;
    this.region = region;
    this.tries = tries;
    this.startNanos = startNanos;
    this.serviceNanos = serviceNanos;
  }

  /** Returns when the caller stops waiting. */
  long deadlineNanos() {
    return startNanos + call.deadlineNanos();
  }
}
