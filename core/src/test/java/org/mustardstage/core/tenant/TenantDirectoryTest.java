package org.mustardstage.core.tenant;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.containsString;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.not;
import static org.junit.jupiter.api.Assertions.assertThrows;

import com.google.common.collect.ImmutableMap;
import com.google.common.collect.ImmutableSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalInt;
import org.junit.jupiter.api.Test;
import org.mustardstage.core.id.TenantName;

/** Guards the lookup of tenants by their keys, and that no key stands in a message. */
class TenantDirectoryTest {
  private static final Tenant MILL = tenant("mill");
  private static final Tenant PRESS = tenant("press");
  private static final ImmutableMap<TenantName, Tenant> TENANTS =
      ImmutableMap.of(MILL.name(), MILL, PRESS.name(), PRESS);

  private static Tenant tenant(String name) {
    return new Tenant(
        new TenantName(name), OptionalInt.empty(), ImmutableSet.of(), Optional.empty());
  }

  @Test
  void keyLeadsToItsTenantAndNoOtherTextDoes() {
    TenantDirectory directory =
        new TenantDirectory(
            TENANTS, Map.of(MILL.name(), List.of("k1", "k2"), PRESS.name(), List.of("k3")));

    assertThat(directory.findByKey("k2"), is(Optional.of(MILL)));
    assertThat(directory.findByKeyHash(ApiKeyHash.of("k3")), is(Optional.of(PRESS)));
    assertThat(directory.keyCount(), is(3));
    for (String other : List.of("", "k", "K1", "k1 ", " k1", "k1k2", "k\u00e9", "k".repeat(999))) {
      assertThat(other, directory.findByKey(other), is(Optional.empty()));
    }
  }

  @Test
  void invalidKeysAreRefusedWithoutTheirText() {
    assertRefused(Map.of(MILL.name(), List.of("secret"), PRESS.name(), List.of("secret")));
    assertRefused(Map.of(MILL.name(), List.of("secret", "secret")));
    assertRefused(Map.of(MILL.name(), List.of("secret key")));
    assertRefused(Map.of(MILL.name(), List.of("secret".repeat(99))));
    assertRefused(Map.of(new TenantName("nobody"), List.of("secret")));
  }

  private static void assertRefused(Map<TenantName, List<String>> keys) {
    String message =
        assertThrows(IllegalArgumentException.class, () -> new TenantDirectory(TENANTS, keys))
            .getMessage();
    assertThat(message, not(containsString("secret")));
  }

  @Test
  void hashIsReadFromItsText() {
    ApiKeyHash hash = ApiKeyHash.of("abc");

    // The first half of SHA-256 of "abc".
    assertThat(hash.toString(), is("ba7816bf8f01cfea414140de5dae2223"));
    assertThat(ApiKeyHash.parse(hash.toString()), is(Optional.of(hash)));
    for (String malformed : List.of("", "ba78", "x".repeat(32), "a".repeat(33), "-".repeat(32))) {
      assertThat(malformed, ApiKeyHash.parse(malformed), is(Optional.empty()));
    }
  }
}
