package org.mustardstage.entry.traffic;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import io.activej.http.HttpRequest;
import io.activej.promise.Promise;
import io.activej.promise.SettablePromise;
import io.activej.reactor.schedule.ScheduledRunnable;
import java.io.IOException;
import org.mustardstage.core.manifest.Endpoint;

/**
 * Sends control requests to endpoints: cancels of requests whose outcome is unknown, and probes of
 * connections. It sends no requests of callers.
 */
final class EndpointControlClient {
  private static final int MAX_RESPONSE_BYTES = 4 << 10;
  private static final int OK = 200;
  private static final ObjectMapper JSON = new ObjectMapper();

  private final TrafficThread thread;

  EndpointControlClient(TrafficThread thread) {
    this.thread = thread;
  }

  /** Asks the endpoint to cancel a request. The promise never fails. */
  Promise<CancelState> cancel(Endpoint endpoint, String requestId) {
    String url = "http://" + endpoint.address() + "/-/cancel?request=" + requestId;
    return send(endpoint, HttpRequest.post(url).withBody(new byte[0]).build())
        .map(EndpointControlClient::parseCancelState)
        .then((state, e) -> Promise.of(e == null ? state : CancelState.NO_RESPONSE));
  }

  /**
   * Probes {@code connection} and closes it if no response arrives in time. The promise never
   * fails.
   */
  Promise<ProbeResult> probe(EndpointConnection connection, Endpoint endpoint) {
    HttpRequest probe = HttpRequest.get("http://" + endpoint.address() + "/-/load").build();
    return send(connection, probe)
        .then(
            (body, e) -> {
              if (e == null) {
                return Promise.of(ProbeResult.ANSWERED);
              }
              boolean silent = e instanceof ResponseTimeoutException;
              return Promise.of(silent ? ProbeResult.SILENT : ProbeResult.CLOSED);
            });
  }

  private Promise<byte[]> send(Endpoint endpoint, HttpRequest request) {
    EndpointConnection connection = thread.poolFor(endpoint).createUnpooled();
    return send(connection, request).whenComplete(() -> thread.reactor().post(connection::close));
  }

  private Promise<byte[]> send(EndpointConnection connection, HttpRequest request) {
    SettablePromise<byte[]> result = new SettablePromise<>();
    ScheduledRunnable timeout =
        thread
            .reactor()
            .delay(
                thread.limits().controlRequestTimeoutMillis(),
                () -> {
                  result.trySetException(new ResponseTimeoutException());
                  connection.close();
                });
    connection
        .send(request, () -> true)
        .then(
            response ->
                response
                    .loadBody(MAX_RESPONSE_BYTES)
                    .map(body -> response.getCode() == OK ? body.getArray() : new byte[0]))
        .subscribe(
            (bytes, e) -> {
              timeout.cancel();
              result.trySet(bytes, e);
            });
    return result;
  }

  private static CancelState parseCancelState(byte[] body) {
    try {
      JsonNode state = JSON.readTree(body).path("state");
      return CancelState.parse(state.asText());
    } catch (IOException e) {
      return CancelState.NO_RESPONSE;
    }
  }

  /** Thrown when an endpoint does not respond to a control request in time. */
  private static final class ResponseTimeoutException extends Exception {
    private static final long serialVersionUID = 1L;

    ResponseTimeoutException() {
      super("endpoint did not respond before the timeout", null, false, false);
    }
  }
}
