package org.mustardstage.standins.http;

import io.activej.http.HttpHeaders;
import io.activej.http.HttpResponse;
import io.activej.promise.Promise;
import java.util.List;
import java.util.Map;
import org.mustardstage.core.manifest.DocumentProblem;
import org.mustardstage.schema.JsonMessages;

/** Creates HTTP responses with JSON bodies. */
public final class JsonResponses {
  private static final int OK = 200;
  private static final int BAD_REQUEST = 400;

  private JsonResponses() {}

  /** Returns a response with status 200 and {@code message}, of a generated class, as its body. */
  public static Promise<HttpResponse> ok(Object message) {
    return withStatus(OK, message);
  }

  /**
   * Returns a response with {@code status} and {@code message}, of a generated class, as its body.
   */
  public static Promise<HttpResponse> withStatus(int status, Object message) {
    return HttpResponse.ofCode(status)
        .withHeader(HttpHeaders.CONTENT_TYPE, "application/json")
        .withBody(JsonMessages.write(message))
        .toPromise();
  }

  /** Returns an error response whose body holds {@code code}. */
  public static Promise<HttpResponse> failure(int status, String code) {
    return withStatus(status, Map.of("code", code));
  }

  /** Returns a response with status 400 that lists every problem of a request body. */
  public static Promise<HttpResponse> malformed(List<DocumentProblem> problems) {
    List<String> descriptions =
        problems.stream().map(problem -> problem.path() + ": " + problem.description()).toList();
    return withStatus(BAD_REQUEST, Map.of("code", "malformed", "problems", descriptions));
  }
}
