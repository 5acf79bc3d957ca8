package org.mustardstage.cli;

import com.google.common.collect.ImmutableList;
import com.google.common.net.HostAndPort;
import java.io.IOException;
import java.net.ConnectException;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpConnectTimeoutException;
import java.net.http.HttpRequest;
import java.net.http.HttpRequest.BodyPublishers;
import java.net.http.HttpResponse;
import java.net.http.HttpResponse.BodyHandlers;
import java.time.Duration;
import java.util.List;

/** Calls the operator API of the first reachable entry VM of a list. */
final class OperatorClient {
  private static final Duration CONNECT_TIMEOUT = Duration.ofSeconds(2);
  private static final Duration REQUEST_TIMEOUT = Duration.ofSeconds(30);
  private static final String VERSION_HEADER = "Mustardstage-Version";

  private final List<HostAndPort> entryVms;
  private final HttpClient client =
      HttpClient.newBuilder()
          .version(HttpClient.Version.HTTP_1_1)
          .connectTimeout(CONNECT_TIMEOUT)
          .build();

  OperatorClient(List<HostAndPort> entryVms) {
    this.entryVms = ImmutableList.copyOf(entryVms);
  }

  /** Sends a GET request for {@code path}. */
  CallResult get(String path) {
    return callFirstReachable(path, HttpRequest.newBuilder().GET());
  }

  /** Sends a POST request with the body {@code json} to {@code path}. */
  CallResult post(String path, byte[] json) {
    return callFirstReachable(
        path,
        HttpRequest.newBuilder()
            .header("Content-Type", "application/json")
            .POST(BodyPublishers.ofByteArray(json)));
  }

  private CallResult callFirstReachable(String path, HttpRequest.Builder request) {
    CallResult result =
        new CallResult.Unreachable("no entry VM given: use --vm or MUSTARDSTAGE_ADMIN");
    for (HostAndPort entryVm : entryVms) {
      result = callEntryVm(entryVm, path, request);
      if (!(result instanceof CallResult.Unreachable)) {
        return result;
      }
    }
    return result;
  }

  private CallResult callEntryVm(HostAndPort entryVm, String path, HttpRequest.Builder request) {
    HttpRequest httpRequest =
        request.uri(URI.create("http://" + entryVm + path)).timeout(REQUEST_TIMEOUT).build();
    try {
      HttpResponse<String> response = client.send(httpRequest, BodyHandlers.ofString());
      return new CallResult.Response(
          response.statusCode(),
          response.headers().firstValue(VERSION_HEADER).orElse(""),
          response.body());
    } catch (ConnectException | HttpConnectTimeoutException e) {
      return new CallResult.Unreachable("can't connect to entry VM " + entryVm);
    } catch (IOException e) {
      return new CallResult.Incomplete(entryVm + " sent no complete response: " + e);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
      return new CallResult.Incomplete("interrupted");
    }
  }
}
