package org.mustardstage.core.config;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.contains;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.equalTo;

import java.time.Duration;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import org.junit.jupiter.api.Test;
import org.mustardstage.core.id.ConfigVersion;
import org.mustardstage.core.id.RegionId;
import org.mustardstage.core.id.VmId;
import org.mustardstage.core.id.VmIncarnation;
import org.mustardstage.core.id.ZoneId;
import org.mustardstage.core.manifest.HostAndPort;
import org.mustardstage.core.member.Member;

/**
 * Checks that the active version never decreases and that a failed or slow fetch doesn't stop a VM
 * from getting the newest manifest.
 */
class ConfigTrackerTest {
  private static final ConfigSource STORE = new ConfigSource.Store();
  private static final long AFTER_FETCH_TIMEOUT_NANOS = Duration.ofSeconds(3).toNanos();

  private final FakeConfigObjects objects = new FakeConfigObjects();
  private final ConfigTracker tracker = new ConfigTracker(objects);

  @Test
  void newerHeadIsFetchedThenActivated() {
    assertThat(
        tracker.offerHead(0, head(1), STORE),
        contains(new ConfigAction.Fetch(STORE, List.of("root-1"))));
    objects.present.add("root-1");
    assertThat(tracker.continueFetch(STORE), contains(new ConfigAction.Activate(head(1))));
    assertThat(tracker.activeHead(), equalTo(head(1)));
  }

  @Test
  void headWithAllObjectsPresentIsActivatedAtOnce() {
    activate(1);
    assertThat(tracker.activeHead(), equalTo(head(1)));
  }

  @Test
  void olderHeadIsNeverActivated() {
    activate(5);
    objects.present.add("root-4");
    assertThat(tracker.offerHead(0, head(4), STORE), empty());
    assertThat(tracker.activeHead(), equalTo(head(5)));
  }

  @Test
  void lateObjectsOfAnOlderFetchDoNotLowerTheActiveVersion() {
    tracker.offerHead(0, head(4), new ConfigSource.Peer(peer("a")));
    activate(5);
    objects.present.add("root-4");
    assertThat(tracker.continueFetch(new ConfigSource.Peer(peer("a"))), empty());
    assertThat(tracker.activeHead(), equalTo(head(5)));
  }

  @Test
  void fetchInProgressIsNotStartedTwice() {
    tracker.offerHead(0, head(1), STORE);
    assertThat(tracker.offerHead(1, head(1), STORE), empty());
  }

  @Test
  void timedOutFetchIsRestartedFromAnotherSource() {
    tracker.offerHead(0, head(1), STORE);
    ConfigSource peer = new ConfigSource.Peer(peer("a"));
    assertThat(
        tracker.offerHead(AFTER_FETCH_TIMEOUT_NANOS, head(1), peer),
        contains(new ConfigAction.Fetch(peer, List.of("root-1"))));
  }

  @Test
  void failedFetchIsRestartedByTheNextHead() {
    tracker.offerHead(0, head(1), STORE);
    tracker.abandonFetch(STORE);
    assertThat(
        tracker.offerHead(1, head(1), STORE),
        contains(new ConfigAction.Fetch(STORE, List.of("root-1"))));
  }

  @Test
  void unreadableManifestIsNeverActivated() {
    objects.invalid.add("root-1");
    assertThat(
        tracker.offerHead(0, head(1), STORE),
        contains(new ConfigAction.Reject(head(1), "object root-1: broken")));
    assertThat(tracker.offerHead(AFTER_FETCH_TIMEOUT_NANOS, head(1), STORE), empty());
    assertThat(tracker.activeHead(), equalTo(ConfigHead.NONE));
  }

  @Test
  void outdatedPeerGetsAnAnnouncement() {
    activate(2);
    Member outdated = peer("a");
    assertThat(
        tracker.announceIfOutdated(0, outdated, new ConfigVersion(1)),
        contains(new ConfigAction.Announce(outdated, head(2))));
  }

  @Test
  void outdatedPeerGetsNoSecondAnnouncementWithinTheGap() {
    activate(2);
    tracker.announceIfOutdated(0, peer("a"), new ConfigVersion(1));
    assertThat(tracker.announceIfOutdated(1, peer("a"), new ConfigVersion(1)), empty());
  }

  @Test
  void newerPeerGetsNoAnnouncement() {
    activate(2);
    assertThat(tracker.announceIfOutdated(0, peer("a"), new ConfigVersion(3)), empty());
  }

  private void activate(long version) {
    objects.present.add("root-" + version);
    assertThat(
        tracker.offerHead(0, head(version), STORE),
        contains(new ConfigAction.Activate(head(version))));
  }

  private static ConfigHead head(long version) {
    return new ConfigHead(new ConfigVersion(version), "root-" + version);
  }

  private static Member peer(String vm) {
    HostAndPort address = new HostAndPort("127.0.0.1", 10_000);
    return new Member(
        new VmIncarnation(new VmId(vm), 1),
        new ZoneId("zone"),
        new RegionId("region"),
        address,
        address,
        address,
        /* leaving= */ false);
  }

  /** Stands for the object store; each manifest consists of one object, its root. */
  private static final class FakeConfigObjects implements ConfigObjects {
    private final Set<String> present = new HashSet<>();
    private final Set<String> invalid = new HashSet<>();

    @Override
    public List<String> findMissing(ConfigHead head) throws InvalidManifestException {
      if (invalid.contains(head.rootHash())) {
        throw new InvalidManifestException(head.rootHash(), "broken");
      }
      return present.contains(head.rootHash()) ? List.of() : List.of(head.rootHash());
    }
  }
}
