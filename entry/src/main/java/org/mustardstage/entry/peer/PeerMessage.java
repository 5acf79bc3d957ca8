package org.mustardstage.entry.peer;

import com.google.common.collect.ImmutableList;
import java.util.List;
import java.util.Optional;
import org.mustardstage.core.id.ConfigVersion;
import org.mustardstage.core.member.Member;
import org.mustardstage.core.member.MemberMessage;
import org.mustardstage.core.permit.PermitMessage;

/** A message between entry VMs. */
public sealed interface PeerMessage {
  /** Introduces the sender; the first message on a connection, in both directions. */
  record Hello(Member member) implements PeerMessage {}

  /** A message of the membership protocol. */
  record Membership(MemberMessage message) implements PeerMessage {}

  /** A message of the permit protocol. */
  record Permits(PermitMessage message) implements PeerMessage {}

  /** Tells which manifest is in force at the sender, by the hash of its root object. */
  record ConfigAnnounce(ConfigVersion version, String rootHash) implements PeerMessage {}

  /** Asks for objects by hash. */
  record ConfigFetch(List<String> hashes) implements PeerMessage {
    /** Copies the list. */
    public ConfigFetch {
      hashes = ImmutableList.copyOf(hashes);
    }
  }

  /** Carries the objects that were asked for. */
  record ConfigObjects(List<ConfigObject> objects) implements PeerMessage {
    /** Copies the list. */
    public ConfigObjects {
      objects = ImmutableList.copyOf(objects);
    }
  }

  /** Asks for the rows of {@code table} that changed after a version of the platform's store. */
  record RowsRequest(String table, long afterVersion) implements PeerMessage {}

  /**
   * Carries rows of {@code table}.
   *
   * @param table the table
   * @param afterVersion the rows are complete for one who knows all rows up to this version
   * @param version the version up to which the sender knows all rows
   * @param current whether the store has just told the sender so
   * @param rows the rows that changed after {@code afterVersion}
   */
  record RowsUpdate(
      String table, long afterVersion, long version, boolean current, List<VersionedRow> rows)
      implements PeerMessage {
    /** Copies the list. */
    public RowsUpdate {
      rows = ImmutableList.copyOf(rows);
    }
  }

  /**
   * A row of the platform's store.
   *
   * @param key its key
   * @param version the version that last changed it
   * @param value its bytes in Base64; empty when it was removed
   */
  record VersionedRow(String key, long version, Optional<String> value) {}

  /** An object; without content when the sender does not have it. */
  record ConfigObject(String hash, Optional<String> content) {}
}
