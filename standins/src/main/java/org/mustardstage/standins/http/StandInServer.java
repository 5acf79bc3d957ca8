package org.mustardstage.standins.http;

import com.google.common.util.concurrent.Uninterruptibles;
import io.activej.eventloop.Eventloop;
import io.activej.http.AsyncServlet;
import io.activej.http.HttpServer;
import io.activej.net.AbstractReactiveServer.AcceptFilter;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.concurrent.CountDownLatch;
import java.util.function.Function;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** An HTTP server with its own event loop and thread. */
public final class StandInServer {
  private static final Logger logger = LoggerFactory.getLogger(StandInServer.class);
  private static final int MAX_BODY_BYTES = 64 * 1024 * 1024;
  private static final Duration KEEP_ALIVE_TIMEOUT = Duration.ofSeconds(60);
  private static final Duration SHUTDOWN_TIMEOUT = Duration.ofMillis(500);

  private final Eventloop eventloop;
  private final HttpServer server;
  private final Thread thread;

  private StandInServer(Eventloop eventloop, HttpServer server) {
    this.eventloop = eventloop;
    this.server = server;
    this.thread = new Thread(eventloop, "stand-in");
  }

  /**
   * Starts a server that accepts connections on {@code address}.
   *
   * @param acceptFilter decides which connections to refuse
   * @throws IOException if the server can't listen on {@code address}
   */
  public static StandInServer start(
      InetSocketAddress address,
      Function<Eventloop, AsyncServlet> servlet,
      ConnectionFilter acceptFilter)
      throws IOException {
    Eventloop eventloop =
        Eventloop.builder().withFatalErrorHandler((e, context) -> logFatalError(e)).build();
    eventloop.keepAlive(true);
    HttpServer[] built = new HttpServer[1];
    AcceptFilter filter =
        (channel, localAddress, remoteAddress, ssl) ->
            acceptFilter.refuses(built[0].getConnectionsCount());
    built[0] =
        HttpServer.builder(eventloop, servlet.apply(eventloop))
            .withListenAddress(address)
            .withAcceptFilter(filter)
            .withMaxBodySize(MAX_BODY_BYTES)
            .withKeepAliveTimeout(KEEP_ALIVE_TIMEOUT)
            .withServeTimeoutShutdown(SHUTDOWN_TIMEOUT)
            .build();
    StandInServer standIn = new StandInServer(eventloop, built[0]);
    standIn.listen();
    return standIn;
  }

  private void listen() throws IOException {
    CountDownLatch started = new CountDownLatch(1);
    IOException[] failure = new IOException[1];
    eventloop.execute(
        () -> {
          try {
            server.listen();
          } catch (IOException e) {
            failure[0] = e;
            eventloop.keepAlive(false);
          }
          started.countDown();
        });
    thread.start();
    awaitUninterruptibly(started);
    if (failure[0] != null) {
      throw failure[0];
    }
  }

  /** Returns the address on which the server accepts connections. */
  public InetSocketAddress address() {
    return server.getBoundAddresses().getFirst();
  }

  /**
   * Stops accepting connections, gives requests in flight half a second to end, and waits for the
   * thread to exit.
   */
  public void stop() throws InterruptedException {
    eventloop.execute(() -> server.close().whenComplete(() -> eventloop.keepAlive(false)));
    thread.join();
  }

  /** Waits for the thread of the server to exit. */
  public void awaitTermination() throws InterruptedException {
    thread.join();
  }

  private static void awaitUninterruptibly(CountDownLatch latch) {
    Uninterruptibles.awaitUninterruptibly(latch);
  }

  private static void logFatalError(Throwable e) {
    logger.error("uncaught exception in the event loop of a stand-in", e);
  }

  /** Decides which connections to refuse. */
  @FunctionalInterface
  public interface ConnectionFilter {
    /** Returns whether to refuse a new connection while {@code openConnections} are open. */
    boolean refuses(int openConnections);
  }
}
