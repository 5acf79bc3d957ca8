package org.mustardstage.core.permit;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.nullValue;

import org.junit.jupiter.api.Test;

/**
 * Guards against two requests that use one permit at once, and against permits that stay unusable.
 * Runs seeded schedules of crashes, pauses, partitions, lost messages and store failures, and
 * checks that no endpoint ever runs more requests than its limit and that every permit is usable
 * afterwards.
 */
class VirtualClusterTest {
  private static final int SCHEDULES = setting("MUSTARDSTAGE_SCHEDULES", 1_000);
  private static final int FIRST_SEED = setting("MUSTARDSTAGE_FIRST_SEED", 1);

  private static int setting(String name, int defaultValue) {
    String value = System.getenv(name);
    return value == null ? defaultValue : Integer.parseInt(value);
  }

  @Test
  void noScheduleExceedsLimitOrLosesPermit() {
    long completed = 0;
    for (long seed = FIRST_SEED; seed < FIRST_SEED + SCHEDULES; seed++) {
      FaultSchedule schedule = new FaultSchedule(seed, PermitGuards::new).run();
      schedule.heal();
      VirtualCluster cluster = schedule.cluster();
      String description =
          "seed " + seed + " " + String.join("; ", schedule.log()) + cluster.describe();
      assertThat(description, cluster.endpoints().violation(), is(nullValue()));
      assertThat(description, cluster.usablePermits(), is(cluster.totalPermits()));
      completed += cluster.endpoints().completed();
    }
    assertThat(completed, is(greaterThan(100L * SCHEDULES)));
  }
}
