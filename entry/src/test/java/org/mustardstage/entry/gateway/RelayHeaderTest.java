package org.mustardstage.entry.gateway;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

import java.util.Optional;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Guards what VMs tell each other about a relayed request. */
class RelayHeaderTest {
  @Test
  void formattedHeaderIsReadAgain() {
    RelayHeader header = new RelayHeader(21, 1, 340);

    assertThat(RelayHeader.parse(header.format()), is(Optional.of(header)));
  }

  @ParameterizedTest
  @ValueSource(strings = {"", "1", "1,2", "1,2,3,4", "1,2,x", "-1,2,3", "1,,3", "1, 2,3"})
  void malformedHeaderIsRejected(String value) {
    assertThat(RelayHeader.parse(value), is(Optional.empty()));
  }
}
