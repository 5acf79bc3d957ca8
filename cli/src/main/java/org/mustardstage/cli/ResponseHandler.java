package org.mustardstage.cli;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.MissingNode;
import java.nio.charset.StandardCharsets;
import java.util.function.Function;
import org.mustardstage.schema.JsonMessages;

/** Turns answers of the operator API into results of a command. */
final class ResponseHandler {
  private static final int HTTP_OK = 200;
  private static final int HTTP_BAD_REQUEST = 400;
  private static final int HTTP_CONFLICT = 409;
  private static final int HTTP_UNPROCESSABLE = 422;
  private static final int HTTP_BAD_GATEWAY = 502;
  private static final int HTTP_UNAVAILABLE = 503;

  private ResponseHandler() {}

  /** Returns the result of {@code onOk} for a good answer, else says what is wrong with it. */
  static ExitCode handle(
      CallResult answer, Console console, Function<CallResult.Response, ExitCode> onOk) {
    return switch (answer) {
      case CallResult.Response received when received.status() == HTTP_OK ->
          onOk.apply(received);
      case CallResult.Response received -> reportError(received, console);
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

  /** Returns {@code body} as JSON; a missing value if it is none. */
  static JsonNode parseJson(String body) {
    return JsonMessages.readTree(body.getBytes(StandardCharsets.UTF_8))
        .getOrElse(MissingNode.getInstance());
  }

  private static ExitCode reportError(CallResult.Response received, Console console) {
    JsonNode body = parseJson(received.body());
    console.err().println(body.path("code").asText("status " + received.status()));
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
    return switch (received.status()) {
      case HTTP_BAD_REQUEST -> ExitCode.USAGE;
      case HTTP_CONFLICT -> ExitCode.CONFLICT;
      case HTTP_UNPROCESSABLE -> ExitCode.INVALID;
      case HTTP_BAD_GATEWAY -> ExitCode.OUTCOME_UNKNOWN;
      case HTTP_UNAVAILABLE -> ExitCode.UNAVAILABLE;
      default -> ExitCode.UNEXPECTED_RESPONSE;
    };
  }
}
