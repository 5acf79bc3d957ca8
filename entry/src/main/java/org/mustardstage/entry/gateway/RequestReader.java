package org.mustardstage.entry.gateway;

import com.google.common.collect.ImmutableList;
import com.google.common.primitives.Longs;
import io.activej.http.HttpHeader;
import io.activej.http.HttpHeaders;
import io.activej.http.HttpMethod;
import io.activej.http.HttpRequest;
import io.vavr.control.Either;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import org.mustardstage.core.gateway.GatewayConfig;
import org.mustardstage.core.gateway.RoutingRule;
import org.mustardstage.entry.traffic.Headers;

/** Reads the head of a caller's request: what it asks for, by when, and whether it may. */
final class RequestReader {
  private static final String CHUNKED = "chunked";

  private final HeaderNames dialect;
  private final HttpHeader requestId;
  private final HttpHeader deadlineMillis;
  private final HttpHeader expectedEndpoint;

  RequestReader(HeaderNames dialect) {
    this.dialect = dialect;
    this.requestId = HttpHeaders.of(dialect.requestId());
    this.deadlineMillis = HttpHeaders.of(dialect.deadlineMillis());
    this.expectedEndpoint = HttpHeaders.of(dialect.expectedEndpoint());
  }

  /** What is wrong with a request. */
  enum Problem {
    /** The framing or a header can't be read. */
    MALFORMED(400),
    /** No rule leads anywhere. */
    NO_ROUTE(404),
    /** The body is larger than callers may send. */
    BODY_TOO_LARGE(413);

    private final int status;

    Problem(int status) {
      this.status = status;
    }

    int status() {
      return status;
    }
  }

  /**
   * The head of a request.
   *
   * @param id the caller's id
   * @param rule the rule
   * @param object what it is about, if the rule keeps objects together
   * @param headers the headers that are passed on
   * @param deadlineNanos when the caller stops waiting, or the rule's timeout
   */
  record Head(
      String id,
      RoutingRule rule,
      Optional<String> object,
      HeaderList headers,
      long deadlineNanos) {}

  /** Returns the head of {@code request}, or what is wrong with it. */
  Either<Problem, Head> read(HttpRequest request, GatewayConfig config, long arrivedNanos) {
    Optional<Problem> framing = checkFraming(request, config);
    if (framing.isPresent()) {
      return Either.left(framing.get());
    }
    String host = request.getHeader(HttpHeaders.HOST);
    if (host == null) {
      return Either.left(Problem.MALFORMED);
    }
    Optional<RoutingRule> rule = config.findRule(host, request.getPath());
    if (rule.isEmpty()) {
      return Either.left(Problem.NO_ROUTE);
    }
    String id = request.getHeader(requestId);
    return Either.right(
        new Head(
            id == null ? "" : id,
            rule.get(),
            rule.get().affinity() ? objectOf(request) : Optional.empty(),
            passedOn(request),
            deadlineNanos(request, rule.get(), arrivedNanos)));
  }

  private static Optional<Problem> checkFraming(HttpRequest request, GatewayConfig config) {
    HttpMethod method = request.getMethod();
    if (method == HttpMethod.CONNECT || method == HttpMethod.TRACE) {
      return Optional.of(Problem.MALFORMED);
    }
    String encoding = request.getHeader(HttpHeaders.TRANSFER_ENCODING);
    List<String> lengths = valuesOf(request, HttpHeaders.CONTENT_LENGTH);
    boolean unknownEncoding = encoding != null && !encoding.trim().equalsIgnoreCase(CHUNKED);
    boolean ambiguous = lengths.size() > 1 || (!lengths.isEmpty() && encoding != null);
    if (unknownEncoding || ambiguous) {
      return Optional.of(Problem.MALFORMED);
    }
    if (lengths.isEmpty()) {
      return Optional.empty();
    }
    Long length = Longs.tryParse(lengths.getFirst().trim());
    if (length == null || length < 0) {
      return Optional.of(Problem.MALFORMED);
    }
    return length > config.callerLimits().maxBodyBytes()
        ? Optional.of(Problem.BODY_TOO_LARGE)
        : Optional.empty();
  }

  private static ImmutableList<String> valuesOf(HttpRequest request, HttpHeader header) {
    ImmutableList.Builder<String> values = ImmutableList.builder();
    request.forEachHeader(
        header,
        value -> {
          values.add(value.toString());
          return true;
        });
    return values.build();
  }

  private Optional<String> objectOf(HttpRequest request) {
    for (String cookies : valuesOf(request, HttpHeaders.COOKIE)) {
      for (String cookie : cookies.split(";", -1)) {
        String text = cookie.trim();
        if (text.startsWith(dialect.affinityCookie() + "=")) {
          return Optional.of(text.substring(dialect.affinityCookie().length() + 1));
        }
      }
    }
    return Optional.empty();
  }

  private long deadlineNanos(HttpRequest request, RoutingRule rule, long arrivedNanos) {
    long millis = rule.timeoutMillis();
    String stated = request.getHeader(deadlineMillis);
    if (stated != null) {
      Long statedMillis = Longs.tryParse(stated.trim());
      if (statedMillis != null && statedMillis >= 0) {
        millis = Math.min(millis, statedMillis);
      }
    }
    return arrivedNanos + TimeUnit.MILLISECONDS.toNanos(millis);
  }

  private HeaderList passedOn(HttpRequest request) {
    String connection = request.getHeader(HttpHeaders.CONNECTION);
    String named = connection == null ? "" : connection.toLowerCase(Locale.ROOT);
    List<HeaderList.Line> lines = new ArrayList<>();
    request.forEachHeader(
        (header, value) -> {
          String name = header.toString();
          boolean perConnection =
              Headers.isHopByHop(header) || isNamed(named, name.toLowerCase(Locale.ROOT));
          if (!perConnection && !isSetHere(header)) {
            lines.add(new HeaderList.Line(name, value.toString()));
          }
          return true;
        });
    return new HeaderList(lines);
  }

  private static boolean isNamed(String connectionOptions, String name) {
    for (String option : connectionOptions.split(",", -1)) {
      if (option.trim().equals(name)) {
        return true;
      }
    }
    return false;
  }

  private boolean isSetHere(HttpHeader header) {
    return header.equals(HttpHeaders.CONTENT_LENGTH)
        || header.equals(HttpHeaders.ACCEPT_ENCODING)
        || header.equals(deadlineMillis)
        || header.equals(expectedEndpoint);
  }
}
