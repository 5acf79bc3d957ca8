package org.mustardstage.cli;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.MissingNode;
import java.nio.charset.StandardCharsets;
import java.util.function.Function;
import org.mustardstage.schema.JsonMessages;

/** Turns answers of the operator API into results of a command. */
final class Answers {
  private static final int HTTP_OK = 200;
  private static final int HTTP_BAD_REQUEST = 400;
  private static final int HTTP_CONFLICT = 409;
  private static final int HTTP_UNPROCESSABLE = 422;
  private static final int HTTP_BAD_GATEWAY = 502;
  private static final int HTTP_UNAVAILABLE = 503;

  private Answers() {}

  /** Returns the result of {@code onOk} for a good answer, else says what is wrong with it. */
  static ExitCode handle(
      OperatorAnswer answer, Console console, Function<OperatorAnswer.Received, ExitCode> onOk) {
    return switch (answer) {
      case OperatorAnswer.Received received when received.status() == HTTP_OK ->
          onOk.apply(received);
      case OperatorAnswer.Received received -> refused(received, console);
      case OperatorAnswer.Unreachable(String detail) -> {
        console.err().println(detail);
        yield ExitCode.UNAVAILABLE;
      }
      case OperatorAnswer.Broken(String detail) -> {
        console.err().println(detail);
        yield ExitCode.OUTCOME_UNKNOWN;
      }
    };
  }

  /** Returns {@code body} as JSON; a missing value if it is none. */
  static JsonNode json(String body) {
    return JsonMessages.readTree(body.getBytes(StandardCharsets.UTF_8))
        .getOrElse(MissingNode.getInstance());
  }

  private static ExitCode refused(OperatorAnswer.Received received, Console console) {
    JsonNode body = json(received.body());
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
      default -> ExitCode.UNEXPECTED_ANSWER;
    };
  }
}
