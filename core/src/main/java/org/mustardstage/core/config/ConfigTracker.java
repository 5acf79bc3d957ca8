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
 * Decides which configuration is active on one VM. The active version never decreases. A newer head
 * is learned from the platform's table or from another VM. Its objects are fetched from the source
 * of the head, and after a timeout from the source of the next head that arrives.
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

  /** Creates the tracker of a VM without an active configuration. */
  public ConfigTracker(ConfigObjects objects) {
    this.objects = objects;
  }

  /** A fetch of the missing objects of a manifest. */
  private record FetchInProgress(ConfigHead head, ConfigSource source, long startNanos) {}

  /** Returns the head of the active configuration. */
  public ConfigHead activeHead() {
    return activeHead;
  }

  /** Returns the newest head that this VM has learned of, fetched or not. */
  public ConfigHead newestSeenHead() {
    return newestSeenHead;
  }

  /**
   * Starts to fetch the manifest of {@code head}, which was read from the table or announced by a
   * VM, if it is newer than the active one and no recent fetch covers it.
   */
  public List<ConfigAction> offerHead(long nowNanos, ConfigHead head, ConfigSource source) {
    if (head.isNewerThan(newestSeenHead)) {
      newestSeenHead = head;
    }
    if (!head.isNewerThan(activeHead)
        || isFetching(nowNanos, head)
        || invalidHeads.contains(head)) {
      return ImmutableList.of();
    }
    fetch = Optional.of(new FetchInProgress(head, source, nowNanos));
    return activateOrFetchMissing();
  }

  private boolean isFetching(long nowNanos, ConfigHead head) {
    return fetch
        .filter(f -> !head.isNewerThan(f.head()))
        .filter(f -> nowNanos - f.startNanos() < FETCH_TIMEOUT_NANOS)
        .isPresent();
  }

  /**
   * Announces the active configuration to {@code peer} if the version active there is older and the
   * last announcement is not too recent.
   */
  public List<ConfigAction> announceIfOutdated(long nowNanos, Member peer, ConfigVersion version) {
    Long lastNanos = lastAnnouncementNanos.get(peer.vm());
    boolean isRecentlyAnnounced =
        lastNanos != null && nowNanos - lastNanos < MIN_ANNOUNCE_GAP_NANOS;
    if (version.compareTo(activeHead.version()) >= 0 || isRecentlyAnnounced) {
      return ImmutableList.of();
    }
    lastAnnouncementNanos.put(peer.vm(), nowNanos);
    return ImmutableList.of(new ConfigAction.Announce(peer, activeHead));
  }

  /** Continues the current fetch after some or all of its objects have been stored. */
  public List<ConfigAction> continueFetch(ConfigSource source) {
    return fetch.filter(f -> f.source().equals(source)).isPresent()
        ? activateOrFetchMissing()
        : ImmutableList.of();
  }

  /** Abandons the current fetch after an error; the next head starts another. */
  public void abandonFetch(ConfigSource source) {
    fetch = fetch.filter(f -> !f.source().equals(source));
  }

  private List<ConfigAction> activateOrFetchMissing() {
    FetchInProgress currentFetch = fetch.orElseThrow();
    List<String> missing;
    try {
      missing = objects.findMissing(currentFetch.head());
    } catch (ConfigObjects.InvalidManifestException e) {
      invalidHeads.add(currentFetch.head());
      fetch = Optional.empty();
      return ImmutableList.of(new ConfigAction.Reject(currentFetch.head(), e.getMessage()));
    }
    if (!missing.isEmpty()) {
      return ImmutableList.of(new ConfigAction.Fetch(currentFetch.source(), missing));
    }
    activeHead = currentFetch.head();
    fetch = Optional.empty();
    return ImmutableList.of(new ConfigAction.Activate(activeHead));
  }

  /** Announces the active configuration to each of {@code members}. */
  public List<ConfigAction> announceTo(long nowNanos, List<Member> members) {
    List<ConfigAction> actions = new ArrayList<>();
    for (Member member : members) {
      lastAnnouncementNanos.put(member.vm(), nowNanos);
      actions.add(new ConfigAction.Announce(member, activeHead));
    }
    return actions;
  }
}
