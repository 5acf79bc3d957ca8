package org.mustardstage.entry.gateway;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThanOrEqualTo;

import java.util.List;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.mustardstage.entry.gateway.CutTestBed.Call;

/**
 * Guards against VMs that fail the requests of their callers because they have lost their own links
 * to the endpoints, which the other VMs still reach.
 */
@Timeout(120)
class CutOffVmTest {
  /** From then on after the cut began, VMs that are cut off must serve their callers. */
  private static final long CUT_KNOWN_AFTER_MILLIS = 4_000;

  private static final long MEASURED_MILLIS = 4_000;

  @ParameterizedTest
  @CsvSource({
    "HANG, 1",
    "HANG, 3",
    "HANG, 5",
    "RESET, 3",
    "RESET, 5",
    "RESET_ACCEPTED, 3",
    "REFUSE_NEW, 3"
  })
  void vmsThatAreCutOffFromAllEndpointsServeTheirCallers(CuttableLink.Cut how, int cutVms)
      throws Exception {
    try (CutTestBed bed =
        new CutTestBed(number -> (number % 4 == 0 ? FakeDeployment.ONCE_PREFIX : "/") + number)) {
      bed.start();
      bed.cut(how, cutVms);
      assertServedDuringAndAfterCut(bed, cutVms);
    }
  }

  private static void assertServedDuringAndAfterCut(CutTestBed bed, int cutVms) throws Exception {
    Thread.sleep(CUT_KNOWN_AFTER_MILLIS);
    long measuredFromNanos = System.nanoTime();
    Thread.sleep(MEASURED_MILLIS);
    long restoredNanos = System.nanoTime();
    bed.restore(cutVms);
    Thread.sleep(MEASURED_MILLIS);
    bed.stopCallers();

    List<Call> duringCut = bed.callsBetween(measuredFromNanos, restoredNanos);
    CutTestBed.assertServed(
        "cut VMs", duringCut.stream().filter(call -> call.vm() < cutVms).toList());
    CutTestBed.assertServed(
        "other VMs", duringCut.stream().filter(call -> call.vm() >= cutVms).toList());
    CutTestBed.assertServed("after the cut", bed.callsBetween(restoredNanos, System.nanoTime()));
    bed.assertPromisesKept();
  }

  /** Nobody can serve these requests, so callers must not wait for their deadlines. */
  @Test
  void requestsAreRejectedAtOnceWhenAllVmsAreCutOff() throws Exception {
    try (CutTestBed bed = new CutTestBed(number -> "/" + number)) {
      bed.start();
      bed.cut(CuttableLink.Cut.HANG, CutTestBed.VMS);
      Thread.sleep(CUT_KNOWN_AFTER_MILLIS);
      long measuredFromNanos = System.nanoTime();
      Thread.sleep(MEASURED_MILLIS);
      bed.restore(CutTestBed.VMS);
      bed.stopCallers();

      List<Call> measured = bed.callsBetween(measuredFromNanos, System.nanoTime());
      long longNanos = TimeUnit.MILLISECONDS.toNanos(CutTestBed.DEADLINE_MILLIS / 2);
      List<Call> held =
          measured.stream()
              .filter(call -> !call.isServed() && call.tookNanos() > longNanos)
              .toList();
      assertThat(measured.size(), is(greaterThan(CutTestBed.VMS)));
      assertThat(
          "held: " + held,
          held.size(),
          is(lessThanOrEqualTo(CutTestBed.allowedFailures(measured))));
      bed.assertPromisesKept();
    }
  }

  /**
   * The same requests come again and again, and are lost with the links of one VM after another.
   */
  @ParameterizedTest
  @CsvSource({"RESET, 3", "RESET_ACCEPTED, 1", "RESET_ACCEPTED, 3", "RESET_ACCEPTED, 5", "HANG, 3"})
  void harmlessRequestsAreNotBlockedWhenVmsAreCutOff(CuttableLink.Cut how, int cutVms)
      throws Exception {
    try (CutTestBed bed = new CutTestBed(number -> "/same")) {
      bed.start();
      bed.cut(how, cutVms);
      assertServedDuringAndAfterCut(bed, cutVms);
      assertThat(blocked(bed), is(empty()));
    }
  }

  @Test
  void harmlessRequestsAreNotBlockedWhenConnectionsAreClosedOneAfterTheOther() throws Exception {
    int cutVms = 3;
    try (CutTestBed bed = new CutTestBed(number -> "/same")) {
      bed.start();
      bed.cut(CuttableLink.Cut.REFUSE_NEW, cutVms);
      bed.resetOneByOne(cutVms, /* intervalMillis= */ 400);
      assertServedDuringAndAfterCut(bed, cutVms);
      assertThat(blocked(bed), is(empty()));
    }
  }

  private static List<Call> blocked(CutTestBed bed) {
    return bed.calls().stream()
        .filter(call -> call.reason().equals(NotRunReasons.CRASHES_ENDPOINTS))
        .toList();
  }
}
