package org.mustardstage.standins.http;

import io.activej.http.HttpHeaders;
import io.activej.http.HttpResponse;
import io.activej.promise.Promise;
import java.util.List;
import java.util.Map;
import org.mustardstage.core.manifest.DocumentProblem;
import org.mustardstage.schema.JsonMessages;

/** Makes HTTP answers with JSON bodies. */
public final class JsonResponses {
  private static final int OK = 200;
  private static final int BAD_REQUEST = 400;

  private JsonResponses() {}

  /** Returns an answer with status 200 and {@code message}, of a generated class, as its body. */
  public static Promise<HttpResponse> ok(Object message) {
    return withCode(OK, message);
  }

  /** Returns an answer with {@code message}, of a generated class, as its body. */
  public static Promise<HttpResponse> withCode(int status, Object message) {
    return HttpResponse.ofCode(status)
        .withHeader(HttpHeaders.CONTENT_TYPE, "application/json")
        .withBody(JsonMessages.write(message))
        .toPromise();
  }

  /** Returns a failure with a code. */
  public static Promise<HttpResponse> failure(int status, String code) {
    return withCode(status, Map.of("code", code));
  }

  /** Returns an answer that names all that is wrong with the body of a request. */
  public static Promise<HttpResponse> malformed(List<DocumentProblem> problems) {
    List<String> descriptions =
        problems.stream().map(problem -> problem.path() + ": " + problem.description()).toList();
    return withCode(BAD_REQUEST, Map.of("code", "malformed", "problems", descriptions));
  }
}
