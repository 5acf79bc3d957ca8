package org.mustardstage.entry.traffic;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.hasSize;
import static org.hamcrest.Matchers.is;
import static org.mustardstage.entry.traffic.TestBed.await;
import static org.mustardstage.entry.traffic.TrafficServerTest.assertOutcome;

import java.io.IOException;
import java.net.http.HttpResponse;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CountDownLatch;
import org.junit.jupiter.api.AutoClose;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.mustardstage.core.id.VmIncarnation;
import org.mustardstage.core.manifest.HostAndPort;

/**
 * Requests with idempotency keys: replays, concurrent duplicates, and keys whose home VM is another
 * VM or gone. Guards against a request that runs twice under one key.
 */
@Timeout(60)
class KeyedRequestHandlerTest {
  @AutoClose private final TestBed bed = TestBed.start();
  private final TestEntryVm home = bed.entry;
  private final String key = home.fetchKeyPrefix() + "/order-1";

  @Test
  void retryGetsTheFirstResponseWithoutASecondRun() {
    bed.first.setScript(
        (request, response) -> response.respondOk("number " + bed.first.received().size()));

    assertThat(home.sendBookingWithKey(key, "x").body(), is("number 1"));
    assertThat(home.sendBookingWithKey(key, "x").body(), is("number 1"));
    assertThat(bed.first.received(), hasSize(1));
  }

  @Test
  void concurrentDuplicateWaitsForTheFirst() throws Exception {
    CountDownLatch release = new CountDownLatch(1);
    bed.first.setScript(
        (request, response) -> {
          await(() -> release.getCount() == 0);
          response.respondOk("once");
        });
    CompletableFuture<HttpResponse<String>> first = bookAsync(home);
    await(() -> bed.first.received().size() == 1);
    CompletableFuture<HttpResponse<String>> duplicate = bookAsync(home);
    release.countDown();

    assertThat(first.join().body(), is("once"));
    assertThat(duplicate.join().body(), is("once"));
    assertThat(bed.first.received(), hasSize(1));
  }

  @Test
  void unknownOutcomeStaysUnknown() {
    bed.first.setCancelState("done");
    bed.first.setScript((request, response) -> response.closeConnection());

    for (int i = 0; i < 2; i++) {
      assertOutcome(home.sendBookingWithKey(key, "x"), 502, "outcome-unknown", "answer-lost");
    }
    assertThat(bed.first.received(), hasSize(1));
  }

  @Test
  void rejectedRequestMayRunOnRetry() {
    bed.first.setScript((request, response) -> response.reject("overloaded"));
    bed.second.setScript((request, response) -> response.reject("overloaded"));
    assertOutcome(home.sendBookingWithKey(key, "x"), 503, "not-run", "no-endpoint");

    bed.first.setScript((request, response) -> response.respondOk("done"));
    assertOutcome(home.sendBookingWithKey(key, "x"), 200, "answered", "");
  }

  @Test
  void keyOfADifferentRequestIsRejected() {
    home.sendBookingWithKey(key, "x");

    assertOutcome(home.sendBookingWithKey(key, "y"), 422, "not-run", "key-reused");
  }

  @Test
  void outcomeIsUnknownForKeyOfAnotherIncarnation() {
    assertOutcome(
        home.sendBookingWithKey("vm-a/7/0/order-1", "x"), 502, "outcome-unknown", "key-home-gone");
    assertThat(bed.first.received(), hasSize(0));
  }

  @Test
  void otherVmForwardsTheRequestToTheHomeVm() throws IOException {
    try (TestEntryVm other = otherVm(Map.of(home.self(), home.address()))) {
      assertThat(other.sendBookingWithKey(key, "x").body(), is("done"));
      assertThat(home.sendBookingWithKey(key, "x").body(), is("done"));
    }
    assertThat(bed.first.received(), hasSize(1));
  }

  @Test
  void outcomeIsUnknownWhenTheHomeVmIsUnreachable() throws IOException {
    try (TestEntryVm other = otherVm(Map.of(home.self(), TestEntryVm.freeAddress()))) {
      assertOutcome(other.sendBookingWithKey(key, "x"), 502, "outcome-unknown", "key-home-gone");
    }
    assertThat(bed.first.received(), hasSize(0));
  }

  @Test
  void outcomeIsUnknownWhenTheHomeVmIsGone() throws IOException {
    try (TestEntryVm other = otherVm(Map.of())) {
      assertOutcome(other.sendBookingWithKey(key, "x"), 502, "outcome-unknown", "key-home-gone");
    }
  }

  private TestEntryVm otherVm(Map<VmIncarnation, HostAndPort> homes) throws IOException {
    return new TestEntryVm(
        "vm-b", TestEntryVm.settings(), bed.admission, vm -> Optional.ofNullable(homes.get(vm)));
  }

  private CompletableFuture<HttpResponse<String>> bookAsync(TestEntryVm entry) {
    return entry.sendAsync(entry.booking("x").header("Mustardstage-Idempotency-Key", key));
  }
}
