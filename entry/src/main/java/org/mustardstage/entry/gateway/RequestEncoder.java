package org.mustardstage.entry.gateway;

import com.google.common.collect.ImmutableList;
import java.io.ByteArrayOutputStream;
import java.nio.charset.StandardCharsets;
import java.util.List;
import org.mustardstage.core.gateway.RegisteredEndpoint;
import org.mustardstage.core.http.HeaderList;

/** Encodes requests as HTTP/1.1 for endpoints and for other VMs. */
final class RequestEncoder {
  private RequestEncoder() {}

  /**
   * Returns the bytes of {@code request} for {@code endpoint}, with a deadline in {@code
   * remainingMillis}.
   */
  static byte[] encode(
      CallerRequest request,
      RegisteredEndpoint endpoint,
      HeaderNames headerNames,
      long remainingMillis) {
    ImmutableList.Builder<HeaderList.Line> added = ImmutableList.builder();
    added.add(new HeaderList.Line(headerNames.expectedEndpoint(), endpoint.id().value()));
    request
        .tenant()
        .map(tenant -> new HeaderList.Line(headerNames.tenant(), tenant.name().value()))
        .ifPresent(added::add);
    return encode(request, added.build(), headerNames, remainingMillis);
  }

  /**
   * Returns the bytes of {@code request} with a deadline in {@code remainingMillis} and the headers
   * {@code added}.
   */
  static byte[] encode(
      CallerRequest request,
      List<HeaderList.Line> added,
      HeaderNames headerNames,
      long remainingMillis) {
    StringBuilder head = new StringBuilder(512);
    head.append(request.method())
        .append(' ')
        .append(request.pathAndQuery())
        .append(" HTTP/1.1\r\n");
    for (HeaderList.Line line : request.headers().lines()) {
      append(head, line.name(), line.value());
    }
    append(head, headerNames.deadlineMillis(), Long.toString(remainingMillis));
    for (HeaderList.Line line : added) {
      append(head, line.name(), line.value());
    }
    if (request.body().length > 0 || mayHaveBody(request)) {
      append(head, "Content-Length", Integer.toString(request.body().length));
    }
    head.append("\r\n");
    ByteArrayOutputStream bytes = new ByteArrayOutputStream(head.length() + request.body().length);
    bytes.writeBytes(head.toString().getBytes(StandardCharsets.ISO_8859_1));
    bytes.writeBytes(request.body());
    return bytes.toByteArray();
  }

  private static boolean mayHaveBody(CallerRequest request) {
    return switch (request.method()) {
      case POST, PUT, PATCH -> true;
      default -> false;
    };
  }

  private static void append(StringBuilder head, String name, String value) {
    head.append(name).append(": ").append(value).append("\r\n");
  }
}
