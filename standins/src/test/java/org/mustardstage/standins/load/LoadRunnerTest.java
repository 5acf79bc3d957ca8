package org.mustardstage.standins.load;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.equalTo;
import static org.hamcrest.Matchers.lessThanOrEqualTo;

import io.activej.http.HttpResponse;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.function.BiFunction;
import org.junit.jupiter.api.Test;
import org.mustardstage.core.manifest.HostAndPort;
import org.mustardstage.core.manifest.Manifest;
import org.mustardstage.schema.ManifestReader;
import org.mustardstage.schema.SettingsReader;
import org.mustardstage.schema.generated.LoadCallSummary;
import org.mustardstage.schema.generated.LoadPlan;
import org.mustardstage.schema.generated.LoadSummary;
import org.mustardstage.standins.http.TestHttpClient;

/**
 * Guards against a load tool that misreports outcomes: it must count a request as not run only if
 * no attempt may have run, and retry a non-idempotent call only under the same idempotency key.
 */
class LoadRunnerTest {
  private static final Manifest MANIFEST =
      ManifestReader.read(
              """
              schemaVersion: 1
              deployment: sample
              answerLifetimeMillis: 2000
              zones: [{name: regina-a, region: regina}]
              services:
                - name: desk
                  objective: latency
                  calls:
                    - {name: book, method: POST, pathPrefix: /bookings, idempotent: false, priority: non-idempotent, deadlineMillis: 20000}
                    - {name: sample, method: GET, pathPrefix: /samples, idempotent: true, priority: interactive, deadlineMillis: 20000}
                  endpoints:
                    - {name: desk-1, zone: regina-a, address: "127.0.0.1:1", slots: 1, connections: 1}
              callerBlocks: [{prefix: 10.0.0.0/8, region: regina}]
              """)
          .get();

  @Test
  void everyRequestGetsOneResponse() throws Exception {
    LoadSummary summary =
        runWithOneEntryVm("sample", (number, token) -> FakeEntryVm.response(token));

    LoadCallSummary call = summary.getCalls().getFirst();
    assertThat(call.getAnswered(), equalTo(summary.getPlanned()));
    assertThat(call.getAttempts(), equalTo(summary.getPlanned()));
    assertThat(call.getWrongAnswers(), equalTo(0L));
    assertThat(call.getP50Micros(), lessThanOrEqualTo(call.getP999Micros()));
  }

  @Test
  void sameSeedPlansSameRequests() throws Exception {
    LoadSummary first = runWithOneEntryVm("book", (number, token) -> FakeEntryVm.response(token));
    LoadSummary second = runWithOneEntryVm("book", (number, token) -> FakeEntryVm.response(token));

    assertThat(second.getNonIdempotentTokens(), equalTo(first.getNonIdempotentTokens()));
  }

  @Test
  void responseToAnotherRequestCountsAsWrong() throws Exception {
    LoadSummary summary =
        runWithOneEntryVm(
            "sample", (number, token) -> FakeEntryVm.response(number == 3 ? "other" : token));

    assertThat(summary.getCalls().getFirst().getWrongAnswers(), equalTo(1L));
  }

  @Test
  void retriesRequestThatWasNotRun() throws Exception {
    LoadSummary summary =
        runWithOneEntryVm(
            "sample",
            (number, token) ->
                number <= 3 ? FakeEntryVm.failure(503, "not-run") : FakeEntryVm.response(token));

    assertThat(summary.getCalls().getFirst().getAnswered(), equalTo(summary.getPlanned()));
    assertThat(summary.getNotRunTokens(), empty());
  }

  @Test
  void reportsNotRunWhenEveryAttemptWasNotRun() throws Exception {
    LoadSummary summary =
        runWithOneEntryVm("book", (number, token) -> FakeEntryVm.failure(503, "not-run"));

    assertThat(
        new HashSet<>(summary.getNotRunTokens()),
        equalTo(new HashSet<>(summary.getNonIdempotentTokens())));
    assertThat(summary.getUnknownTokens(), empty());
  }

  @Test
  void attemptWithUnknownResultMakesOutcomeUnknown() throws Exception {
    LoadSummary summary =
        runWithOneEntryVm(
            "book",
            (number, token) ->
                FakeEntryVm.failure(503, number == 1 ? "outcome-unknown" : "not-run"));

    assertThat(summary.getUnknownTokens().size(), equalTo(1));
  }

  @Test
  void retryOfNonIdempotentCallKeepsIdempotencyKey() throws Exception {
    FakeEntryVm entryVm =
        start(
            List.of(),
            (number, token) ->
                number == 1
                    ? FakeEntryVm.failure(502, "outcome-unknown")
                    : FakeEntryVm.response(token));
    LoadSummary summary = run("book", entryVm, List.of(entryVm.address()));

    long planned = summary.getPlanned();
    assertThat((long) entryVm.idempotencyKeys.size(), equalTo(planned + 1));
    assertThat((long) new HashSet<>(entryVm.idempotencyKeys).size(), equalTo(planned));
    assertThat(entryVm.idempotencyKeys.getFirst().startsWith("vm/1/t"), equalTo(true));
  }

  @Test
  void triesAnotherEntryVmWhenConnectFails() throws Exception {
    HostAndPort unreachable = TestHttpClient.hostAndPort(TestHttpClient.freeAddress());
    FakeEntryVm entryVm =
        start(List.of(unreachable), (number, token) -> FakeEntryVm.response(token));
    LoadSummary summary = run("book", entryVm, List.of(unreachable, entryVm.address()));

    assertThat(summary.getCalls().getFirst().getAnswered(), equalTo(summary.getPlanned()));
  }

  @Test
  void reportsNotRunWhenNoEntryVmIsReachable() throws Exception {
    HostAndPort unreachable = TestHttpClient.hostAndPort(TestHttpClient.freeAddress());
    LoadSummary summary = LoadMain.run(MANIFEST, plan("book"), List.of(unreachable));

    assertThat(
        new HashSet<>(summary.getNotRunTokens()),
        equalTo(new HashSet<>(summary.getNonIdempotentTokens())));
  }

  @Test
  void cachesLookupResponsesForTheirLifetime() throws Exception {
    FakeEntryVm entryVm = start(List.of(), (number, token) -> FakeEntryVm.response(token));
    run("sample", entryVm, List.of(entryVm.address()));

    assertThat(entryVm.lookups, lessThanOrEqualTo(2 * 10));
  }

  private static LoadSummary runWithOneEntryVm(
      String call, BiFunction<Integer, String, HttpResponse.Builder> responder) throws Exception {
    FakeEntryVm entryVm = start(List.of(), responder);
    return run(call, entryVm, List.of(entryVm.address()));
  }

  private static FakeEntryVm start(
      List<HostAndPort> others, BiFunction<Integer, String, HttpResponse.Builder> responder)
      throws IOException {
    InetSocketAddress address = TestHttpClient.freeAddress();
    List<HostAndPort> all = new ArrayList<>(others);
    all.add(TestHttpClient.hostAndPort(address));
    return new FakeEntryVm(address, all, responder);
  }

  private static LoadSummary run(String call, FakeEntryVm entryVm, List<HostAndPort> known)
      throws InterruptedException {
    try {
      return LoadMain.run(MANIFEST, plan(call), known);
    } finally {
      entryVm.stop();
    }
  }

  private static LoadPlan plan(String call) {
    return SettingsReader.read(
            """
            seed: 7
            requestsPerSecond: 200
            durationMillis: 300
            callers: 10
            calls: [{service: desk, call: %s, weight: 1}]
            """
                .formatted(call),
            LoadPlan.class)
        .get();
  }
}
