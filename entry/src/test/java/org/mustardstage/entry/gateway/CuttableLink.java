package org.mustardstage.entry.gateway;

import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.BindException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.SocketException;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.locks.LockSupport;
import org.mustardstage.core.manifest.HostAndPort;

/** Forwards connections to one address over loopback, until it is cut. */
final class CuttableLink implements AutoCloseable {
  private static final int BACKLOG = 300;

  /** With this backlog, the system drops the opening packets of the third connection on. */
  private static final int SHORT_BACKLOG = 1;

  private static final int MAX_FILLERS = 8;
  private static final int FILLER_TIMEOUT_MILLIS = 50;
  private static final int BUFFER_BYTES = 8_192;
  private static final int MAX_BIND_TRIES = 100;
  private static final long BIND_RETRY_NANOS = 10_000_000;

  /** What a cut does to connections. */
  enum Cut {
    /** Open connections carry nothing, and new ones are not accepted until the cut ends. */
    HANG(0),
    /** Open connections are reset, and new ones are refused. */
    RESET(0),
    /** Open connections are reset, and new ones are accepted and then reset. */
    RESET_ACCEPTED(0),
    /** Open connections go on, and new ones are refused. */
    REFUSE_NEW(0),
    /** Open connections go on, and new ones are accepted and then reset. */
    RESET_NEW(0),
    /** Open connections carry nothing, nor do new ones, which are accepted. */
    SILENT(0),
    /** Open connections are reset, and new ones are accepted and reset after a time. */
    RESET_AFTER_20(20),
    RESET_AFTER_100(100),
    RESET_AFTER_300(300);

    private final long resetAfterMillis;

    Cut(long resetAfterMillis) {
      this.resetAfterMillis = resetAfterMillis;
    }
  }

  private final HostAndPort target;
  private final int port;
  private final Set<Socket> sockets = ConcurrentHashMap.newKeySet();
  private final List<Socket> fillers = new ArrayList<>();
  private final Object hangLock = new Object();
  private ServerSocket server;
  private Thread acceptor;
  private boolean hanging;
  private volatile Optional<Cut> resetting = Optional.empty();

  CuttableLink(HostAndPort target) throws IOException {
    this.target = target;
    this.port = TestPorts.freeAddress().port();
    listen(BACKLOG);
    acceptFrom(server);
  }

  /** Returns the address at which the link takes connections. */
  HostAndPort address() {
    return new HostAndPort("127.0.0.1", port);
  }

  /** Cuts the link until {@link #restore}. */
  synchronized void cut(Cut how) throws IOException {
    stopListening();
    switch (how) {
      case HANG -> {
        synchronized (hangLock) {
          hanging = true;
        }
        listen(SHORT_BACKLOG);
        fillBacklog();
      }
      case RESET -> resetAll();
      case RESET_ACCEPTED, RESET_AFTER_20, RESET_AFTER_100, RESET_AFTER_300 -> {
        resetAll();
        listenAndReset(how);
      }
      case RESET_NEW -> listenAndReset(how);
      case SILENT -> {
        synchronized (hangLock) {
          hanging = true;
        }
        listen(BACKLOG);
        acceptFrom(server);
      }
      case REFUSE_NEW -> {}
    }
  }

  private void listenAndReset(Cut how) throws IOException {
    resetting = Optional.of(how);
    listen(BACKLOG);
    acceptFrom(server);
  }

  /** Ends a cut. What open connections held back arrives. */
  synchronized void restore() throws IOException {
    stopListening();
    for (Socket filler : fillers) {
      filler.close();
    }
    fillers.clear();
    resetting = Optional.empty();
    listen(BACKLOG);
    acceptFrom(server);
    synchronized (hangLock) {
      hanging = false;
      hangLock.notifyAll();
    }
  }

  @Override
  public synchronized void close() throws IOException {
    restore();
    stopListening();
    resetAll();
  }

  /** Listens again. The port is free only when the thread that accepted on it has noticed. */
  private void listen(int backlog) throws IOException {
    IOException last = null;
    for (int i = 0; i < MAX_BIND_TRIES; i++) {
      server = new ServerSocket();
      server.setReuseAddress(true);
      try {
        server.bind(new InetSocketAddress(InetAddress.getLoopbackAddress(), port), backlog);
        return;
      } catch (BindException e) {
        last = e;
        LockSupport.parkNanos(BIND_RETRY_NANOS);
      }
    }
    throw new IOException("port " + port + " stayed in use", last);
  }

  /** Opens connections that nobody accepts until one more is not answered. */
  private void fillBacklog() throws IOException {
    for (int i = 0; i < MAX_FILLERS; i++) {
      Socket filler = new Socket();
      fillers.add(filler);
      try {
        filler.connect(server.getLocalSocketAddress(), FILLER_TIMEOUT_MILLIS);
      } catch (IOException e) {
        return;
      }
    }
    throw new IOException("the system accepted " + MAX_FILLERS + " connections beyond the backlog");
  }

  private void resetAll() throws IOException {
    List<Socket> open = sockets.stream().filter(socket -> !socket.isClosed()).toList();
    sockets.clear();
    for (Socket socket : open) {
      setToReset(socket);
    }
    for (Socket socket : open) {
      socket.close();
    }
  }

  private static void setToReset(Socket socket) {
    try {
      socket.setSoLinger(true, 0);
    } catch (SocketException e) {
      // Closed meanwhile.
    }
  }

  /**
   * Returns when no more connections are accepted. A thread that waits in accept may still get one
   * after its socket is closed, and would forward it through a cut.
   */
  private void stopListening() throws IOException {
    server.close();
    try {
      acceptor.join();
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  private void acceptFrom(ServerSocket from) {
    acceptor =
        Thread.ofVirtual()
            .start(
                () -> {
                  try {
                    while (true) {
                      accept(from.accept());
                    }
                  } catch (IOException e) {
                    // Thrown when a cut closes the server socket.
                  }
                });
  }

  private void accept(Socket near) throws IOException {
    Optional<Cut> cut = resetting;
    if (cut.isPresent()) {
      Thread.ofVirtual().start(() -> resetLater(near, cut.get().resetAfterMillis));
    } else {
      forward(near);
    }
  }

  private static void resetLater(Socket near, long afterMillis) {
    try (near) {
      Thread.sleep(afterMillis);
      near.setSoLinger(true, 0);
    } catch (IOException e) {
      // The VM has closed the connection.
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  private void forward(Socket near) throws IOException {
    Socket far = new Socket(target.host(), target.port());
    sockets.add(near);
    sockets.add(far);
    Thread.ofVirtual().start(() -> copy(near, far));
    Thread.ofVirtual().start(() -> copy(far, near));
  }

  private void copy(Socket from, Socket to) {
    byte[] buffer = new byte[BUFFER_BYTES];
    try (from;
        to) {
      InputStream in = from.getInputStream();
      OutputStream out = to.getOutputStream();
      for (int n = in.read(buffer); n >= 0; n = in.read(buffer)) {
        awaitRestored();
        out.write(buffer, 0, n);
      }
      awaitRestored();
    } catch (IOException e) {
      // One of the sides closed or reset the connection.
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  private void awaitRestored() throws InterruptedException {
    synchronized (hangLock) {
      while (hanging) {
        hangLock.wait();
      }
    }
  }
}
