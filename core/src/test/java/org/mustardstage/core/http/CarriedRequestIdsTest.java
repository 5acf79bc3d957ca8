package org.mustardstage.core.http;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThan;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.util.ArrayList;
import java.util.List;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;

class CarriedRequestIdsTest {
  private final CarriedRequestIds carried = new CarriedRequestIds();

  @Test
  void noIdIsCarriedTwice() {
    List<String> recorded = new ArrayList<>();
    for (int i = 0; !carried.isFull(); i++) {
      String id = "r-" + i;
      if (carried.allows(id)) {
        carried.record(id);
        recorded.add(id);
      }
    }

    assertThat(recorded.stream().noneMatch(carried::allows), is(true));
    assertThrows(IllegalStateException.class, () -> carried.record(recorded.getFirst()));
  }

  @Test
  void emptyIdIsCarriedOnce() {
    carried.record("");

    assertThat(carried.allows(""), is(false));
  }

  /** A connection that is kept from an id without need costs a new one. */
  @Test
  void idsThatWereNotCarriedAreAllowed() {
    IntStream.range(0, 1_000).forEach(i -> carried.record("carried-" + i));

    long refused = IntStream.range(0, 10_000).filter(i -> !carried.allows("other-" + i)).count();

    assertThat(refused, lessThan(5L));
  }

  @Test
  void fullConnectionAllowsNothing() {
    for (int i = 0; !carried.isFull(); i++) {
      if (carried.allows("r-" + i)) {
        carried.record("r-" + i);
      }
    }

    assertThat(carried.allows("another"), is(false));
  }
}
