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

class ConfigTrackerTest {
  private static final ConfigSource STORE = new ConfigSource.Store();
  private static final long LATER_NANOS = Duration.ofSeconds(3).toNanos();

  private final FakeObjects objects = new FakeObjects();
  private final ConfigTracker tracker = new ConfigTracker(objects);

  @Test
  void newerHeadIsFetchedThenPutInForce() {
    assertThat(
        tracker.onHead(0, head(1), STORE),
        contains(new ConfigAction.Fetch(STORE, List.of("root-1"))));
    objects.present.add("root-1");
    assertThat(tracker.onObjects(STORE), contains(new ConfigAction.PutInForce(head(1))));
    assertThat(tracker.inForce(), equalTo(head(1)));
  }

  @Test
  void headWhoseObjectsAreAtHandTakesForceAtOnce() {
    putInForce(1);
    assertThat(tracker.inForce(), equalTo(head(1)));
  }

  @Test
  void olderHeadNeverTakesForce() {
    putInForce(5);
    objects.present.add("root-4");
    assertThat(tracker.onHead(0, head(4), STORE), empty());
    assertThat(tracker.inForce(), equalTo(head(5)));
  }

  @Test
  void objectsOfAnOlderFetchDoNotLowerTheVersion() {
    tracker.onHead(0, head(4), new ConfigSource.Peer(peer("a")));
    putInForce(5);
    objects.present.add("root-4");
    assertThat(tracker.onObjects(new ConfigSource.Peer(peer("a"))), empty());
    assertThat(tracker.inForce(), equalTo(head(5)));
  }

  @Test
  void fetchInProgressIsNotStartedTwice() {
    tracker.onHead(0, head(1), STORE);
    assertThat(tracker.onHead(1, head(1), STORE), empty());
  }

  @Test
  void fetchThatTakesTooLongIsStartedAgainElsewhere() {
    tracker.onHead(0, head(1), STORE);
    ConfigSource peer = new ConfigSource.Peer(peer("a"));
    assertThat(
        tracker.onHead(LATER_NANOS, head(1), peer),
        contains(new ConfigAction.Fetch(peer, List.of("root-1"))));
  }

  @Test
  void failedFetchIsStartedAgainAtTheNextHead() {
    tracker.onHead(0, head(1), STORE);
    tracker.onFetchFailed(STORE);
    assertThat(
        tracker.onHead(1, head(1), STORE),
        contains(new ConfigAction.Fetch(STORE, List.of("root-1"))));
  }

  @Test
  void manifestThatCantBeReadNeverTakesForce() {
    objects.invalid.add("root-1");
    assertThat(
        tracker.onHead(0, head(1), STORE),
        contains(new ConfigAction.Reject(head(1), "object root-1: broken")));
    assertThat(tracker.onHead(LATER_NANOS, head(1), STORE), empty());
    assertThat(tracker.inForce(), equalTo(ConfigHead.NONE));
  }

  @Test
  void peerThatIsBehindIsTold() {
    putInForce(2);
    Member behind = peer("a");
    assertThat(
        tracker.onPeerVersion(0, behind, new ConfigVersion(1)),
        contains(new ConfigAction.Announce(behind, head(2))));
  }

  @Test
  void peerThatIsBehindIsNotToldTwiceInARow() {
    putInForce(2);
    tracker.onPeerVersion(0, peer("a"), new ConfigVersion(1));
    assertThat(tracker.onPeerVersion(1, peer("a"), new ConfigVersion(1)), empty());
  }

  @Test
  void peerThatIsAheadIsNotTold() {
    putInForce(2);
    assertThat(tracker.onPeerVersion(0, peer("a"), new ConfigVersion(3)), empty());
  }

  private void putInForce(long version) {
    objects.present.add("root-" + version);
    assertThat(
        tracker.onHead(0, head(version), STORE),
        contains(new ConfigAction.PutInForce(head(version))));
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

  /** Objects of which each manifest has one, its root. */
  private static final class FakeObjects implements ConfigObjects {
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
