package org.mustardstage.standins.bench.policies;

import java.util.List;
import java.util.random.RandomGenerator;

/** An entry VM that sends at once; the endpoints of its region queue what they can't run. */
final class DirectEntry implements EntryModel {
  private static final long RETRY_AFTER_MILLIS = 0;

  private final Network network;
  private final Policy policy;
  private final int zone;
  private final RandomGenerator random;
  private final List<ModelEndpoint> endpoints;
  private final int[] ownRequests;
  private int next;

  DirectEntry(Network network, Policy policy, int zone, RandomGenerator random) {
    this.network = network;
    this.policy = policy;
    this.zone = zone;
    this.random = random;
    this.endpoints =
        network.endpoints().stream().filter(endpoint -> endpoint.region() == zone / 2).toList();
    this.ownRequests = new int[endpoints.size()];
    this.next = random.nextInt(endpoints.size());
  }

  @Override
  public void arrive(Attempt attempt) {
    int chosen = choose();
    ownRequests[chosen]++;
    network.send(
        zone,
        endpoints.get(chosen),
        attempt,
        ran -> {
          ownRequests[chosen]--;
          end(attempt, ran);
        });
  }

  @Override
  public void dispatch() {}

  @Override
  public void onReports() {}

  @Override
  public void onDrain(ModelEndpoint endpoint) {
    throw new UnsupportedOperationException("the baselines know no drains");
  }

  private void end(Attempt attempt, boolean ran) {
    if (ran) {
      network.callers().answered(attempt);
    } else {
      network.callers().refused(attempt, RETRY_AFTER_MILLIS);
    }
  }

  private int choose() {
    return switch (policy) {
      case ROUND_ROBIN -> nextIndex();
      case RANDOM -> random.nextInt(endpoints.size());
      case POWER_OF_TWO -> lessLoaded(anyIndex(), anyIndex());
      case LEAST_LOCAL_LOAD -> leastLoaded();
      case MUSTARDSTAGE, PLAIN_QUEUE -> throw new IllegalStateException(policy.label());
    };
  }

  private int nextIndex() {
    next = (next + 1) % endpoints.size();
    return next;
  }

  private int anyIndex() {
    return random.nextInt(endpoints.size());
  }

  private int lessLoaded(int first, int second) {
    return ownRequests[first] <= ownRequests[second] ? first : second;
  }

  private int leastLoaded() {
    int best = anyIndex();
    for (int i = 0; i < ownRequests.length; i++) {
      best = lessLoaded(best, i);
    }
    return best;
  }
}
