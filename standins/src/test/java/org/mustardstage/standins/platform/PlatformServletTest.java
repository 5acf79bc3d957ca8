package org.mustardstage.standins.platform;

import static java.nio.charset.StandardCharsets.UTF_8;
import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.equalTo;

import com.google.common.hash.Hashing;
import java.io.IOException;
import java.net.http.HttpResponse;
import java.util.concurrent.CompletableFuture;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.mustardstage.standins.http.StandInServer;
import org.mustardstage.standins.http.TestHttpClient;

/**
 * Guards against a platform stand-in that applies part of a transaction, or whose faults differ
 * from those of a real platform: a lost response after a commit, a cut-off zone, a lagging VM list.
 */
class PlatformServletTest {
  private static final String VM =
      """
      {"vm": "vm-1", "incarnation": 7, "zone": "regina-a", "region": "regina",
       "address": "127.0.1.1", "trafficPort": 1, "peerPort": 2, "adminPort": 3, "state": "live"}
      """;

  private StandInServer server;
  private TestHttpClient http;

  @BeforeEach
  void start() throws IOException {
    server = PlatformMain.start(TestHttpClient.freeAddress());
    http = new TestHttpClient(TestHttpClient.hostAndPort(server.address()));
  }

  @AfterEach
  void stop() throws InterruptedException {
    server.stop();
  }

  @Test
  void commitsWhenAllConditionsHold() {
    assertThat(commit("config/head", 0, "1"), equalTo(200));

    assertThat(
        http.sendForJson("GET", "/v1/rows/config/head", "").path("value").asInt(), equalTo(1));
  }

  @Test
  void writesNothingWhenOneConditionFails() {
    commit("a", 0, "1");
    String body =
        """
        {"conditions": [{"key": "a", "revision": 0}, {"key": "b", "revision": 0}],
         "writes": [{"key": "a", "value": 2}, {"key": "b", "value": 2}]}
        """;

    assertThat(status("POST", "/v1/transactions", body), equalTo(409));
    assertThat(http.sendForJson("GET", "/v1/rows/a", "").path("value").asInt(), equalTo(1));
    assertThat(status("GET", "/v1/rows/b", ""), equalTo(404));
  }

  @Test
  void rowRecreatedAfterDeletionHasNewRevision() {
    commit("a", 0, "1");
    long first = revision("a");
    http.send("POST", "/v1/transactions", "{\"conditions\": [], \"writes\": [{\"key\": \"a\"}]}");
    commit("a", 0, "1");

    assertThat(revision("a") == first, equalTo(false));
  }

  @Test
  void scanReturnsRowsWithPrefixInKeyOrder() {
    commit("x/2", 0, "2");
    commit("x/1", 0, "1");
    commit("y/1", 0, "3");

    assertThat(
        http.sendForJson("GET", "/v1/scan?prefix=x/", "").findValuesAsText("key").toString(),
        equalTo("[x/1, x/2]"));
  }

  @Test
  void storesObjectsOnlyUnderTheirHash() {
    String hash = Hashing.sha256().hashString("manifest", UTF_8).toString();

    assertThat(status("PUT", "/v1/objects/" + hash, "other"), equalTo(400));
    assertThat(status("GET", "/v1/objects/" + hash, ""), equalTo(404));
    assertThat(status("PUT", "/v1/objects/" + hash, "manifest"), equalTo(200));
    assertThat(
        new String(http.send("GET", "/v1/objects/" + hash, "").body(), UTF_8), equalTo("manifest"));
  }

  @Test
  void listsVmsUntilDeleted() {
    http.send("PUT", "/v1/vms/vm-1", VM);
    assertThat(listedVms(), equalTo("[vm-1]"));

    http.send("DELETE", "/v1/vms/vm-1", "");
    assertThat(listedVms(), equalTo("[]"));
  }

  @Test
  void laggingVmListOmitsRecentChange() {
    setFaults("{\"listLagMillis\": 600000}");
    http.send("PUT", "/v1/vms/vm-1", VM);

    assertThat(listedVms(), equalTo("[]"));
  }

  @Test
  void rejectsEveryCallWhileDown() {
    setFaults("{\"down\": true}");
    assertThat(commit("a", 0, "1"), equalTo(503));

    setFaults("{}");
    assertThat(status("GET", "/v1/rows/a", ""), equalTo(404));
  }

  @Test
  void transactionWithLostResponseIsCommitted() {
    setFaults("{\"loseAnswers\": 1}");
    CompletableFuture<HttpResponse<byte[]>> lost =
        http.sendAsync("POST", "/v1/transactions", transaction("a", 0, "1"));
    while (!lost.isDone() && status("GET", "/v1/rows/a", "") != 200) {
      Thread.onSpinWait();
    }
    assertThat(commit("b", 0, "1"), equalTo(200));

    assertThat(lost.isDone(), equalTo(false));
    assertThat(http.sendForJson("GET", "/v1/rows/a", "").path("value").asInt(), equalTo(1));
  }

  @Test
  void callsFromCutOffZoneHaveNoEffect() {
    setFaults("{\"cutZones\": [\"regina-a\"]}");
    CompletableFuture<HttpResponse<byte[]>> cut =
        http.sendAsync(
            "POST", "/v1/transactions", transaction("a", 0, "1"), "Mustardstage-Zone", "regina-a");
    assertThat(commit("b", 0, "1"), equalTo(200));

    assertThat(cut.isDone(), equalTo(false));
    assertThat(status("GET", "/v1/rows/a", ""), equalTo(404));
  }

  @ParameterizedTest
  @ValueSource(strings = {"", "{", "[]", "{\"conditions\": 1, \"writes\": []}", "{\"writes\": []}"})
  void rejectsMalformedTransactions(String body) {
    assertThat(status("POST", "/v1/transactions", body), equalTo(400));
  }

  private int commit(String key, long revision, String value) {
    return status("POST", "/v1/transactions", transaction(key, revision, value));
  }

  private static String transaction(String key, long revision, String value) {
    return """
        {"conditions": [{"key": "%s", "revision": %d}], "writes": [{"key": "%s", "value": %s}]}
        """
        .formatted(key, revision, key, value);
  }

  private long revision(String key) {
    return http.sendForJson("GET", "/v1/rows/" + key, "").path("revision").asLong();
  }

  private String listedVms() {
    return http.sendForJson("GET", "/v1/vms", "").findValuesAsText("vm").toString();
  }

  private void setFaults(String faults) {
    assertThat(status("POST", "/-/faults", faults), equalTo(200));
  }

  private int status(String method, String path, String body) {
    return http.send(method, path, body).statusCode();
  }
}
