package org.mustardstage.standins.bench.policies;

import java.util.ArrayDeque;
import java.util.Comparator;
import java.util.Deque;
import java.util.List;
import java.util.Optional;
import java.util.function.Consumer;

/** An entry VM with permits and a plain queue: first in, first out, no bounds, no deadlines. */
final class PlainQueueEntry implements EntryModel {
  private final Network network;
  private final int zone;
  private final Consumer<ModelEndpoint> onFreed;
  private final Deque<Attempt> queue = new ArrayDeque<>();
  private final List<ModelEndpoint> nearestFirst;

  PlainQueueEntry(Network network, int zone, Consumer<ModelEndpoint> onFreed) {
    this.network = network;
    this.zone = zone;
    this.onFreed = onFreed;
    this.nearestFirst =
        network.endpoints().stream()
            .filter(endpoint -> endpoint.region() == zone / 2)
            .sorted(Comparator.comparing(endpoint -> Network.proximity(zone, endpoint)))
            .toList();
  }

  @Override
  public void arrive(Attempt attempt) {
    queue.add(attempt);
    dispatch();
  }

  @Override
  public void dispatch() {
    while (!queue.isEmpty()) {
      Optional<ModelEndpoint> free =
          nearestFirst.stream().filter(ModelEndpoint::tryReserve).findFirst();
      if (free.isEmpty()) {
        return;
      }
      send(free.get(), queue.poll());
    }
  }

  @Override
  public void onReports() {}

  @Override
  public void onDrain(ModelEndpoint endpoint) {
    throw new UnsupportedOperationException("the plain queue knows no drains");
  }

  private void send(ModelEndpoint endpoint, Attempt attempt) {
    network.send(
        zone,
        endpoint,
        attempt,
        ran -> {
          endpoint.release();
          network.callers().answered(attempt);
          onFreed.accept(endpoint);
        });
  }
}
