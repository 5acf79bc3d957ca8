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
record EndpointResponse(int status, HeaderFields headers, Body body) {
  private static final int NO_CONTENT = 204;
  private static final int NOT_MODIFIED = 304;

  /** Returns whether the end of the body of {@code response} can be told from a broken link. */
  static boolean isSelfDelimiting(HttpResponse response) {
    if (response.getCode() == NO_CONTENT || response.getCode() == NOT_MODIFIED) {
      return true;
    }
    return response.getConnection().isChunked() || ContentLengths.count(response) == 1;
  }

  /** Returns the headers of {@code response} that are passed on to the caller. */
  static HeaderFields forwardedHeaders(HttpResponse response) {
    boolean unzipped = response.getConnection().isGzipped();
    return HeaderFields.copyOf(response, header -> isForwarded(header, unzipped));
  }

  /** Returns the length of the body as {@code response} states it, once unzipped. */
  static OptionalLong contentLength(HttpResponse response) {
    boolean known = !response.getConnection().isGzipped() && !response.getConnection().isChunked();
    return known ? ContentLengths.parse(response) : OptionalLong.empty();
  }

  private static boolean isForwarded(HttpHeader header, boolean unzipped) {
    if (header.equals(HttpHeaders.CONTENT_ENCODING)) {
      return !unzipped;
    }
    return !header.equals(HttpHeaders.CONTENT_LENGTH) && !Headers.isHopByHop(header);
  }
}
