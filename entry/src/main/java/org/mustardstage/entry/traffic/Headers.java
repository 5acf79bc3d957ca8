package org.mustardstage.entry.traffic;

import com.google.common.collect.ImmutableSet;
import io.activej.http.HttpHeader;
import io.activej.http.HttpHeaders;

/** Names of the HTTP headers in the caller and endpoint APIs. */
public final class Headers {
  static final HttpHeader SERVICE = HttpHeaders.register("Mustardstage-Service");
  static final HttpHeader DEADLINE_MILLIS = HttpHeaders.register("Mustardstage-Deadline-Millis");
  static final HttpHeader IDEMPOTENCY_KEY = HttpHeaders.register("Mustardstage-Idempotency-Key");
  static final HttpHeader OUTCOME = HttpHeaders.register("Mustardstage-Outcome");
  static final HttpHeader ERROR = HttpHeaders.register("Mustardstage-Error");
  static final HttpHeader RETRY_AFTER_MILLIS =
      HttpHeaders.register("Mustardstage-Retry-After-Millis");
  static final HttpHeader VM = HttpHeaders.register("Mustardstage-Vm");
  static final HttpHeader ENDPOINT = HttpHeaders.register("Mustardstage-Endpoint");
  static final HttpHeader REQUEST_ID = HttpHeaders.register("Mustardstage-Request-Id");
  static final HttpHeader REFUSED = HttpHeaders.register("Mustardstage-Refused");
  static final HttpHeader LOAD = HttpHeaders.register("Mustardstage-Load");
  static final HttpHeader DRAINING = HttpHeaders.register("Mustardstage-Draining");
  static final HttpHeader PASSED_ON_BY = HttpHeaders.register("Mustardstage-Passed-On-By");

  private static final ImmutableSet<HttpHeader> HOP_BY_HOP =
      ImmutableSet.of(
          HttpHeaders.CONNECTION,
          HttpHeaders.KEEP_ALIVE,
          HttpHeaders.of("Proxy-Connection"),
          HttpHeaders.TE,
          HttpHeaders.TRAILER,
          HttpHeaders.TRANSFER_ENCODING,
          HttpHeaders.UPGRADE,
          HttpHeaders.EXPECT);

  private static final ImmutableSet<HttpHeader> SET_BY_ENTRY =
      ImmutableSet.of(
          SERVICE,
          DEADLINE_MILLIS,
          IDEMPOTENCY_KEY,
          REQUEST_ID,
          PASSED_ON_BY,
          HttpHeaders.HOST,
          HttpHeaders.CONTENT_LENGTH,
          HttpHeaders.ACCEPT_ENCODING);

  private Headers() {}

  /** Returns whether an entry VM sets {@code header} itself on requests to endpoints. */
  static boolean isSetByEntry(HttpHeader header) {
    return SET_BY_ENTRY.contains(header);
  }

  /** Returns whether {@code header} is a hop-by-hop header, which must not be forwarded. */
  public static boolean isHopByHop(HttpHeader header) {
    return HOP_BY_HOP.contains(header);
  }
}
