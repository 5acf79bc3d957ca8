package org.mustardstage.standins.http;

import io.activej.http.HttpHeader;
import io.activej.http.HttpHeaders;

/** The headers of {@code docs/design/interfaces.md}. */
public final class Headers {
  /** The service that a request is for. */
  public static final HttpHeader SERVICE = HttpHeaders.of("Mustardstage-Service");

  /** The time left for a request, in milliseconds. */
  public static final HttpHeader DEADLINE_MILLIS = HttpHeaders.of("Mustardstage-Deadline-Millis");

  /** The key under which a request may run once at most. */
  public static final HttpHeader IDEMPOTENCY_KEY = HttpHeaders.of("Mustardstage-Idempotency-Key");

  /** The name of one try of a request. */
  public static final HttpHeader REQUEST_ID = HttpHeaders.of("Mustardstage-Request-Id");

  /** What became of a request. */
  public static final HttpHeader OUTCOME = HttpHeaders.of("Mustardstage-Outcome");

  /** The code of a failure. */
  public static final HttpHeader ERROR = HttpHeaders.of("Mustardstage-Error");

  /** When a caller may come back, in milliseconds. */
  public static final HttpHeader RETRY_AFTER_MILLIS =
      HttpHeaders.of("Mustardstage-Retry-After-Millis");

  /** Why an endpoint refused a request before it ran. */
  public static final HttpHeader REFUSED = HttpHeaders.of("Mustardstage-Refused");

  /** The load of an endpoint. */
  public static final HttpHeader LOAD = HttpHeaders.of("Mustardstage-Load");

  /** Whether an endpoint is leaving. */
  public static final HttpHeader DRAINING = HttpHeaders.of("Mustardstage-Draining");

  /** The zone of a caller of the platform. */
  public static final HttpHeader ZONE = HttpHeaders.of("Mustardstage-Zone");

  private Headers() {}
}
