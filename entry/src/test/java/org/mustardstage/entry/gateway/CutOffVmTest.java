package org.mustardstage.entry.gateway;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThanOrEqualTo;

import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.stream.IntStream;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.condition.EnabledIfSystemProperty;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.MethodSource;
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
  private static final long INTERVAL_MILLIS = 1_000;

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
    try (CutTestBed bed = mixedBed()) {
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

  /** A connection that is accepted may bring nothing, or be reset later. */
  @ParameterizedTest
  @CsvSource({"SILENT, 3", "RESET_AFTER_100, 5", "RESET_NEW, 3"})
  void connectionsThatAreAcceptedDoNotHideTheCut(CuttableLink.Cut how, int cutVms)
      throws Exception {
    runVariant(cutVms, Collections.nCopies(CutTestBed.ENDPOINTS, how));
  }

  /** All variants; takes a quarter of an hour. */
  @EnabledIfSystemProperty(named = "cutVariants", matches = "all")
  @ParameterizedTest
  @MethodSource("variants")
  void allVariants(int cutVms, List<CuttableLink.Cut> cuts) throws Exception {
    runVariant(cutVms, cuts);
  }

  static Stream<Arguments> variants() {
    List<List<CuttableLink.Cut>> cuts = new ArrayList<>();
    for (CuttableLink.Cut each :
        List.of(
            CuttableLink.Cut.SILENT,
            CuttableLink.Cut.RESET_AFTER_20,
            CuttableLink.Cut.RESET_AFTER_100,
            CuttableLink.Cut.RESET_AFTER_300,
            CuttableLink.Cut.RESET_NEW)) {
      cuts.add(Collections.nCopies(CutTestBed.ENDPOINTS, each));
    }
    int half = CutTestBed.ENDPOINTS / 2;
    List<CuttableLink.Cut> silentOrRefused =
        new ArrayList<>(Collections.nCopies(half, CuttableLink.Cut.SILENT));
    silentOrRefused.addAll(Collections.nCopies(half, CuttableLink.Cut.RESET));
    cuts.add(silentOrRefused);
    int most = CutTestBed.ENDPOINTS - 2;
    cuts.add(Collections.nCopies(most, CuttableLink.Cut.SILENT));
    cuts.add(Collections.nCopies(most, CuttableLink.Cut.RESET));
    cuts.add(Collections.nCopies(most, CuttableLink.Cut.RESET_AFTER_100));
    return cuts.stream()
        .flatMap(
            each ->
                IntStream.of(1, CutTestBed.VMS / 2, CutTestBed.VMS - 1, CutTestBed.VMS)
                    .mapToObj(vms -> Arguments.of(vms, each)));
  }

  private static void runVariant(int cutVms, List<CuttableLink.Cut> cuts) throws Exception {
    try (CutTestBed bed = mixedBed()) {
      bed.start();
      bed.cut(cutVms, cuts);
      Thread.sleep(CUT_KNOWN_AFTER_MILLIS);
      measure(cuts.toString(), bed, cutVms, () -> Thread.sleep(MEASURED_MILLIS));
    }
  }

  @EnabledIfSystemProperty(named = "cutVariants", matches = "all")
  @ParameterizedTest
  @CsvSource({
    "SILENT, 1", "SILENT, 3", "SILENT, 5", "SILENT, 6",
    "RESET, 1", "RESET, 3", "RESET, 5", "RESET, 6",
    "RESET_AFTER_100, 1", "RESET_AFTER_100, 3", "RESET_AFTER_100, 5", "RESET_AFTER_100, 6"
  })
  void cutsThatComeAndGo(CuttableLink.Cut how, int cutVms) throws Exception {
    try (CutTestBed bed = mixedBed()) {
      bed.start();
      comeAndGo(bed, how, cutVms, (int) (CUT_KNOWN_AFTER_MILLIS / 2 / INTERVAL_MILLIS));
      measure("coming and going " + how, bed, cutVms, () -> comeAndGo(bed, how, cutVms, 3));
    }
  }

  private static void comeAndGo(CutTestBed bed, CuttableLink.Cut how, int cutVms, int times)
      throws Exception {
    for (int i = 0; i < times; i++) {
      bed.cut(how, cutVms);
      Thread.sleep(INTERVAL_MILLIS);
      bed.restore(cutVms);
      Thread.sleep(INTERVAL_MILLIS);
    }
  }

  private interface Phase {
    void run() throws Exception;
  }

  private static void measure(String cuts, CutTestBed bed, int cutVms, Phase cut) throws Exception {
    long measuredFromNanos = System.nanoTime();
    cut.run();
    long restoredNanos = System.nanoTime();
    bed.restore(cutVms);
    Thread.sleep(MEASURED_MILLIS);
    bed.stopCallers();
    CutTestBed.assertServedNearlyAsOften(
        cuts,
        bed.callsBetween(measuredFromNanos, restoredNanos),
        cutVms,
        bed.callsBetween(restoredNanos + graceNanos(cutVms), System.nanoTime()));
    bed.assertPromisesKept();
  }

  /** While nobody can serve, callers are rejected until a VM has found out that the cut ended. */
  private static long graceNanos(int cutVms) {
    return cutVms == CutTestBed.VMS ? TimeUnit.SECONDS.toNanos(1) : 0;
  }

  /** Returns a bed in which one of four requests is not idempotent. */
  private static CutTestBed mixedBed() {
    return new CutTestBed(number -> (number % 4 == 0 ? FakeDeployment.ONCE_PREFIX : "/") + number);
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
