package org.mustardstage.entry.traffic;

import com.google.common.primitives.Longs;
import io.activej.http.HttpHeaders;
import io.activej.http.HttpMessage;
import java.util.OptionalLong;

/** Parses the {@code Content-Length} headers of a message. */
final class ContentLengths {
  private ContentLengths() {}

  /** Returns the number of {@code Content-Length} headers. */
  static int count(HttpMessage message) {
    int[] count = new int[1];
    message.forEachHeader(
        HttpHeaders.CONTENT_LENGTH,
        value -> {
          count[0]++;
          return true;
        });
    return count[0];
  }

  /** Returns the declared length, or empty if the header is missing or malformed. */
  static OptionalLong parse(HttpMessage message) {
    String text = message.getHeader(HttpHeaders.CONTENT_LENGTH);
    Long length = text == null ? null : Longs.tryParse(text.trim());
    return length == null || length < 0 ? OptionalLong.empty() : OptionalLong.of(length);
  }
}
