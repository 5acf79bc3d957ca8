package org.mustardstage.standins.bench.limits;

import java.util.ArrayDeque;
import java.util.Queue;

/** One endpoint: slots, and a queue for what is sent past them. */
final class EndpointModel {
  private final VirtualTime time;
  private final SlotGauge gauge;
  private final int slots;
  private final Queue<Job> queue = new ArrayDeque<>();
  private int running;
  private int most;

  private record Job(long serviceNanos, Runnable onAnswer) {}

  EndpointModel(VirtualTime time, SlotGauge gauge, int slots) {
    this.time = time;
    this.gauge = gauge;
    this.slots = slots;
  }

  /** Takes a request; it runs at once or waits for a slot here. */
  void take(long serviceNanos, Runnable onAnswer) {
    most = Math.max(most, running + queue.size() + 1);
    if (running < slots) {
      run(new Job(serviceNanos, onAnswer));
    } else {
      gauge.addWaiting(1);
      queue.add(new Job(serviceNanos, onAnswer));
    }
  }

  private void run(Job job) {
    running++;
    gauge.addRunning(1);
    time.after(job.serviceNanos(), () -> end(job));
  }

  private void end(Job job) {
    running--;
    gauge.addRunning(-1);
    job.onAnswer().run();
    Job next = queue.poll();
    if (next != null) {
      gauge.addWaiting(-1);
      run(next);
    }
  }

  /** Returns the most requests that were here at once; past the slots is past the limit. */
  int most() {
    return most;
  }
}
