package org.mustardstage.cli;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.MissingNode;
import java.nio.charset.StandardCharsets;
import java.util.function.Function;
import org.mustardstage.schema.JsonMessages;

/** Maps results of calls to the operator API to exit codes and error output. */
final class ResponseHandler {
  private static final int HTTP_OK = 200;
  private static final int HTTP_BAD_REQUEST = 400;
  private static final int HTTP_CONFLICT = 409;
  private static final int HTTP_UNPROCESSABLE = 422;
  private static final int HTTP_BAD_GATEWAY = 502;
  private static final int HTTP_UNAVAILABLE = 503;

  private ResponseHandler() {}

  /**
   * Returns the exit code of {@code onOk} for a response with status 200. Otherwise prints the
   * error and returns its exit code.
   */
  static ExitCode handle(
      CallResult result, Console console, Function<CallResult.Response, ExitCode> onOk) {
    return switch (result) {
      case CallResult.Response response when response.status() == HTTP_OK -> onOk.apply(response);
      case CallResult.Response response -> reportError(response, console);
      case CallResult.Unreachable(String detail) -> {
        console.err().println(detail);
        yield ExitCode.UNAVAILABLE;
      }
      case CallResult.Incomplete(String detail) -> {
        console.err().println(detail);
        yield ExitCode.OUTCOME_UNKNOWN;
      }
    };
  }

  /** Returns {@code body} parsed as JSON, or a missing node if it is not JSON. */
  static JsonNode parseJson(String body) {
    return JsonMessages.readTree(body.getBytes(StandardCharsets.UTF_8))
        .getOrElse(MissingNode.getInstance());
  }

  private static ExitCode reportError(CallResult.Response response, Console console) {
    JsonNode body = parseJson(response.body());
    console.err().println(body.path("code").asText("status " + response.status()));
    for (String key : new String[] {"detail", "currentVersion"}) {
      if (body.hasNonNull(key)) {
        console.err().println("  " + key + ": " + body.path(key).asText());
      }
    }
    body.path("problems")
        .forEach(
            problem ->
                console
                    .err()
                    .println(
                        problem.path("path").asText()
                            + ": "
                            + problem.path("description").asText()));
    return switch (response.status()) {
      case HTTP_BAD_REQUEST -> ExitCode.USAGE;
      case HTTP_CONFLICT -> ExitCode.CONFLICT;
      case HTTP_UNPROCESSABLE -> ExitCode.INVALID;
      case HTTP_BAD_GATEWAY -> ExitCode.OUTCOME_UNKNOWN;
      case HTTP_UNAVAILABLE -> ExitCode.UNAVAILABLE;
      default -> ExitCode.UNEXPECTED_RESPONSE;
    };
  }
}
