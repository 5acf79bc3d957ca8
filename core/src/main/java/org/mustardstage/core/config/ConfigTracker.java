package org.mustardstage.core.config;

import com.google.common.collect.ImmutableList;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.mustardstage.core.id.ConfigVersion;
import org.mustardstage.core.id.VmId;
import org.mustardstage.core.member.Member;

/**
 * Decides which manifest takes force at one VM. The version in force never goes down. A newer head
 * is learned from the platform's table or from another VM; its objects are fetched from where it
 * was learned, and again from elsewhere when they do not come.
 */
public final class ConfigTracker {
  private static final long FETCH_TIMEOUT_NANOS = Duration.ofSeconds(2).toNanos();
  private static final long ANNOUNCE_GAP_NANOS = Duration.ofSeconds(1).toNanos();

  private final ConfigObjects objects;
  private final Map<VmId, Long> announcedNanos = new HashMap<>();
  private final Set<ConfigHead> invalid = new HashSet<>();
  private ConfigHead inForce = ConfigHead.NONE;
  private ConfigHead highestSeen = ConfigHead.NONE;
  private Optional<Attempt> attempt = Optional.empty();

  /** Creates the state of a VM that has no manifest in force. */
  public ConfigTracker(ConfigObjects objects) {
    this.objects = objects;
  }

  /** A fetch in progress. */
  private record Attempt(ConfigHead head, ConfigSource source, long startedNanos) {}

  /** Returns the head of the manifest in force. */
  public ConfigHead inForce() {
    return inForce;
  }

  /** Returns the newest head that was heard of. */
  public ConfigHead highestSeen() {
    return highestSeen;
  }

  /** Takes in a head that was read from the table or announced by a VM. */
  public List<ConfigAction> onHead(long nowNanos, ConfigHead head, ConfigSource source) {
    if (head.isNewerThan(highestSeen)) {
      highestSeen = head;
    }
    if (!head.isNewerThan(inForce) || isFetching(nowNanos, head) || invalid.contains(head)) {
      return ImmutableList.of();
    }
    attempt = Optional.of(new Attempt(head, source, nowNanos));
    return proceed();
  }

  private boolean isFetching(long nowNanos, ConfigHead head) {
    return attempt
        .filter(a -> !head.isNewerThan(a.head()))
        .filter(a -> nowNanos - a.startedNanos() < FETCH_TIMEOUT_NANOS)
        .isPresent();
  }

  /** Takes in the version that another VM has in force: a VM that is behind is told. */
  public List<ConfigAction> onPeerVersion(long nowNanos, Member peer, ConfigVersion version) {
    Long lastNanos = announcedNanos.get(peer.vm());
    boolean justTold = lastNanos != null && nowNanos - lastNanos < ANNOUNCE_GAP_NANOS;
    if (version.compareTo(inForce.version()) >= 0 || justTold) {
      return ImmutableList.of();
    }
    announcedNanos.put(peer.vm(), nowNanos);
    return ImmutableList.of(new ConfigAction.Announce(peer, inForce));
  }

  /** Takes in that objects of the fetch in progress have been stored, all or some of them. */
  public List<ConfigAction> onObjects(ConfigSource source) {
    return attempt.filter(a -> a.source().equals(source)).isPresent()
        ? proceed()
        : ImmutableList.of();
  }

  /** Takes in that a fetch failed; the next head that is heard of starts another. */
  public void onFetchFailed(ConfigSource source) {
    attempt = attempt.filter(a -> !a.source().equals(source));
  }

  private List<ConfigAction> proceed() {
    Attempt current = attempt.orElseThrow();
    List<String> missing;
    try {
      missing = objects.findMissing(current.head());
    } catch (ConfigObjects.InvalidManifestException e) {
      invalid.add(current.head());
      attempt = Optional.empty();
      return ImmutableList.of(new ConfigAction.Reject(current.head(), e.getMessage()));
    }
    if (!missing.isEmpty()) {
      return ImmutableList.of(new ConfigAction.Fetch(current.source(), missing));
    }
    inForce = current.head();
    attempt = Optional.empty();
    return ImmutableList.of(new ConfigAction.PutInForce(inForce));
  }

  /** Returns announcements of the manifest in force to each of {@code members}. */
  public List<ConfigAction> announceTo(long nowNanos, List<Member> members) {
    List<ConfigAction> actions = new ArrayList<>();
    for (Member member : members) {
      announcedNanos.put(member.vm(), nowNanos);
      actions.add(new ConfigAction.Announce(member, inForce));
    }
    return actions;
  }
}
