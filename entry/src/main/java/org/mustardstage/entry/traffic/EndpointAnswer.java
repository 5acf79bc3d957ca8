package org.mustardstage.entry.traffic;

import io.activej.http.HttpHeader;
import io.activej.http.HttpHeaders;
import io.activej.http.HttpResponse;
import java.util.OptionalLong;

/**
 * The answer of an endpoint.
 *
 * @param status the HTTP status
 * @param headers the headers that are passed on
 * @param body the body
 */
record EndpointAnswer(int status, HeaderLines headers, Body body) {
  private static final int NO_CONTENT = 204;
  private static final int NOT_MODIFIED = 304;

  /** Returns whether the end of the body of {@code response} can be told from a broken link. */
  static boolean hasStatedEnd(HttpResponse response) {
    if (response.getCode() == NO_CONTENT || response.getCode() == NOT_MODIFIED) {
      return true;
    }
    return response.getConnection().isChunked() || ContentLengths.count(response) == 1;
  }

  /** Returns the headers of {@code response} that are passed on to the caller. */
  static HeaderLines passedOnHeaders(HttpResponse response) {
    boolean unzipped = response.getConnection().isGzipped();
    return HeaderLines.copyOf(response, header -> isPassedOn(header, unzipped));
  }

  /** Returns the length of the body as {@code response} states it, once unzipped. */
  static OptionalLong statedBytes(HttpResponse response) {
    boolean known = !response.getConnection().isGzipped() && !response.getConnection().isChunked();
    return known ? ContentLengths.of(response) : OptionalLong.empty();
  }

  private static boolean isPassedOn(HttpHeader header, boolean unzipped) {
    if (header.equals(HttpHeaders.CONTENT_ENCODING)) {
      return !unzipped;
    }
    return !header.equals(HttpHeaders.CONTENT_LENGTH) && !Headers.isHopByHop(header);
  }
}
