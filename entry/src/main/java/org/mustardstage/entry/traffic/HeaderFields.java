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
import org.mustardstage.core.outcome.RememberedAnswer;

/** Header lines that outlive the message they came with, whose buffers are reused. */
final class HeaderFields {
  private final List<Field> fields;

  private HeaderFields(List<Field> lines) {
    this.fields = lines;
  }

  /** Returns a copy of the headers of {@code message} that {@code kept} accepts. */
  static HeaderFields copyOf(HttpMessage message, Predicate<HttpHeader> kept) {
    List<Field> lines = new ArrayList<>();
    message.forEachHeader(
        (header, value) -> {
          if (kept.test(header)) {
            lines.add(new Field(HttpHeaders.of(header.toString()), value.toString()));
          }
          return true;
        });
    return new HeaderFields(lines);
  }

  /** Returns the lines of a remembered answer. */
  static HeaderFields of(List<RememberedAnswer.Header> headers) {
    return new HeaderFields(
        headers.stream().map(h -> new Field(HttpHeaders.of(h.name()), h.value())).toList());
  }

  /** Adds the lines to a request. */
  void addTo(HttpRequest.Builder request) {
    fields.forEach(line -> request.withHeader(line.header(), line.headerValue()));
  }

  /** Adds the lines to an answer. */
  void addTo(HttpResponse.Builder response) {
    fields.forEach(line -> response.withHeader(line.header(), line.headerValue()));
  }

  /** Returns the lines as {@code core} remembers them. */
  ImmutableList<RememberedAnswer.Header> toRemembered() {
    return fields.stream()
        .map(line -> new RememberedAnswer.Header(line.header().toString(), line.value()))
        .collect(ImmutableList.toImmutableList());
  }

  private record Field(HttpHeader header, String value) {
    HttpHeaderValue headerValue() {
      return HttpHeaderValue.ofBytes(value.getBytes(StandardCharsets.ISO_8859_1));
    }
  }
}
