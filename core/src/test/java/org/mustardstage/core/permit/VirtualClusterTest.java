package org.mustardstage.core.permit;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.nullValue;

import org.junit.jupiter.api.Test;

class VirtualClusterTest {
  private static final int SCHEDULES = setting("MUSTARDSTAGE_SCHEDULES", 1_000);
  private static final int FIRST_SEED = setting("MUSTARDSTAGE_FIRST_SEED", 1);

  private static int setting(String name, int defaultValue) {
    String value = System.getenv(name);
    return value == null ? defaultValue : Integer.parseInt(value);
  }

  @Test
  void noScheduleExceedsALimitOrLosesAPermit() {
    long completed = 0;
    for (long seed = FIRST_SEED; seed < FIRST_SEED + SCHEDULES; seed++) {
      FaultSchedule schedule = new FaultSchedule(seed, PermitGuards::new).run();
      schedule.heal();
      VirtualCluster cluster = schedule.cluster();
      String story = "seed " + seed + " " + String.join("; ", schedule.log()) + cluster.describe();
      assertThat(story, cluster.endpoints().violation(), is(nullValue()));
      assertThat(story, cluster.usablePermits(), is(cluster.totalPermits()));
      completed += cluster.endpoints().completed();
    }
    assertThat(completed, is(greaterThan(100L * SCHEDULES)));
  }
}
