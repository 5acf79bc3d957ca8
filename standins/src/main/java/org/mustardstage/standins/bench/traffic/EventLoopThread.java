package org.mustardstage.standins.bench.traffic;

import io.activej.eventloop.Eventloop;
import java.util.concurrent.CompletableFuture;

/**
 * Runs an event loop on its own daemon thread. After {@link #close} the thread ends once the last
 * connection of the loop is closed.
 */
final class EventLoopThread implements AutoCloseable {
  private final Eventloop eventloop;
  private final Thread thread;

  EventLoopThread(String name) {
    eventloop = Eventloop.builder().withThreadName(name).build();
    eventloop.keepAlive(true);
    thread = new Thread(eventloop, name);
    thread.setDaemon(true);
    thread.start();
  }

  Eventloop eventloop() {
    return eventloop;
  }

  CompletableFuture<Void> run(Runnable task) {
    return eventloop.submit(task::run);
  }

  @Override
  public void close() {
    eventloop.keepAlive(false);
  }
}
