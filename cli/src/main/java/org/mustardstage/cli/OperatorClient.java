package org.mustardstage.cli;

import com.google.common.collect.ImmutableList;
import com.google.common.net.HostAndPort;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.net.URI;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.mustardstage.core.http.MalformedResponseException;
import org.mustardstage.core.http.ResponseLimits;
import org.mustardstage.core.http.ResponseParser;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** Calls the operator API of the first reachable entry VM of a list. */
final class OperatorClient {
  private static final Logger LOGGER = LoggerFactory.getLogger(OperatorClient.class);
  private static final Duration CONNECT_TIMEOUT = Duration.ofSeconds(2);
  private static final Duration REQUEST_TIMEOUT = Duration.ofSeconds(30);
  private static final ResponseLimits RESPONSE_LIMITS = ResponseLimits.withBodyOf(64 << 20);
  private static final int READ_BYTES = 16 << 10;
  private static final String VERSION_HEADER = "Mustardstage-Version";

  private final List<HostAndPort> entryVms;

  OperatorClient(List<HostAndPort> entryVms) {
    this.entryVms = ImmutableList.copyOf(entryVms);
  }

  /** Sends a GET request for {@code path}. */
  CallResult get(String path) {
    return callFirstReachable("GET", path, "", new byte[0]);
  }

  /** Sends a POST request with the body {@code json} to {@code path}. */
  CallResult post(String path, byte[] json) {
    String headers = "Content-Type: application/json\r\nContent-Length: " + json.length + "\r\n";
    return callFirstReachable("POST", path, headers, json);
  }

  private CallResult callFirstReachable(String method, String path, String headers, byte[] body) {
    CallResult result =
        new CallResult.Unreachable("no entry VM given: use --vm or MUSTARDSTAGE_ADMIN");
    for (HostAndPort entryVm : entryVms) {
      String head = encodeHead(method, URI.create("http://" + entryVm + path), headers);
      result = callEntryVm(entryVm, head.getBytes(StandardCharsets.ISO_8859_1), body);
      if (!(result instanceof CallResult.Unreachable)) {
        return result;
      }
    }
    return result;
  }

  private static String encodeHead(String method, URI uri, String headers) {
    String query = uri.getRawQuery() == null ? "" : "?" + uri.getRawQuery();
    return method
        + " "
        + uri.getRawPath()
        + query
        + " HTTP/1.1\r\nHost: "
        + uri.getRawAuthority()
        + "\r\nConnection: close\r\n"
        + headers
        + "\r\n";
  }

  private static CallResult callEntryVm(HostAndPort entryVm, byte[] head, byte[] body) {
    try (Socket socket = new Socket()) {
      try {
        socket.connect(
            new InetSocketAddress(entryVm.getHost(), entryVm.getPort()),
            (int) CONNECT_TIMEOUT.toMillis());
      } catch (IOException e) {
        return new CallResult.Unreachable("can't connect to entry VM " + entryVm + ": " + e);
      }
      closeAfterTimeout(socket);
      socket.getOutputStream().write(head);
      socket.getOutputStream().write(body);
      return toResult(readResponse(socket.getInputStream()));
    } catch (IOException | MalformedResponseException e) {
      return new CallResult.Incomplete(
          entryVm
              + " sent no complete response within "
              + REQUEST_TIMEOUT.toSeconds()
              + " s: "
              + e);
    }
  }

  /** Ends the call, whether it waits for a read or a write. */
  private static void closeAfterTimeout(Socket socket) {
    CompletableFuture.delayedExecutor(REQUEST_TIMEOUT.toMillis(), TimeUnit.MILLISECONDS)
        .execute(
            () -> {
              try {
                socket.close();
              } catch (IOException e) {
                LOGGER.debug("closing a connection after its timeout failed", e);
              }
            });
  }

  private static ResponseParser.Response readResponse(InputStream in)
      throws IOException, MalformedResponseException {
    ResponseParser parser = new ResponseParser(RESPONSE_LIMITS, /* withoutBody= */ false);
    byte[] buffer = new byte[READ_BYTES];
    Optional<ResponseParser.Response> response = Optional.empty();
    while (response.isEmpty()) {
      int length = in.read(buffer);
      if (length < 0) {
        return parser
            .atEndOfStream()
            .orElseThrow(() -> new IOException("connection ended within the response"));
      }
      parser.add(buffer, 0, length);
      response = parser.next();
    }
    return response.get();
  }

  private static CallResult toResult(ResponseParser.Response response) {
    return new CallResult.Response(
        response.head().status(),
        response.head().headers().find(VERSION_HEADER).orElse(""),
        new String(response.body(), StandardCharsets.UTF_8));
  }
}
