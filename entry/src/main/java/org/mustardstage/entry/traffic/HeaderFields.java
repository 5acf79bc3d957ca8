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

/** A copy of header fields that stays valid after the buffers of their message are reused. */
final class HeaderFields {
  private final List<Field> fields;

  private HeaderFields(List<Field> fields) {
    this.fields = fields;
  }

  /** Returns a copy of the headers of {@code message} that match {@code predicate}. */
  static HeaderFields copyOf(HttpMessage message, Predicate<HttpHeader> predicate) {
    List<Field> fields = new ArrayList<>();
    message.forEachHeader(
        (header, value) -> {
          if (predicate.test(header)) {
            fields.add(new Field(HttpHeaders.of(header.toString()), value.toString()));
          }
          return true;
        });
    return new HeaderFields(fields);
  }

  /** Returns the headers of a stored response. */
  static HeaderFields of(List<StoredResponse.Header> headers) {
    return new HeaderFields(
        headers.stream().map(h -> new Field(HttpHeaders.of(h.name()), h.value())).toList());
  }

  /** Adds the headers to a request. */
  void addTo(HttpRequest.Builder request) {
    fields.forEach(field -> request.withHeader(field.header(), field.headerValue()));
  }

  /** Adds the headers to a response. */
  void addTo(HttpResponse.Builder response) {
    fields.forEach(field -> response.withHeader(field.header(), field.headerValue()));
  }

  /** Returns the headers in the form in which responses are stored. */
  ImmutableList<StoredResponse.Header> toStoredHeaders() {
    return fields.stream()
        .map(field -> new StoredResponse.Header(field.header().toString(), field.value()))
        .collect(ImmutableList.toImmutableList());
  }

  private record Field(HttpHeader header, String value) {
    HttpHeaderValue headerValue() {
      return HttpHeaderValue.ofBytes(value.getBytes(StandardCharsets.ISO_8859_1));
    }
  }
}
