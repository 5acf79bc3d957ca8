package org.mustardstage.core.placement;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.contains;
import static org.hamcrest.Matchers.empty;
import static org.mustardstage.core.placement.PlacementFixtures.NANOS_PER_SECOND;

import org.junit.jupiter.api.Test;

/** Guards against an evacuation that ends because the store was restored from an older copy. */
class EvacuatedZonesTest {
  private static final String KEY = "evacuate/own";

  private final EvacuatedZones evacuated = new EvacuatedZones();
  private long nowNanos = 50 * NANOS_PER_SECOND;

  @Test
  void evacuationEndsAtOnceWhenOperatorsEndIt() {
    evacuated.put(KEY, PlacementFixtures.OWN_ZONE);
    evacuated.remove(nowNanos, KEY);

    assertThat(evacuated.zones(), empty());
  }

  @Test
  void evacuationThatARestoredStoreLacksStaysInForceForAWhile() {
    evacuated.put(KEY, PlacementFixtures.OWN_ZONE);
    evacuated.onStoreRestored(nowNanos);
    evacuated.remove(nowNanos, KEY);
    evacuated.onTick(nowNanos + 9 * NANOS_PER_SECOND);
    assertThat(evacuated.zones(), contains(PlacementFixtures.OWN_ZONE));

    evacuated.onTick(nowNanos + 11 * NANOS_PER_SECOND);
    assertThat(evacuated.zones(), empty());
  }

  @Test
  void evacuationThatIsWrittenAgainStaysInForce() {
    evacuated.put(KEY, PlacementFixtures.OWN_ZONE);
    evacuated.onStoreRestored(nowNanos);
    evacuated.remove(nowNanos, KEY);
    evacuated.put(KEY, PlacementFixtures.OWN_ZONE);
    evacuated.onTick(nowNanos + 20 * NANOS_PER_SECOND);

    assertThat(evacuated.zones(), contains(PlacementFixtures.OWN_ZONE));
  }
}
