package org.mustardstage.entry.traffic;

import io.activej.http.HttpHeaders;
import io.activej.http.HttpResponse;
import java.nio.charset.StandardCharsets;
import org.mustardstage.core.id.EndpointId;
import org.mustardstage.core.outcome.NotRunCause;
import org.mustardstage.core.outcome.Outcome;
import org.mustardstage.core.outcome.Outcome.NotRun;
import org.mustardstage.core.outcome.Outcome.OutcomeUnknown;
import org.mustardstage.core.outcome.Outcome.Responded;
import org.mustardstage.core.outcome.StoredResponse;
import org.mustardstage.core.outcome.UnknownOutcomeCause;

/** Writes what callers are told. */
final class Answers {
  private static final int OK = 200;
  private static final String JSON = "application/json; charset=utf-8";

  private final String vm;

  Answers(String vm) {
    this.vm = vm;
  }

  /** Returns a look-up answer. */
  HttpResponse lookup(byte[] json) {
    return HttpResponse.ofCode(OK)
        .withHeader(HttpHeaders.CONTENT_TYPE, JSON)
        .withHeader(Headers.VM, vm)
        .withBody(json)
        .build();
  }

  /** Returns the answer to a request that was carried to endpoints. */
  HttpResponse of(ExchangeResult result, CallerConnection connection) {
    return switch (result) {
      case ExchangeResult.Answered answered -> {
        Body body = watched(answered.answer().body(), connection);
        EndpointAnswer answer = answered.answer();
        yield answered(
            new EndpointAnswer(answer.status(), answer.headers(), body), answered.endpoint());
      }
      case ExchangeResult.Failed failed -> failed(failed.outcome());
    };
  }

  /** Returns the answer of an endpoint. */
  HttpResponse answered(EndpointAnswer answer, EndpointId endpoint) {
    HttpResponse.Builder response = begin(answer.status(), new Responded(answer.status()));
    response.withHeader(Headers.ENDPOINT, endpoint.value());
    answer.headers().addTo(response);
    answer.body().addTo(response);
    return response.build();
  }

  /** Returns the kept answer of an endpoint to an earlier request with the same key. */
  HttpResponse replayed(StoredResponse answer) {
    HttpResponse.Builder response = begin(answer.status(), new Responded(answer.status()));
    HeaderLines.of(answer.headers()).addTo(response);
    new Body.Held(answer.body().bytes()).addTo(response);
    return response.build();
  }

  /** Returns the answer of another entry VM, which has all headers. */
  HttpResponse relayed(EndpointAnswer answer) {
    HttpResponse.Builder response = HttpResponse.ofCode(answer.status());
    answer.headers().addTo(response);
    answer.body().addTo(response);
    return response.build();
  }

  /** Returns the answer to a request that was not run. */
  HttpResponse notRun(NotRunCause cause) {
    return failed(new NotRun(cause, 0));
  }

  /** Returns the answer to a request that has no answer of an endpoint. */
  HttpResponse failed(Outcome outcome) {
    return switch (outcome) {
      case NotRun notRun ->
          failure(
              outcome, notRun.cause().status(), notRun.cause().code(), notRun.retryAfterMillis());
      case OutcomeUnknown unknown -> {
        UnknownOutcomeCause cause = unknown.cause();
        yield failure(outcome, cause.status(), cause.code(), 0);
      }
      case Responded answered -> throw new IllegalArgumentException("not a failure: " + answered);
    };
  }

  private static Body watched(Body body, CallerConnection connection) {
    return body instanceof Body.Streamed streamed
        ? streamed.map(stream -> new AnswerBodyStream(stream, connection))
        : body;
  }

  private HttpResponse failure(Outcome outcome, int status, String code, long retryAfterMillis) {
    HttpResponse.Builder response = begin(status, outcome);
    response.withHeader(Headers.ERROR, code);
    response.withHeader(HttpHeaders.CONTENT_TYPE, JSON);
    if (outcome instanceof NotRun) {
      response.withHeader(Headers.RETRY_AFTER_MILLIS, Long.toString(retryAfterMillis));
    }
    response.withBody(json(outcome, code, retryAfterMillis));
    return response.build();
  }

  private HttpResponse.Builder begin(int status, Outcome outcome) {
    return HttpResponse.ofCode(status)
        .withHeader(Headers.OUTCOME, outcome.headerValue())
        .withHeader(Headers.VM, vm);
  }

  private static byte[] json(Outcome outcome, String code, long retryAfterMillis) {
    String text =
        "{\"code\":\"%s\",\"outcome\":\"%s\",\"detail\":\"see docs/errors.md#%s\",\"retryAfterMillis\":%d}"
            .formatted(code, outcome.headerValue(), code, retryAfterMillis);
    return text.getBytes(StandardCharsets.UTF_8);
  }
}
