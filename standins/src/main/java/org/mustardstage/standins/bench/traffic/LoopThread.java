package org.mustardstage.standins.bench.traffic;

import io.activej.eventloop.Eventloop;
import java.util.concurrent.CompletableFuture;

/** An event loop with a thread of its own. */
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
    reactor.breakEventloop();
  }
}
