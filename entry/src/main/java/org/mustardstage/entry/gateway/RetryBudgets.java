package org.mustardstage.entry.gateway;

import java.util.HashMap;
import java.util.Map;
import org.mustardstage.core.id.ServiceName;
import org.mustardstage.core.overload.RetryBudget;

/** The retry budgets of all services, of which this VM has a part. Used on the traffic thread. */
final class RetryBudgets {
  /** The fraction of the operators' retry budget that is used; the rest is a safety margin. */
  private static final double USED_RETRY_BUDGET_FRACTION = 0.5;

  private final double retryShare;
  private final int retryReserve;
  private final Map<ServiceName, RetryBudget> budgets = new HashMap<>();
  private int sharingVms = 1;

  /**
   * Creates the budgets of a VM that knows no other.
   *
   * @param retryShare the allowed retries per first attempt, over all VMs
   * @param retryReserve the retries that all VMs together may send beyond that
   */
  RetryBudgets(double retryShare, int retryReserve) {
    this.retryShare = retryShare;
    this.retryReserve = retryReserve;
  }

  /** Records how many VMs share the reserve; it is divided by the largest number so far. */
  void setSharingVms(int vms) {
    if (vms > sharingVms) {
      sharingVms = vms;
      budgets.clear();
    }
  }

  /** Returns the budget of {@code service}. */
  RetryBudget of(ServiceName service) {
    return budgets.computeIfAbsent(service, name -> newBudget());
  }

  private RetryBudget newBudget() {
    int reserve = (int) (USED_RETRY_BUDGET_FRACTION * retryReserve / sharingVms);
    return new RetryBudget(USED_RETRY_BUDGET_FRACTION * retryShare, reserve, reserve);
  }
}
