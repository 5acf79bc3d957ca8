package org.mustardstage.standins.bench.policies;

import java.util.ArrayDeque;
import java.util.Comparator;
import java.util.Deque;
import java.util.List;
import java.util.Optional;
import java.util.function.Consumer;

/** An entry VM with permits and an unbounded FIFO queue that ignores deadlines and priorities. */
final class FifoQueueEntryVm implements EntryVmModel {
  private final NetworkModel network;
  private final int zone;
  private final Consumer<EndpointModel> onPermitReleased;
  private final Deque<CallerRequest> queue = new ArrayDeque<>();
  private final List<EndpointModel> nearestFirst;

  FifoQueueEntryVm(NetworkModel network, int zone, Consumer<EndpointModel> onPermitReleased) {
    this.network = network;
    this.zone = zone;
    this.onPermitReleased = onPermitReleased;
    this.nearestFirst =
        network.endpoints().stream()
            .filter(endpoint -> endpoint.region() == zone / 2)
            .sorted(Comparator.comparing(endpoint -> NetworkModel.proximity(zone, endpoint)))
            .toList();
  }

  @Override
  public void handleRequest(CallerRequest request) {
    queue.add(request);
    dispatch();
  }

  @Override
  public void dispatch() {
    while (!queue.isEmpty()) {
      Optional<EndpointModel> free =
          nearestFirst.stream().filter(EndpointModel::tryAcquirePermit).findFirst();
      if (free.isEmpty()) {
        return;
      }
      send(free.get(), queue.poll());
    }
  }

  @Override
  public void updateLoadReports() {}

  @Override
  public void startDrain(EndpointModel endpoint) {
    throw new UnsupportedOperationException("the plain queue does not support drains");
  }

  private void send(EndpointModel endpoint, CallerRequest request) {
    network.send(
        zone,
        endpoint,
        request,
        ran -> {
          endpoint.releasePermit();
          network.callers().handleResponse(request);
          onPermitReleased.accept(endpoint);
        });
  }
}
