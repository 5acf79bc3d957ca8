package org.mustardstage.entry.gateway;

import com.google.common.primitives.Ints;
import java.util.Optional;
import org.mustardstage.core.http.HeaderList;

/** Reads how long a server keeps an idle connection open from its {@code Keep-Alive} header. */
final class KeepAliveTimeout {
  private static final String TIMEOUT = "timeout=";

  private KeepAliveTimeout() {}

  /** Returns the timeout in milliseconds; empty if the headers state none. */
  static Optional<Long> millisOf(HeaderList headers) {
    return headers.find("Keep-Alive").flatMap(KeepAliveTimeout::parseMillis);
  }

  private static Optional<Long> parseMillis(String keepAlive) {
    for (String part : keepAlive.split(",", -1)) {
      String text = part.trim();
      if (text.startsWith(TIMEOUT)) {
        Integer seconds = Ints.tryParse(text.substring(TIMEOUT.length()));
        return Optional.ofNullable(seconds).map(s -> 1_000L * s);
      }
    }
    return Optional.empty();
  }
}
