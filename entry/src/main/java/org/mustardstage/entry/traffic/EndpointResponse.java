package org.mustardstage.entry.traffic;

import io.activej.http.HttpHeader;
import io.activej.http.HttpHeaders;
import io.activej.http.HttpResponse;
import java.util.OptionalLong;

/**
 * The response of an endpoint.
 *
 * @param status the HTTP status
 * @param headers the headers to forward to the caller
 * @param body the body
 */
record EndpointResponse(int status, HeaderFields headers, Body body) {
  private static final int NO_CONTENT = 204;
  private static final int NOT_MODIFIED = 304;

  /**
   * Returns whether {@code response} defines the end of its body by its status, length or chunked
   * encoding, so that a truncated body can be distinguished from a complete one.
   */
  static boolean isSelfDelimiting(HttpResponse response) {
    if (response.getCode() == NO_CONTENT || response.getCode() == NOT_MODIFIED) {
      return true;
    }
    return response.getConnection().isChunked() || ContentLengths.count(response) == 1;
  }

  /** Returns the headers of {@code response} to forward to the caller. */
  static HeaderFields headersToForward(HttpResponse response) {
    boolean decompressed = response.getConnection().isGzipped();
    return HeaderFields.copyOf(response, header -> isForwarded(header, decompressed));
  }

  /** Returns the declared length of the body, or empty if it is chunked or was decompressed. */
  static OptionalLong contentLength(HttpResponse response) {
    boolean known = !response.getConnection().isGzipped() && !response.getConnection().isChunked();
    return known ? ContentLengths.parse(response) : OptionalLong.empty();
  }

  private static boolean isForwarded(HttpHeader header, boolean decompressed) {
    if (header.equals(HttpHeaders.CONTENT_ENCODING)) {
      return !decompressed;
    }
    return !header.equals(HttpHeaders.CONTENT_LENGTH)
        && !header.equals(Headers.REQUEST_ID)
        && !Headers.isHopByHop(header);
  }
}
