import java.io.IOException;
import java.io.PrintWriter;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;

/** What was sent, answered and run, with the time of each since the start. */
final class Record implements AutoCloseable {
  /** One line: the time in seconds, what happened, where, and to which request. */
  record Entry(double atSeconds, String what, String where, String request, String detail) {}

  private final long startNanos = System.nanoTime();
  private final List<Entry> entries = new ArrayList<>();
  private final PrintWriter out;

  Record(Path file) throws IOException {
    out = new PrintWriter(Files.newBufferedWriter(file));
  }

  double now() {
    return (System.nanoTime() - startNanos) / 1e9;
  }

  synchronized Entry add(String what, String where, String request, String detail) {
    Entry entry = new Entry(now(), what, where, request, detail);
    entries.add(entry);
    out.printf(Locale.ROOT, "%8.3f %-8s %-10s %-14s %s%n", entry.atSeconds(), what, where, request, detail);
    return entry;
  }

  synchronized void note(String text) {
    out.printf(Locale.ROOT, "%8.3f %s%n", now(), text);
    out.flush();
    System.out.printf(Locale.ROOT, "%8.3f %s%n", now(), text);
  }

  synchronized List<Entry> all(String what) {
    return entries.stream().filter(entry -> entry.what().equals(what)).toList();
  }

  @Override
  public synchronized void close() {
    out.close();
  }
}
