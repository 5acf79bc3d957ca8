package org.mustardstage.entry.traffic;

import com.google.common.collect.ImmutableList;
import io.activej.net.PrimaryServer;
import io.activej.promise.Promise;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionException;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.Function;
import java.util.function.Supplier;
import org.mustardstage.core.manifest.HostAndPort;
import org.mustardstage.entry.control.Admission;
import org.mustardstage.entry.control.Snapshot;

/** The HTTP server for callers. Responds to lookups and forwards other requests to endpoints. */
public final class TrafficServer {
  private final TrafficSettings settings;
  private final AtomicBoolean running = new AtomicBoolean();
  private final AtomicInteger openConnections = new AtomicInteger();
  private final ImmutableList<TrafficThread> threads;
  private final PrimaryServer acceptor;

  /**
   * Creates a server without starting it.
   *
   * @param snapshot supplies the latest state published by the control thread
   * @param admission decides whether and to which endpoint each attempt may be sent
   * @param lookup responds to lookups
   * @param homeLocator finds the home VMs of idempotency keys
   */
  public TrafficServer(
      TrafficSettings settings,
      Supplier<Snapshot> snapshot,
      Admission admission,
      LookupHandler lookup,
      KeyHomeLocator homeLocator) {
    this.settings = settings;
    IdempotencyKeyRegistry keyRegistry = new IdempotencyKeyRegistry(settings.limits());
    List<TrafficThread> created = new ArrayList<>();
    for (int i = 0; i < settings.trafficThreads(); i++) {
      created.add(
          new TrafficThread(
              i, settings, snapshot, admission, lookup, homeLocator, keyRegistry, openConnections));
    }
    this.threads = ImmutableList.copyOf(created);
    this.acceptor = buildAcceptor();
  }

  /**
   * Starts listening. Returns when callers can connect.
   *
   * @throws IOException if the server can't listen on its address
   */
  public void start() throws IOException {
    running.set(true);
    threads.forEach(TrafficThread::start);
    try {
      threads.forEach(thread -> thread.reactor().submit(thread.server()::listen).join());
      threads.get(0).reactor().submit(acceptor::listen).join();
    } catch (CompletionException e) {
      threads.forEach(thread -> thread.reactor().submit(thread::close).join());
      running.set(false);
      throw new IOException("can't listen on " + settings.listenAddress(), e.getCause());
    }
  }

  /**
   * Stops gracefully: rejects new requests as not run, completes running requests and then closes
   * all connections. Returns when that is done. Later calls do nothing.
   */
  public void stop() {
    if (!running.compareAndSet(true, false)) {
      return;
    }
    onEachThread(TrafficThread::drain);
    threads.get(0).reactor().submit(() -> acceptor.close().toVoid()).join();
    onEachThread(TrafficThread::close);
  }

  private void onEachThread(Function<TrafficThread, Promise<Void>> action) {
    List<CompletableFuture<Void>> completions = new ArrayList<>();
    for (TrafficThread thread : threads) {
      completions.add(thread.reactor().submit(() -> action.apply(thread)));
    }
    completions.forEach(CompletableFuture::join);
  }

  private PrimaryServer buildAcceptor() {
    HostAndPort address = settings.listenAddress();
    return PrimaryServer.builder(
            threads.get(0).reactor(), threads.stream().map(TrafficThread::server).toList())
        .withListenAddress(new InetSocketAddress(address.host(), address.port()))
        .withAcceptFilter(
            (channel, local, remote, ssl) ->
                openConnections.get() >= settings.maxCallerConnections())
        .build();
  }
}
