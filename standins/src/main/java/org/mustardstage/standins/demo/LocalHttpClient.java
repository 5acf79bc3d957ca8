package org.mustardstage.standins.demo;

import java.io.IOException;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpRequest.BodyPublishers;
import java.net.http.HttpResponse;
import java.net.http.HttpResponse.BodyHandlers;
import java.time.Duration;
import java.util.Optional;

/** Sends blocking HTTP requests to the processes of a deployment. */
final class LocalHttpClient {
  private static final Duration TIMEOUT = Duration.ofSeconds(5);
  private static final int OK = 200;

  private final HttpClient client =
      HttpClient.newBuilder().version(HttpClient.Version.HTTP_1_1).connectTimeout(TIMEOUT).build();

  /**
   * Returns the body of the response; empty if its status isn't 200 or the exchange failed with an
   * I/O error.
   */
  Optional<byte[]> send(String method, String url) throws InterruptedException {
    HttpRequest request =
        HttpRequest.newBuilder(URI.create(url))
            .timeout(TIMEOUT)
            .method(method, BodyPublishers.noBody())
            .build();
    try {
      HttpResponse<byte[]> response = client.send(request, BodyHandlers.ofByteArray());
      return response.statusCode() == OK ? Optional.of(response.body()) : Optional.empty();
    } catch (IOException e) {
      return Optional.empty();
    }
  }
}
