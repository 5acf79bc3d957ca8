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
  private static final long MIN_ANNOUNCE_GAP_NANOS = Duration.ofSeconds(1).toNanos();

  private final ConfigObjects objects;
  private final Map<VmId, Long> lastAnnouncementNanos = new HashMap<>();
  private final Set<ConfigHead> invalidHeads = new HashSet<>();
  private ConfigHead activeHead = ConfigHead.NONE;
  private ConfigHead newestSeenHead = ConfigHead.NONE;
  private Optional<FetchInProgress> fetch = Optional.empty();

  /** Creates the state of a VM that has no manifest in force. */
  public ConfigTracker(ConfigObjects objects) {
    this.objects = objects;
  }

  /** A fetch in progress. */
  private record FetchInProgress(ConfigHead head, ConfigSource source, long startNanos) {}

  /** Returns the head of the manifest in force. */
  public ConfigHead activeHead() {
    return activeHead;
  }

  /** Returns the newest head that was heard of. */
  public ConfigHead newestSeenHead() {
    return newestSeenHead;
  }

  /** Takes in a head that was read from the table or announced by a VM. */
  public List<ConfigAction> offerHead(long nowNanos, ConfigHead head, ConfigSource source) {
    if (head.isNewerThan(newestSeenHead)) {
      newestSeenHead = head;
    }
    if (!head.isNewerThan(activeHead) || isFetching(nowNanos, head) || invalidHeads.contains(head)) {
      return ImmutableList.of();
    }
    fetch = Optional.of(new FetchInProgress(head, source, nowNanos));
    return activateOrFetchMissing();
  }

  private boolean isFetching(long nowNanos, ConfigHead head) {
    return fetch
        .filter(a -> !head.isNewerThan(a.head()))
        .filter(a -> nowNanos - a.startNanos() < FETCH_TIMEOUT_NANOS)
        .isPresent();
  }

  /** Takes in the version that another VM has in force: a VM that is behind is told. */
  public List<ConfigAction> announceIfOutdated(long nowNanos, Member peer, ConfigVersion version) {
    Long lastNanos = lastAnnouncementNanos.get(peer.vm());
    boolean justTold = lastNanos != null && nowNanos - lastNanos < MIN_ANNOUNCE_GAP_NANOS;
    if (version.compareTo(activeHead.version()) >= 0 || justTold) {
      return ImmutableList.of();
    }
    lastAnnouncementNanos.put(peer.vm(), nowNanos);
    return ImmutableList.of(new ConfigAction.Announce(peer, activeHead));
  }

  /** Takes in that objects of the fetch in progress have been stored, all or some of them. */
  public List<ConfigAction> continueFetch(ConfigSource source) {
    return fetch.filter(a -> a.source().equals(source)).isPresent()
        ? activateOrFetchMissing()
        : ImmutableList.of();
  }

  /** Takes in that a fetch failed; the next head that is heard of starts another. */
  public void abandonFetch(ConfigSource source) {
    fetch = fetch.filter(a -> !a.source().equals(source));
  }

  private List<ConfigAction> activateOrFetchMissing() {
    FetchInProgress current = fetch.orElseThrow();
    List<String> missing;
    try {
      missing = objects.findMissing(current.head());
    } catch (ConfigObjects.InvalidManifestException e) {
      invalidHeads.add(current.head());
      fetch = Optional.empty();
      return ImmutableList.of(new ConfigAction.Reject(current.head(), e.getMessage()));
    }
    if (!missing.isEmpty()) {
      return ImmutableList.of(new ConfigAction.Fetch(current.source(), missing));
    }
    activeHead = current.head();
    fetch = Optional.empty();
    return ImmutableList.of(new ConfigAction.Activate(activeHead));
  }

  /** Returns announcements of the manifest in force to each of {@code members}. */
  public List<ConfigAction> announceTo(long nowNanos, List<Member> members) {
    List<ConfigAction> actions = new ArrayList<>();
    for (Member member : members) {
      lastAnnouncementNanos.put(member.vm(), nowNanos);
      actions.add(new ConfigAction.Announce(member, activeHead));
    }
    return actions;
  }
}
