package org.mustardstage.core.config;

import org.mustardstage.core.id.ConfigVersion;

/**
 * Identifies an accepted manifest.
 *
 * @param version its configuration version
 * @param rootHash the hash of its root object
 */
public record ConfigHead(ConfigVersion version, String rootHash) {
  /** The head before any manifest was accepted. */
  public static final ConfigHead NONE = new ConfigHead(ConfigVersion.NONE, "");

  /** Returns whether this head replaces {@code other}. */
  public boolean isNewerThan(ConfigHead other) {
    return version.compareTo(other.version) > 0;
  }
}
