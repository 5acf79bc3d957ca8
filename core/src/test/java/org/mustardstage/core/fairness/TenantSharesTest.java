package org.mustardstage.core.fairness;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.lessThan;

import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;
import org.mustardstage.core.id.TenantName;

/** Guards against tenants that push others out, and against blame for usual demand. */
class TenantSharesTest {
  private static final int TENANTS = 73;
  private static final int HOT = 20;

  private final TenantShares shares = new TenantShares();
  private final SplittableRandom random = new SplittableRandom(7);

  /**
   * Sends requests of tenants of which the first ones are large, and of a hot one; returns the
   * share above their share of the hot one's requests and of all others'.
   */
  private double[] send(int count, double hotFactor) {
    double[] above = new double[2];
    double[] total = new double[2];
    for (int i = 0; i < count; i++) {
      int tenant = draw(hotFactor);
      int kind = tenant == HOT ? 0 : 1;
      total[kind]++;
      above[kind] += shares.recordRequest(new TenantName("t-" + tenant)) ? 1 : 0;
    }
    return new double[] {above[0] / total[0], above[1] / total[1]};
  }

  private int draw(double hotFactor) {
    double hot = (hotFactor - 1) / (HOT + 1);
    double draw = random.nextDouble() * (4.87 + hot) - hot;
    int tenant = draw < 0 ? HOT : 0;
    while (draw >= 1.0 / (tenant + 1) && tenant < TENANTS - 1) {
      draw -= 1.0 / ++tenant;
    }
    return tenant;
  }

  @Test
  void usualDemandOfLargeAndSmallTenantsIsWithinTheirShares() {
    assertThat(send(3_000, 1)[1], lessThan(0.1));
  }

  /** One VM sees about ten requests a second, a tenth of one of a usual tenant. */
  @Test
  void tenantThatSendsManyTimesItsUsualIsAboveItsShareAndOthersAreNot() {
    send(600, 1);

    double[] above = send(300, 7.5);

    assertThat(above[0], greaterThan(0.4));
    assertThat(above[1], lessThan(0.1));
  }

  @Test
  void excessIsForgivenOnceItHasEnded() {
    send(600, 1);
    send(300, 7.5);
    send(300, 1);

    assertThat(send(600, 1)[0], lessThan(0.2));
  }
}
