package org.mustardstage.model;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.notNullValue;

import org.junit.jupiter.api.Test;

class TlcAvailableTest {
  @Test
  void modelCheckerIsOnTheClassPath() {
    assertThat(getClass().getResource("/tlc2/TLC.class"), notNullValue());
  }
}
