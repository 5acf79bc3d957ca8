package org.mustardstage.entry.traffic;

import com.google.common.collect.ImmutableList;
import io.activej.http.HttpHeader;
import io.activej.http.HttpHeaderValue;
import io.activej.http.HttpHeaders;
import io.activej.http.HttpMessage;
import io.activej.http.HttpRequest;
import io.activej.http.HttpResponse;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.function.Predicate;
import org.mustardstage.core.outcome.StoredResponse;

/** Header lines that outlive the message they came with, whose buffers are reused. */
final class HeaderLines {
  private final List<Line> lines;

  private HeaderLines(List<Line> lines) {
    this.lines = lines;
  }

  /** Returns a copy of the headers of {@code message} that {@code kept} accepts. */
  static HeaderLines copyOf(HttpMessage message, Predicate<HttpHeader> kept) {
    List<Line> lines = new ArrayList<>();
    message.forEachHeader(
        (header, value) -> {
          if (kept.test(header)) {
            lines.add(new Line(HttpHeaders.of(header.toString()), value.toString()));
          }
          return true;
        });
    return new HeaderLines(lines);
  }

  /** Returns the lines of a remembered answer. */
  static HeaderLines of(List<StoredResponse.Header> headers) {
    return new HeaderLines(
        headers.stream().map(h -> new Line(HttpHeaders.of(h.name()), h.value())).toList());
  }

  /** Adds the lines to a request. */
  void addTo(HttpRequest.Builder request) {
    lines.forEach(line -> request.withHeader(line.header(), line.httpValue()));
  }

  /** Adds the lines to an answer. */
  void addTo(HttpResponse.Builder response) {
    lines.forEach(line -> response.withHeader(line.header(), line.httpValue()));
  }

  /** Returns the lines as {@code core} remembers them. */
  ImmutableList<StoredResponse.Header> toRemembered() {
    return lines.stream()
        .map(line -> new StoredResponse.Header(line.header().toString(), line.value()))
        .collect(ImmutableList.toImmutableList());
  }

  private record Line(HttpHeader header, String value) {
    HttpHeaderValue httpValue() {
      return HttpHeaderValue.ofBytes(value.getBytes(StandardCharsets.ISO_8859_1));
    }
  }
}
