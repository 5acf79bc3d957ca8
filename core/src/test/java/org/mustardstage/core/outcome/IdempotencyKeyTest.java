package org.mustardstage.core.outcome;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

import org.junit.jupiter.api.Test;

class IdempotencyKeyTest {
  @Test
  void parsedKeyKeepsItsText() {
    assertThat(IdempotencyKey.parse("vm-a/3/12/a/b").get().toString(), is("vm-a/3/12/a/b"));
    assertThat(IdempotencyKey.parse("vm-a/3/12/a/b").get().text(), is("a/b"));
  }

  @Test
  void malformedKeysAreRejected() {
    assertMalformed("");
    assertMalformed("vm-a/3/12");
    assertMalformed("vm-a/3/12/");
    assertMalformed("vm-a/0/12/x");
    assertMalformed("vm-a/3/-1/x");
    assertMalformed("vm-a/x/1/x");
    assertMalformed("VM A/3/1/x");
    assertMalformed("vm-a/3/1/with space");
    assertMalformed("vm-a/3/1/" + "x".repeat(IdempotencyKey.MAX_LENGTH_CHARS));
  }

  private static void assertMalformed(String value) {
    assertThat(IdempotencyKey.parse(value).getLeft(), is(BadRequest.MALFORMED_KEY));
  }
}
