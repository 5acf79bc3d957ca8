import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.atomic.AtomicReference;

/**
 * Passes connections on to the store. One connection can go silent: it stays open, and passes
 * nothing on any more, in either direction.
 */
final class SilenceProxy implements AutoCloseable {
  private final ServerSocket server;
  private final InetSocketAddress target;
  private final String marker;
  private final Set<Socket> open = ConcurrentHashMap.newKeySet();
  private final AtomicReference<CountDownLatch> wanted = new AtomicReference<>();

  /** Creates a proxy; {@code marker} is a text in the calls whose connection may go silent. */
  SilenceProxy(String host, String targetAddress, String marker) throws IOException {
    this.marker = marker;
    int colon = targetAddress.lastIndexOf(':');
    target =
        new InetSocketAddress(
            targetAddress.substring(0, colon), Integer.parseInt(targetAddress.substring(colon + 1)));
    server = new ServerSocket(0, 100, InetAddress.getByName(host));
    Thread.ofVirtual().start(this::acceptAll);
  }

  String address() {
    return server.getInetAddress().getHostAddress() + ":" + server.getLocalPort();
  }

  /** Silences the connection of the next call with the marker, once the call was passed on. */
  void silenceNextCall() throws InterruptedException {
    CountDownLatch silenced = new CountDownLatch(1);
    wanted.set(silenced);
    silenced.await();
  }

  private void acceptAll() {
    while (!server.isClosed()) {
      try {
        Socket caller = server.accept();
        Socket store = new Socket(target.getAddress(), target.getPort());
        caller.setTcpNoDelay(true);
        store.setTcpNoDelay(true);
        open.add(caller);
        open.add(store);
        boolean[] silent = new boolean[1];
        Thread.ofVirtual().start(() -> pass(caller, store, silent, true));
        Thread.ofVirtual().start(() -> pass(store, caller, silent, false));
      } catch (IOException e) {
        if (server.isClosed()) {
          return;
        }
      }
    }
  }

  private void pass(Socket from, Socket to, boolean[] silent, boolean calls) {
    byte[] buffer = new byte[64 << 10];
    try {
      InputStream in = from.getInputStream();
      OutputStream out = to.getOutputStream();
      for (int n = in.read(buffer); n >= 0; n = in.read(buffer)) {
        synchronized (silent) {
          if (silent[0]) {
            continue;
          }
          out.write(buffer, 0, n);
          out.flush();
          String text = calls ? new String(buffer, 0, n, StandardCharsets.ISO_8859_1) : "";
          CountDownLatch latch = text.contains(marker) ? wanted.getAndSet(null) : null;
          if (latch != null) {
            silent[0] = true;
            latch.countDown();
          }
        }
      }
      synchronized (silent) {
        if (silent[0]) {
          return;
        }
      }
      to.close();
      from.close();
    } catch (IOException e) {
      try {
        from.close();
        to.close();
      } catch (IOException closing) {
        // Both ends are gone.
      }
    }
  }

  @Override
  public void close() throws IOException {
    server.close();
    for (Socket socket : open) {
      socket.close();
    }
  }
}
