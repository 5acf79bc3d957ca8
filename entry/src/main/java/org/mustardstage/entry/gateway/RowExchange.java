package org.mustardstage.entry.gateway;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableMap;
import java.util.Base64;
import java.util.EnumMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.function.BiConsumer;
import org.mustardstage.core.id.RegionId;
import org.mustardstage.core.id.VmId;
import org.mustardstage.core.member.Member;
import org.mustardstage.core.member.MemberStatus;
import org.mustardstage.core.member.MemberView;
import org.mustardstage.core.member.Representatives;
import org.mustardstage.entry.gateway.RowStore.StoredRow;
import org.mustardstage.entry.peer.PeerMessage;

/**
 * Decides which VMs of a region read the platform's store, and exchanges rows with the others: the
 * readers pass on what changes, and a VM that the store turns away asks others.
 */
final class RowExchange {
  /** How many VMs of a region read the store; one of them may fail. */
  private static final int READERS_OF_REGION = 2;

  /** Leaves time to tell the others' news within the shortest bound on endpoints that leave. */
  private static final long ASK_NANOS = TimeUnit.MILLISECONDS.toNanos(500);

  /** One of them may be cut off as well. */
  private static final int ASKED_AT_ONCE = 2;

  private final VmId self;
  private final RegionId region;
  private final ImmutableMap<PlatformAdapter.Table, RowFollower> followers;
  private final BiConsumer<Member, PeerMessage> sender;
  private final Map<PlatformAdapter.Table, Long> passedOnVersions =
      new EnumMap<>(PlatformAdapter.Table.class);
  private long askedNanos = Long.MIN_VALUE / 2;
  private int nextAsked;

  RowExchange(
      VmId self,
      RegionId region,
      ImmutableMap<PlatformAdapter.Table, RowFollower> followers,
      BiConsumer<Member, PeerMessage> sender) {
    this.self = self;
    this.region = region;
    this.followers = followers;
    this.sender = sender;
  }

  /** Chooses the readers anew, and asks others while the store can't be reached from here. */
  void onTick(long nowNanos, MemberView view, boolean leaving) {
    boolean reads = leaving || isReader(self, near(view));
    followers
        .values()
        .forEach(
            follower -> {
              follower.setReader(nowNanos, reads);
              follower.onTick(nowNanos);
            });
    boolean cutOff = followers.values().stream().anyMatch(follower -> !follower.storeAnswers());
    if (cutOff && nowNanos - askedNanos >= ASK_NANOS) {
      askedNanos = nowNanos;
      askOthers(view);
    }
  }

  private static boolean isReader(VmId vm, List<Member> near) {
    return near.stream()
        .filter(member -> member.vm().equals(vm))
        .anyMatch(member -> Representatives.isAmongFirst(READERS_OF_REGION, "store", member, near));
  }

  /** Returns the VMs of the own region that are believed alive and stay. */
  private ImmutableList<Member> near(MemberView view) {
    return view.statuses().stream()
        .filter(MemberStatus::acceptsCallers)
        .map(MemberStatus::member)
        .filter(member -> member.region().equals(region))
        .collect(ImmutableList.toImmutableList());
  }

  private void askOthers(MemberView view) {
    List<Member> others =
        view.statuses().stream()
            .filter(MemberStatus::isAlive)
            .map(MemberStatus::member)
            .filter(member -> !member.vm().equals(self))
            .toList();
    if (others.isEmpty()) {
      return;
    }
    for (int i = 0; i < ASKED_AT_ONCE; i++) {
      Member other = others.get(Math.floorMod(nextAsked++, others.size()));
      followers.keySet().forEach(feed -> ask(other, feed));
    }
  }

  private void ask(Member other, PlatformAdapter.Table feed) {
    sender.accept(other, new PeerMessage.RowsRequest(feed.name(), followers.get(feed).version()));
  }

  /** Passes on what the store has told this VM, or that nothing has changed, to those nearby. */
  void onRead(PlatformAdapter.Table feed, MemberView view, boolean leaving) {
    ImmutableList<Member> near = near(view);
    if (leaving || !isReader(self, near)) {
      return;
    }
    long afterVersion = passedOnVersions.getOrDefault(feed, 0L);
    passedOnVersions.put(feed, followers.get(feed).version());
    PeerMessage news = known(feed, afterVersion, /* current= */ true);
    near.stream()
        .filter(member -> !isReader(member.vm(), near))
        .forEach(member -> sender.accept(member, news));
  }

  private PeerMessage known(PlatformAdapter.Table feed, long afterVersion, boolean current) {
    RowFollower follower = followers.get(feed);
    List<PeerMessage.VersionedRow> rows =
        follower.changedSince(afterVersion).stream()
            .map(
                row ->
                    new PeerMessage.VersionedRow(
                        row.key(),
                        row.version(),
                        row.value().map(Base64.getEncoder()::encodeToString)))
            .toList();
    return new PeerMessage.RowsUpdate(feed.name(), afterVersion, follower.version(), current, rows);
  }

  /** Answers a VM that asks what this one knows. */
  void onWanted(Member from, PeerMessage.RowsRequest wanted) {
    PlatformAdapter.Table feed = feedOf(wanted.table());
    RowFollower follower = followers.get(feed);
    if (follower.isWholeKnown() && follower.version() > wanted.afterVersion()) {
      sender.accept(from, known(feed, wanted.afterVersion(), /* current= */ false));
    }
  }

  /** Takes in what another VM knows; asks it for the rest if something is missing in between. */
  void onKnown(long nowNanos, Member from, PeerMessage.RowsUpdate known) {
    List<StoredRow> rows =
        known.rows().stream()
            .map(
                row ->
                    new StoredRow(
                        row.key(), row.version(), row.value().map(Base64.getDecoder()::decode)))
            .toList();
    PlatformAdapter.Table feed = feedOf(known.table());
    boolean complete =
        followers
            .get(feed)
            .onPeerRows(
                nowNanos,
                known.afterVersion(),
                new RowStore.Rows(rows, known.version()),
                known.current());
    if (!complete) {
      ask(from, feed);
    }
  }

  private static PlatformAdapter.Table feedOf(String table) {
    return table.equals(PlatformAdapter.Table.OPERATOR.name())
        ? PlatformAdapter.Table.OPERATOR
        : PlatformAdapter.Table.ENDPOINTS;
  }
}
