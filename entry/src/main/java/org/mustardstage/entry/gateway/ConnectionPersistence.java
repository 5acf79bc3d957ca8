package org.mustardstage.entry.gateway;

import com.google.common.primitives.Ints;
import java.util.Locale;
import java.util.Optional;
import org.mustardstage.core.http.HeaderList;

/** Reads from the headers of a response for how long its connection may be used. */
final class ConnectionPersistence {
  private static final String TIMEOUT = "timeout=";

  private ConnectionPersistence() {}

  /** Returns whether the server closes the connection after the response. */
  static boolean requestsClose(HeaderList headers) {
    return headers.all("Connection").stream()
        .anyMatch(value -> value.toLowerCase(Locale.ROOT).contains("close"));
  }

  /** Returns after how long the server closes an idle connection; empty if it does not say. */
  static Optional<Long> keepAliveMillis(HeaderList headers) {
    return headers.find("Keep-Alive").flatMap(ConnectionPersistence::parseMillis);
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
