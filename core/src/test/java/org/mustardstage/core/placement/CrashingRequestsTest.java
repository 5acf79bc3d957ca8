package org.mustardstage.core.placement;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.hasSize;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.not;

import java.nio.charset.StandardCharsets;
import java.util.Optional;
import org.junit.jupiter.api.Test;
import org.mustardstage.core.id.EndpointId;
import org.mustardstage.core.id.VmId;

/**
 * Guards against a request that ends endpoint after endpoint, and against the rejection of requests
 * that were only lost beside it.
 */
class CrashingRequestsTest {
  private static final long SECOND = 1_000_000_000L;
  private static final RequestFingerprint REQUEST = fingerprint("/a", "10.0.0.1", "body");

  private static final VmId VM = new VmId("vm-1");
  private static final VmId OTHER_VM = new VmId("vm-2");

  private final CrashingRequests requests = new CrashingRequests(/* minReporters= */ 2);
  private long nowNanos = SECOND;
  private int lossCount;

  private static RequestFingerprint fingerprint(String path, String caller, String body) {
    return RequestFingerprint.of(path, caller, body.getBytes(StandardCharsets.UTF_8));
  }

  /** Loses an attempt at one of two VMs, in turn. */
  private Optional<RequestBlock> lose(RequestFingerprint fingerprint, String endpoint) {
    lossCount++;
    return lose(lossCount % 2 == 0 ? VM : OTHER_VM, fingerprint, endpoint);
  }

  private Optional<RequestBlock> lose(VmId vm, RequestFingerprint fingerprint, String endpoint) {
    return requests.recordLost(
        nowNanos,
        vm,
        new LostAttempt(fingerprint, new EndpointIncarnation(new EndpointId(endpoint), 1)));
  }

  private RequestBlock loseAtThreeEndpoints() {
    lose(REQUEST, "i-1");
    lose(REQUEST, "i-2");
    return lose(REQUEST, "i-3").orElseThrow();
  }

  @Test
  void requestIsBlockedWhenItWasLostAtThreeEndpoints() {
    assertThat(lose(REQUEST, "i-1"), is(Optional.empty()));
    assertThat(lose(REQUEST, "i-2"), is(Optional.empty()));
    assertThat(lose(REQUEST, "i-3").orElseThrow().timesBlocked(), is(1));
    assertThat(lose(REQUEST, "i-4"), is(Optional.empty()));
  }

  @Test
  void threeRunsOfOneEndpointCountAsThree() {
    for (int run = 1; run <= 2; run++) {
      assertThat(
          requests.recordLost(
              nowNanos,
              OTHER_VM,
              new LostAttempt(REQUEST, new EndpointIncarnation(new EndpointId("i-1"), run))),
          is(Optional.empty()));
    }
    assertThat(
        requests.recordLost(
            nowNanos,
            VM,
            new LostAttempt(REQUEST, new EndpointIncarnation(new EndpointId("i-1"), 3))),
        is(not(Optional.empty())));
  }

  /** A VM may lose requests by its own fault, although its links work. */
  @Test
  void requestThatOneVmAloneLosesIsNotBlockedUntilAnotherLosesItToo() {
    for (int i = 0; i < 10; i++) {
      assertThat(lose(VM, REQUEST, "i-" + i), is(Optional.empty()));
    }

    assertThat(lose(OTHER_VM, REQUEST, "i-10"), is(not(Optional.empty())));
  }

  /** Several VMs report one end of an endpoint. */
  @Test
  void oneEndIsCountedOnce() {
    for (int i = 0; i < 10; i++) {
      assertThat(lose(REQUEST, "i-1"), is(Optional.empty()));
    }
  }

  @Test
  void requestThatGotAResponseMeanwhileIsNotBlocked() {
    lose(REQUEST, "i-1");
    lose(REQUEST, "i-2");
    requests.recordSurvived(REQUEST);

    assertThat(lose(REQUEST, "i-3"), is(Optional.empty()));
  }

  @Test
  void losesOfLongAgoDoNotCount() {
    lose(REQUEST, "i-1");
    lose(REQUEST, "i-2");
    nowNanos += 61 * SECOND;

    assertThat(lose(REQUEST, "i-3"), is(Optional.empty()));
  }

  @Test
  void otherPathCallerOrBodyIsAnotherRequest() {
    lose(REQUEST, "i-1");
    lose(REQUEST, "i-2");

    assertThat(lose(fingerprint("/b", "10.0.0.1", "body"), "i-3"), is(Optional.empty()));
    assertThat(lose(fingerprint("/a", "10.0.0.2", "body"), "i-3"), is(Optional.empty()));
    assertThat(lose(fingerprint("/a", "10.0.0.1", "other"), "i-3"), is(Optional.empty()));
  }

  /** A part that ends in one field and begins in the next is not mistaken for the other. */
  @Test
  void fieldsOfTheFingerprintAreKeptApart() {
    assertThat(fingerprint("/ab", "c", ""), is(not(fingerprint("/a", "bc", ""))));
    assertThat(fingerprint("/a", "bc", ""), is(not(fingerprint("/a", "b", "c"))));
  }

  @Test
  void requestThatIsLostAgainAfterItsBlockIsBlockedAtOnceAndForLonger() {
    RequestBlock first = loseAtThreeEndpoints();
    nowNanos += first.remainingMillis() * 1_000_000L + 1;

    RequestBlock second = lose(REQUEST, "i-9").orElseThrow();

    assertThat(second.timesBlocked(), is(2));
    assertThat(second.remainingMillis(), is(greaterThan(first.remainingMillis())));
  }

  @Test
  void blockOfAnotherVmIsKnownAndPassedOn() {
    CrashingRequests other = new CrashingRequests(/* minReporters= */ 2);

    assertThat(other.applyBlock(nowNanos, loseAtThreeEndpoints()), is(true));
    assertThat(other.applyBlock(nowNanos, requests.blocks(nowNanos).getFirst()), is(false));
    assertThat(other.blocks(nowNanos), hasSize(1));
    assertThat(requests.blocks(nowNanos), is(not(empty())));
  }

  /** A fault of many endpoints loses many requests, which must not fill the memory. */
  @Test
  void suspectsAreBounded() {
    for (int i = 0; i < 100_000; i++) {
      lose(fingerprint("/" + i, "10.0.0.1", ""), "i-1");
    }

    assertThat(requests.suspectCount(), is(10_000));
  }
}
