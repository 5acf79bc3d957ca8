package org.mustardstage.core.overload;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

import java.util.Optional;
import org.junit.jupiter.api.Test;

/** Guards against buffers that grow without end and take the memory of all the others. */
class BufferBudgetTest {
  private final BufferBudget<String> budget = new BufferBudget<>(100);

  @Test
  void buffersWithinTheCapacityStay() {
    assertThat(budget.resize("a", 60), is(Optional.empty()));
    assertThat(budget.resize("b", 40), is(Optional.empty()));
    assertThat(budget.heldBytes(), is(100L));
  }

  @Test
  void largestBufferGoesEvenIfAnotherOneGrew() {
    budget.resize("endless", 90);

    assertThat(budget.resize("small", 11), is(Optional.of("endless")));
    budget.remove("endless");
    assertThat(budget.heldBytes(), is(11L));
  }

  @Test
  void sizeOfABufferReplacesItsFormerSize() {
    budget.resize("a", 90);
    budget.resize("a", 20);

    assertThat(budget.heldBytes(), is(20L));
    budget.remove("a");
    budget.remove("a");
    assertThat(budget.heldBytes(), is(0L));
  }

  /** Guards against requests that are run without the body that was dropped under them. */
  @Test
  void keptBufferCountsButIsNeverDropped() {
    budget.resize("whole", 90);
    budget.keep("whole");

    assertThat(budget.resize("new", 20), is(Optional.of("new")));
    budget.remove("new");
    assertThat(budget.heldBytes(), is(90L));
    budget.remove("whole");
    assertThat(budget.resize("whole", 110), is(Optional.of("whole")));
  }
}
