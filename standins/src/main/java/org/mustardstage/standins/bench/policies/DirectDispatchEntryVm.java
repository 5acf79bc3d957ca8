package org.mustardstage.standins.bench.policies;

import java.util.List;
import java.util.random.RandomGenerator;

/**
 * An entry VM that sends each request to an endpoint of its region at once, without a queue or
 * permits. The endpoints queue the requests that exceed their slots.
 */
final class DirectDispatchEntryVm implements EntryVmModel {
  private static final long RETRY_AFTER_MILLIS = 0;

  private final NetworkModel network;
  private final EntryVmPolicy policy;
  private final int zone;
  private final RandomGenerator random;
  private final List<EndpointModel> endpoints;
  private final int[] requestsInFlight;
  private int roundRobinIndex;

  DirectDispatchEntryVm(
      NetworkModel network, EntryVmPolicy policy, int zone, RandomGenerator random) {
    this.network = network;
    this.policy = policy;
    this.zone = zone;
    this.random = random;
    this.endpoints =
        network.endpoints().stream().filter(endpoint -> endpoint.region() == zone / 2).toList();
    this.requestsInFlight = new int[endpoints.size()];
    this.roundRobinIndex = random.nextInt(endpoints.size());
  }

  @Override
  public void handleRequest(CallerRequest request) {
    int selected = selectEndpoint();
    requestsInFlight[selected]++;
    network.send(
        zone,
        endpoints.get(selected),
        request,
        ran -> {
          requestsInFlight[selected]--;
          respond(request, ran);
        });
  }

  @Override
  public void dispatch() {}

  @Override
  public void updateLoadReports() {}

  @Override
  public void startDrain(EndpointModel endpoint) {
    throw new UnsupportedOperationException("the direct dispatch policies do not support drains");
  }

  private void respond(CallerRequest request, boolean ran) {
    if (ran) {
      network.callers().handleResponse(request);
    } else {
      network.callers().handleRejection(request, RETRY_AFTER_MILLIS);
    }
  }

  private int selectEndpoint() {
    return switch (policy) {
      case ROUND_ROBIN -> advanceRoundRobin();
      case RANDOM -> random.nextInt(endpoints.size());
      case POWER_OF_TWO -> lessLoaded(randomIndex(), randomIndex());
      case LEAST_LOCAL_LOAD -> leastLoaded();
      case MUSTARDSTAGE, PLAIN_QUEUE ->
          throw new IllegalStateException("not a direct dispatch policy: " + policy.label());
    };
  }

  private int advanceRoundRobin() {
    roundRobinIndex = (roundRobinIndex + 1) % endpoints.size();
    return roundRobinIndex;
  }

  private int randomIndex() {
    return random.nextInt(endpoints.size());
  }

  private int lessLoaded(int first, int second) {
    return requestsInFlight[first] <= requestsInFlight[second] ? first : second;
  }

  private int leastLoaded() {
    int best = randomIndex();
    for (int i = 0; i < requestsInFlight.length; i++) {
      best = lessLoaded(best, i);
    }
    return best;
  }
}
