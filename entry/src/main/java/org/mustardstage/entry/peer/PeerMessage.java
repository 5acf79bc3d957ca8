package org.mustardstage.entry.peer;

import com.google.common.collect.ImmutableList;
import java.util.List;
import java.util.Optional;
import org.mustardstage.core.id.ConfigVersion;
import org.mustardstage.core.member.Member;
import org.mustardstage.core.member.MemberMessage;
import org.mustardstage.core.permit.PermitMessage;
import org.mustardstage.core.placement.EndpointIncarnation;
import org.mustardstage.core.placement.EndpointLimit;
import org.mustardstage.core.placement.LostAttempt;
import org.mustardstage.core.placement.RequestBlock;
import org.mustardstage.core.placement.RequestFingerprint;
import org.mustardstage.core.quota.QuotaMessage;

/** A message between entry VMs. */
public sealed interface PeerMessage {
  /**
   * Introduces the sender. It is the first message on a link, in both directions.
   *
   * @param member the sender
   * @param build the source from which the sender was built; empty if it does not say
   */
  record Hello(Member member, Optional<String> build) implements PeerMessage {}

  /** Carries a message of the membership protocol. */
  record Membership(MemberMessage message) implements PeerMessage {}

  /** Carries a message of the permit protocol. */
  record Permits(PermitMessage message) implements PeerMessage {}

  /** Carries a message about the quotas of tenants. */
  record Quota(QuotaMessage message) implements PeerMessage {}

  /** Announces which manifest is active at the sender, by the hash of its root object. */
  record ConfigAnnounce(ConfigVersion version, String rootHash) implements PeerMessage {}

  /** Requests objects by hash. */
  record ConfigFetch(List<String> hashes) implements PeerMessage {
    /** Copies the list. */
    public ConfigFetch {
      hashes = ImmutableList.copyOf(hashes);
    }
  }

  /** Carries requested objects. */
  record ConfigObjects(List<ConfigObject> objects) implements PeerMessage {
    /** Copies the list. */
    public ConfigObjects {
      objects = ImmutableList.copyOf(objects);
    }
  }

  /** Tells which limits endpoints have named in a response, and which have ended. */
  record EndpointLimits(List<EndpointLimit> limits) implements PeerMessage {
    /** Copies the list. */
    public EndpointLimits {
      limits = ImmutableList.copyOf(limits);
    }
  }

  /** Tells that an attempt of a request was lost because its endpoint has ended. */
  record AttemptLost(LostAttempt attempt) implements PeerMessage {}

  /** Tells that an endpoint has responded to a request of which an attempt was lost before. */
  record RequestSurvived(RequestFingerprint fingerprint) implements PeerMessage {}

  /** Tells which requests no VM sends to an endpoint, as they have ended several. */
  record RequestBlocks(List<RequestBlock> blocks) implements PeerMessage {
    /** Copies the list. */
    public RequestBlocks {
      blocks = ImmutableList.copyOf(blocks);
    }
  }

  /** Tells which endpoints have said in a response that they are leaving. */
  record EndpointsLeaving(List<EndpointIncarnation> endpoints) implements PeerMessage {
    /** Copies the list. */
    public EndpointsLeaving {
      endpoints = ImmutableList.copyOf(endpoints);
    }
  }

  /**
   * Requests the rows of {@code table} that changed after a version of the platform's store in an
   * era.
   */
  record RowsRequest(String table, long era, long afterVersion) implements PeerMessage {}

  /**
   * Carries rows of {@code table}.
   *
   * @param table the table
   * @param era the era of the store to which the versions belong
   * @param afterVersion {@code rows} is complete for a receiver that has all rows up to this
   *     version
   * @param version the version up to which the sender has all rows
   * @param current whether the sender has just read this from the store itself
   * @param contentHash a hash of all rows that the sender has, by which a receiver notices that its
   *     rows differ
   * @param rows the rows that changed after {@code afterVersion}
   */
  record RowsUpdate(
      String table,
      long era,
      long afterVersion,
      long version,
      boolean current,
      long contentHash,
      List<VersionedRow> rows)
      implements PeerMessage {
    /** Copies the list. */
    public RowsUpdate {
      rows = ImmutableList.copyOf(rows);
    }
  }

  /**
   * A row of the platform's store.
   *
   * @param key the key of the row
   * @param version the store version of the last change of the row
   * @param value the value in Base64; empty if the row was removed
   */
  record VersionedRow(String key, long version, Optional<String> value) {}

  /** An object and its hash. The content is empty if the sender does not have it. */
  record ConfigObject(String hash, Optional<String> content) {}
}
