package org.mustardstage.standins.http;

import io.activej.http.HttpHeader;
import io.activej.http.HttpHeaders;

/** The HTTP headers that {@code docs/design/interfaces.md} defines. */
public final class Headers {
  /** The service that a request is for. */
  public static final HttpHeader SERVICE = HttpHeaders.of("Mustardstage-Service");

  /** The time left until the deadline of a request, in milliseconds. */
  public static final HttpHeader DEADLINE_MILLIS = HttpHeaders.of("Mustardstage-Deadline-Millis");

  /** The key under which a request may run at most once. */
  public static final HttpHeader IDEMPOTENCY_KEY = HttpHeaders.of("Mustardstage-Idempotency-Key");

  /** The id of one attempt of a request. */
  public static final HttpHeader REQUEST_ID = HttpHeaders.of("Mustardstage-Request-Id");

  /** The outcome of a request. */
  public static final HttpHeader OUTCOME = HttpHeaders.of("Mustardstage-Outcome");

  /** The code of the error, if a request got no response from an endpoint. */
  public static final HttpHeader ERROR = HttpHeaders.of("Mustardstage-Error");

  /** The delay after which a caller may retry, in milliseconds. */
  public static final HttpHeader RETRY_AFTER_MILLIS =
      HttpHeaders.of("Mustardstage-Retry-After-Millis");

  /** Why an endpoint rejected a request without running it. */
  public static final HttpHeader REFUSED = HttpHeaders.of("Mustardstage-Refused");

  /** The load of an endpoint: slots in use and total slots, as in "3/8". */
  public static final HttpHeader LOAD = HttpHeaders.of("Mustardstage-Load");

  /** Present with the value "true" while an endpoint is draining. */
  public static final HttpHeader DRAINING = HttpHeaders.of("Mustardstage-Draining");

  /** The zone from which the platform is called. */
  public static final HttpHeader ZONE = HttpHeaders.of("Mustardstage-Zone");

  private Headers() {}
}
