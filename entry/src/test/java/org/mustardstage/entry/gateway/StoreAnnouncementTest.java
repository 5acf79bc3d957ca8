package org.mustardstage.entry.gateway;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

import org.junit.jupiter.api.Test;

/** Guards against a VM whose row is lost when the store is restored from an older copy. */
class StoreAnnouncementTest {
  private static final long SECOND = 1_000_000_000L;

  private final StoreAnnouncement announcement = new StoreAnnouncement();

  @Test
  void rowIsWrittenOnceInAnEra() {
    assertThat(announcement.tryNow(0, 0), is(true));
    announcement.onAcknowledged(0);

    assertThat(announcement.tryNow(10 * SECOND, 0), is(false));
    assertThat(announcement.tryNow(20 * SECOND, 1), is(true));
  }

  @Test
  void unacknowledgedRowIsWrittenAgain() {
    assertThat(announcement.tryNow(0, 0), is(true));

    assertThat(announcement.tryNow(SECOND / 2, 0), is(false));
    assertThat(announcement.tryNow(SECOND, 0), is(true));
  }

  @Test
  void acknowledgementOfAnEarlierEraProvesNothing() {
    assertThat(announcement.tryNow(0, 3), is(true));
    announcement.onAcknowledged(3);

    assertThat(announcement.tryNow(2 * SECOND, 4), is(true));
  }
}
