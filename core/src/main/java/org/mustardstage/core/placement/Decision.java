package org.mustardstage.core.placement;

import org.mustardstage.core.gateway.RegisteredEndpoint;

/** What a scheduler decided about an ask. */
public sealed interface Decision {
  /** Returns the ask. */
  Ask ask();

  /**
   * The request is to be sent to an endpoint now; {@link ServiceScheduler#release} ends the use.
   *
   * @param ask the ask
   * @param endpoint the endpoint
   * @param warm whether the endpoint is believed to have handled the object lately
   * @param expectedNanos how long the answer is expected to take
   */
  record Placed(Ask ask, RegisteredEndpoint endpoint, boolean warm, long expectedNanos)
      implements Decision {}

  /**
   * The request can't be served now.
   *
   * @param ask the ask
   * @param reason why
   * @param retryAfterMillis when a slot is likely to be free
   */
  record TurnedAway(Ask ask, TurnAwayReason reason, long retryAfterMillis) implements Decision {}
}
