package org.mustardstage.standins.bench.traffic;

import io.activej.eventloop.Eventloop;
import java.util.concurrent.CompletableFuture;

/** An event loop with a daemon thread of its own, which ends with the last of its connections. */
final class LoopThread implements AutoCloseable {
  private final Eventloop reactor;
  private final Thread thread;

  LoopThread(String name) {
    reactor = Eventloop.builder().withThreadName(name).build();
    reactor.keepAlive(true);
    thread = new Thread(reactor, name);
    thread.setDaemon(true);
    thread.start();
  }

  Eventloop reactor() {
    return reactor;
  }

  CompletableFuture<Void> run(Runnable task) {
    return reactor.submit(task::run);
  }

  @Override
  public void close() {
    reactor.keepAlive(false);
  }
}
