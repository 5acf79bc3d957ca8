import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;

/** Passes the connections of one entry VM on to the store; single ones can go silent for good. */
final class SilenceableProxy implements AutoCloseable {
  private static final String OPERATOR_FEED = "/v1/rows-feed?table=op&";

  private final ServerSocket server;
  private final String targetHost;
  private final int targetPort;
  private final Set<Link> links = ConcurrentHashMap.newKeySet();

  /** One connection; {@code feedStartNanos} is when its open call for operators' rows began, or 0. */
  private static final class Link {
    private final Socket caller;
    private final Socket store;
    private volatile boolean silent;
    private volatile long feedStartNanos;

    Link(Socket caller, Socket store) {
      this.caller = caller;
      this.store = store;
    }
  }

  SilenceableProxy(String host, String target) throws IOException {
    server = new ServerSocket(0, 100, InetAddress.getByName(host));
    int colon = target.lastIndexOf(':');
    targetHost = target.substring(0, colon);
    targetPort = Integer.parseInt(target.substring(colon + 1));
    Thread.ofVirtual().start(this::acceptAll);
  }

  String address() {
    return server.getInetAddress().getHostAddress() + ":" + server.getLocalPort();
  }

  private void acceptAll() {
    while (!server.isClosed()) {
      try {
        Socket caller = server.accept();
        Link link = new Link(caller, new Socket(targetHost, targetPort));
        caller.setTcpNoDelay(true);
        link.store.setTcpNoDelay(true);
        links.add(link);
        Thread.ofVirtual().start(() -> pump(link, true));
        Thread.ofVirtual().start(() -> pump(link, false));
      } catch (IOException e) {
        // The listener is closed, or the store is not reached; then the caller sees a closed connection.
      }
    }
  }

  private void pump(Link link, boolean fromCaller) {
    byte[] buffer = new byte[65_536];
    try (Socket from = fromCaller ? link.caller : link.store;
        Socket to = fromCaller ? link.store : link.caller) {
      InputStream in = from.getInputStream();
      OutputStream out = to.getOutputStream();
      for (int count = in.read(buffer); count >= 0; count = in.read(buffer)) {
        if (fromCaller) {
          boolean feed = new String(buffer, 0, count, StandardCharsets.ISO_8859_1).contains(OPERATOR_FEED);
          link.feedStartNanos = feed ? System.nanoTime() : 0;
        }
        if (!link.silent) {
          out.write(buffer, 0, count);
          out.flush();
        }
      }
    } catch (IOException e) {
      // One of the sides has ended.
    } finally {
      links.remove(link);
    }
  }

  /** Returns how long ago the open call for operators' rows began, in seconds; negative if there is none. */
  double feedAgeSeconds() {
    return links.stream()
        .filter(link -> link.feedStartNanos != 0 && !link.silent)
        .mapToDouble(link -> (System.nanoTime() - link.feedStartNanos) / 1e9)
        .min()
        .orElse(-1);
  }

  /** Lets the connections with an open call for operators' rows go silent; returns how many of all. */
  String silenceFeed() {
    long all = links.size();
    long silenced =
        links.stream()
            .filter(link -> link.feedStartNanos != 0)
            .peek(link -> link.silent = true)
            .count();
    return silenced + " of " + all;
  }

  @Override
  public void close() throws IOException {
    server.close();
    for (Link link : links) {
      link.caller.close();
      link.store.close();
    }
  }
}
