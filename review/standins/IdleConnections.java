import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.concurrent.ConcurrentLinkedQueue;

/**
 * Users come one after the other, each on a new connection, and keep it open for later. The
 * configuration bounds how long a connection may be idle; the entry VM has the descriptors of its
 * machine.
 */
final class IdleConnections {
  private static final int TARGETS = 6;
  private static final int SLOTS = 9;
  private static final long WORK_MILLIS = 72;
  private static final long DEADLINE_MILLIS = 1_200;
  private static final int DESCRIPTORS = 2_870;
  private static final int USERS_PER_SECOND = 67;
  private static final int SECONDS = 54;

  /** A client gives up if its request was not read after one second. */
  private static final int PATIENCE_MILLIS = 1_000;

  /** Four fifths of the configured idle time, after which no client reuses a connection. */
  private static final long REUSED_MILLIS = 12_000;

  private static final double CONTACT_SECONDS = 4;
  private static final int MIN_CLIENTS = 7;

  private IdleConnections() {}

  /** A user's attempt to be served on a new connection. */
  private record Attempt(double atSeconds, boolean answered) {}

  public static void main(String[] args) {
    Case.run(args, IdleConnections::isBroken);
  }

  private static boolean isBroken(Lab lab) throws Exception {
    lab.limitDescriptors(DESCRIPTORS);
    lab.store.put(
        "op",
        "config",
        Config.of(
            1, List.of("order-desk"), List.of(new Config.Route("lookup", "idempotent", 0.3, 1.2, "order-desk"))));
    for (int i = 1; i <= TARGETS; i++) {
      lab.target("127.0.2." + i, "i-" + i, "order-desk", "north-a", SLOTS, WORK_MILLIS);
    }
    Lab.Vm vm = lab.startVm("edge-1", "127.0.1.1", "north-a", "");
    lab.awaitReady(30);
    Lab.sleep(7_000);
    ConcurrentLinkedQueue<Attempt> attempts = new ConcurrentLinkedQueue<>();
    ConcurrentLinkedQueue<Double> ready = new ConcurrentLinkedQueue<>();
    Thread platform = Thread.ofVirtual().start(() -> askReadiness(lab, vm, ready));
    List<Thread> users = new ArrayList<>();
    long begun = System.nanoTime();
    for (int i = 0; i < USERS_PER_SECOND * SECONDS; i++) {
      long waitMillis = i * 1_000L / USERS_PER_SECOND - (System.nanoTime() - begun) / 1_000_000;
      if (waitMillis > 0) {
        Lab.sleep(waitMillis);
      }
      String id = "q" + i;
      users.add(Thread.ofVirtual().start(() -> attempts.add(use(lab, vm, id))));
    }
    Lab.sleep(2 * PATIENCE_MILLIS);
    users.forEach(Thread::interrupt);
    for (Thread user : users) {
      user.join(1_000);
    }
    platform.interrupt();
    return judge(lab, vm, new ArrayList<>(attempts), new ArrayList<>(ready));
  }

  /** Sends one request on a new connection, which stays open until the VM closes it. */
  private static Attempt use(Lab lab, Lab.Vm vm, String id) {
    double at = lab.record.now();
    try {
      Socket socket = vm.connect();
      socket.setSoTimeout(PATIENCE_MILLIS);
      socket
          .getOutputStream()
          .write(
              ("GET /lookup/roll HTTP/1.1\r\nHost: " + Lab.HOST + "\r\nX-Request-Id: " + id
                  + "\r\nCookie: X-Affinity-Key=" + Math.floorMod(id.hashCode(), 87) + "\r\nX-Deadline-Ms: "
                  + DEADLINE_MILLIS + "\r\n\r\n")
                  .getBytes(StandardCharsets.ISO_8859_1));
      InputStream in = new BufferedInputStream(socket.getInputStream());
      Http.Message answer = Http.readResponse(in);
      if (answer == null) {
        lab.record.add("closed", vm.name, id, "end of stream");
        socket.close();
        return new Attempt(at, false);
      }
      lab.record.add("answer", vm.name, id, Integer.toString(answer.status()));
      Thread.ofVirtual().start(() -> keepOpen(lab, socket, in));
      return new Attempt(at, true);
    } catch (SocketTimeoutException e) {
      lab.record.add("gave-up", vm.name, id, "no answer after " + PATIENCE_MILLIS + " ms");
      return new Attempt(at, false);
    } catch (IOException e) {
      lab.record.add("closed", vm.name, id, String.valueOf(e.getMessage()));
      return new Attempt(at, false);
    }
  }

  private static void keepOpen(Lab lab, Socket socket, InputStream in) {
    try (socket) {
      socket.setSoTimeout(lab.trouble ? 0 : (int) REUSED_MILLIS);
      in.read();
    } catch (IOException e) {
      // The client closes a connection that it won't use again, or the VM has reset it.
    }
  }

  /** Asks each second whether the VM is ready, on a connection that is kept. */
  private static void askReadiness(Lab lab, Lab.Vm vm, ConcurrentLinkedQueue<Double> ready) {
    try (Socket socket = vm.connectReadiness()) {
      InputStream in = new BufferedInputStream(socket.getInputStream());
      while (!Thread.currentThread().isInterrupted()) {
        socket.getOutputStream().write("GET /v1/readiness HTTP/1.1\r\nHost: x\r\n\r\n".getBytes());
        Http.Message answer = Http.readResponse(in);
        if (answer != null && answer.status() == 200) {
          ready.add(lab.record.now());
        }
        lab.record.add("ready", vm.name, "-", answer == null ? "closed" : Integer.toString(answer.status()));
        Lab.sleep(1_000);
      }
    } catch (IOException e) {
      lab.record.add("ready", vm.name, "-", String.valueOf(e.getMessage()));
    }
  }

  /** Returns whether no client was served on a new connection for too long while the VM was ready. */
  private static boolean judge(Lab lab, Lab.Vm vm, List<Attempt> attempts, List<Double> ready) {
    attempts.sort(Comparator.comparingDouble(Attempt::atSeconds));
    double longest = 0;
    double longestFrom = 0;
    int triedInLongest = 0;
    int tried = 0;
    double from = -1;
    for (Attempt attempt : attempts) {
      if (attempt.answered()) {
        from = -1;
        tried = 0;
        continue;
      }
      from = from < 0 ? attempt.atSeconds() : from;
      tried++;
      if (attempt.atSeconds() - from > longest) {
        longest = attempt.atSeconds() - from;
        longestFrom = from;
        triedInLongest = tried;
      }
    }
    double begin = longestFrom;
    double end = longestFrom + longest;
    long readyMeanwhile = ready.stream().filter(at -> at >= begin && at <= end).count();
    boolean broken =
        longest > CONTACT_SECONDS && triedInLongest >= MIN_CLIENTS && readyMeanwhile >= longest / 2;
    lab.record.note(
        attempts.size() + " users, answered: " + attempts.stream().filter(Attempt::answered).count()
            + "; the process " + (vm.isAlive() ? "still runs" : "has ended"));
    lab.record.note(
        String.format(
            java.util.Locale.ROOT,
            "RECOVER: for %.1f s from %.1f s on, none of %d users who tried was served on a new connection, "
                + "while the VM said %d times that it was ready; allowed %.0f s or fewer than %d users%s",
            longest, begin, triedInLongest, readyMeanwhile, CONTACT_SECONDS, MIN_CLIENTS, broken ? ": BROKEN" : ""));
    return broken;
  }
}
