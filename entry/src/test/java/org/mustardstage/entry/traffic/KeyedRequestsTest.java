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

/** Idempotency keys: replays, duplicates, and homes that are elsewhere or gone. */
@Timeout(60)
class KeyedRequestsTest {
  @AutoClose private final TestBed bed = TestBed.start();
  private final Entry home = bed.entry;
  private final String key = home.keyPrefix() + "/order-1";

  @Test
  void retryGetsTheFirstAnswerWithoutASecondRun() {
    bed.first.script((request, exchange) -> exchange.ok("number " + bed.first.received().size()));

    assertThat(home.bookWithKey(key, "x").body(), is("number 1"));
    assertThat(home.bookWithKey(key, "x").body(), is("number 1"));
    assertThat(bed.first.received(), hasSize(1));
  }

  @Test
  void concurrentDuplicateWaitsForTheFirst() throws Exception {
    CountDownLatch release = new CountDownLatch(1);
    bed.first.script(
        (request, exchange) -> {
          await(() -> release.getCount() == 0);
          exchange.ok("once");
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
    bed.first.cancelState("done");
    bed.first.script((request, exchange) -> exchange.hangUp());

    for (int i = 0; i < 2; i++) {
      assertOutcome(home.bookWithKey(key, "x"), 502, "outcome-unknown", "answer-lost");
    }
    assertThat(bed.first.received(), hasSize(1));
  }

  @Test
  void requestThatDidNotRunMayRunLater() {
    bed.first.script((request, exchange) -> exchange.refuse("overloaded"));
    bed.second.script((request, exchange) -> exchange.refuse("overloaded"));
    assertOutcome(home.bookWithKey(key, "x"), 503, "not-run", "no-endpoint");

    bed.first.script((request, exchange) -> exchange.ok("done"));
    assertOutcome(home.bookWithKey(key, "x"), 200, "answered", "");
  }

  @Test
  void keyOfAnotherRequestIsRefused() {
    home.bookWithKey(key, "x");

    assertOutcome(home.bookWithKey(key, "y"), 422, "not-run", "key-reused");
  }

  @Test
  void keyOfAnEarlierIncarnationIsUnknown() {
    assertOutcome(
        home.bookWithKey("vm-a/7/0/order-1", "x"), 502, "outcome-unknown", "key-home-gone");
    assertThat(bed.first.received(), hasSize(0));
  }

  @Test
  void otherVmPassesTheRequestToTheHome() throws IOException {
    try (Entry other = otherVm(Map.of(home.self(), home.address()))) {
      assertThat(other.bookWithKey(key, "x").body(), is("done"));
      assertThat(home.bookWithKey(key, "x").body(), is("done"));
    }
    assertThat(bed.first.received(), hasSize(1));
  }

  @Test
  void otherVmSaysUnknownWhenTheHomeCanNotBeReached() throws IOException {
    try (Entry other = otherVm(Map.of(home.self(), Entry.freeAddress()))) {
      assertOutcome(other.bookWithKey(key, "x"), 502, "outcome-unknown", "key-home-gone");
    }
    assertThat(bed.first.received(), hasSize(0));
  }

  @Test
  void otherVmSaysUnknownWhenTheHomeIsGone() throws IOException {
    try (Entry other = otherVm(Map.of())) {
      assertOutcome(other.bookWithKey(key, "x"), 502, "outcome-unknown", "key-home-gone");
    }
  }

  private Entry otherVm(Map<VmIncarnation, HostAndPort> homes) throws IOException {
    return new Entry(
        "vm-b", Entry.settings(), bed.admission, vm -> Optional.ofNullable(homes.get(vm)));
  }

  private CompletableFuture<HttpResponse<String>> bookAsync(Entry entry) {
    return entry.sendAsync(entry.booking("x").header("Mustardstage-Idempotency-Key", key));
  }
}
