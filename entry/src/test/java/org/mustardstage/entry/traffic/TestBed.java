package org.mustardstage.entry.traffic;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.util.Optional;
import java.util.function.BooleanSupplier;
import java.util.function.UnaryOperator;

/** An entry VM with two endpoints. Requests go to the first one unless they avoid it. */
final class TestBed implements AutoCloseable {
  private static final long POLL_MILLIS = 5;

  final FakeEndpoint first;
  final FakeEndpoint second;
  final FakeAdmission admission;
  final TestEntryVm entry;

  private TestBed(UnaryOperator<TrafficSettings> change) throws IOException {
    first = new FakeEndpoint("desk-1");
    second = new FakeEndpoint("desk-2");
    admission = new FakeAdmission(first.endpoint(), second.endpoint());
    TrafficSettings settings = change.apply(TestEntryVm.settings());
    entry = new TestEntryVm("vm-a", settings, admission, home -> Optional.empty());
  }

  static TestBed start() {
    return start(settings -> settings);
  }

  static TestBed start(UnaryOperator<TrafficSettings> change) {
    try {
      return new TestBed(change);
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
  }

  /** Waits until {@code condition} holds; the timeout of the test bounds the wait. */
  static void await(BooleanSupplier condition) throws InterruptedException {
    while (!condition.getAsBoolean()) {
      Thread.sleep(POLL_MILLIS);
    }
  }

  @Override
  public void close() throws IOException {
    entry.close();
    first.close();
    second.close();
  }
}
