package org.mustardstage.entry.control;

import io.activej.promise.Promise;
import io.activej.promise.Promises;
import io.vavr.control.Either;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.Executor;
import java.util.function.BooleanSupplier;
import java.util.function.LongSupplier;
import org.mustardstage.core.config.ConfigAction;
import org.mustardstage.core.config.ConfigHead;
import org.mustardstage.core.config.ConfigSource;
import org.mustardstage.core.config.ConfigTracker;
import org.mustardstage.core.id.ConfigVersion;
import org.mustardstage.core.manifest.Manifest;
import org.mustardstage.core.member.Member;
import org.mustardstage.entry.log.Event;
import org.mustardstage.entry.log.EventLog;
import org.mustardstage.entry.peer.PeerMessage;
import org.mustardstage.entry.platform.ObjectStore;
import org.mustardstage.entry.platform.PlatformFailure;
import org.mustardstage.entry.platform.Row;
import org.mustardstage.entry.platform.TableService;

/** Reads the head, fetches manifests and puts them in force. Used on the control thread only. */
final class ConfigService {
  private static final long POLL_NANOS = Duration.ofSeconds(1).toNanos();

  private final TableService table;
  private final ObjectStore store;
  private final LongSupplier clock;
  private final Host host;
  private final ObjectCache cache;
  private final ConfigTracker tracker;
  private long polledNanos = Long.MIN_VALUE / 2;
  private boolean pollRunning;

  /** What the service needs of the control thread. */
  interface Host {
    /** Sends a message to a VM. */
    void send(Member to, PeerMessage message);

    /** Returns the VMs that are told at once of a new manifest. */
    List<Member> announceTargets();

    /** Puts a manifest in force. */
    void onManifest(ConfigHead head, Manifest manifest);

    /** Notes whether the platform answered. */
    void onPlatformAnswer(boolean answered);
  }

  ConfigService(
      TableService table, ObjectStore store, LongSupplier clock, Executor reader, Host host) {
    this.cache = new ObjectCache(reader);
    this.tracker = new ConfigTracker(cache);
    this.table = table;
    this.store = store;
    this.clock = clock;
    this.host = host;
  }

  ConfigHead inForce() {
    return tracker.activeHead();
  }

  /** Returns whether the object under {@code hash} belongs to the manifest in force. */
  boolean isStored(String hash) {
    return tracker.activeHead().version().number() > 0 && cache.get(hash).isPresent();
  }

  /** Reads the head when it is due. */
  void onTick(BooleanSupplier isPoller) {
    long nowNanos = clock.getAsLong();
    boolean due = nowNanos - polledNanos >= POLL_NANOS;
    if (!due || pollRunning || !isPoller.getAsBoolean()) {
      return;
    }
    polledNanos = nowNanos;
    pollRunning = true;
    table.read(Rows.HEAD_KEY).whenResult(this::onPolled);
  }

  private void onPolled(Either<PlatformFailure, Optional<Row>> read) {
    pollRunning = false;
    host.onPlatformAnswer(read.isRight());
    read.toJavaOptional().flatMap(row -> row).flatMap(Rows::toHead).ifPresent(this::onAccepted);
  }

  /** Takes in a head that the table holds. */
  void onAccepted(ConfigHead head) {
    run(tracker.offerHead(clock.getAsLong(), head, new ConfigSource.Store()));
  }

  void onPeerVersion(Member peer, ConfigVersion version) {
    run(tracker.announceIfOutdated(clock.getAsLong(), peer, version));
  }

  void onAnnounce(Member from, PeerMessage.ConfigAnnounce announce) {
    ConfigHead head = new ConfigHead(announce.version(), announce.rootHash());
    run(tracker.offerHead(clock.getAsLong(), head, new ConfigSource.Peer(from)));
  }

  void onFetch(Member from, PeerMessage.ConfigFetch fetch) {
    List<PeerMessage.ConfigObject> found = new ArrayList<>();
    for (String hash : fetch.hashes()) {
      found.add(new PeerMessage.ConfigObject(hash, cache.get(hash)));
    }
    host.send(from, new PeerMessage.ConfigObjects(found));
  }

  void onObjects(Member from, PeerMessage.ConfigObjects objects) {
    ConfigSource source = new ConfigSource.Peer(from);
    Promises.toList(objects.objects().stream().map(this::store).toList())
        .whenResult(ends -> onStored(source, ends.stream().allMatch(stored -> stored)));
  }

  private Promise<Boolean> store(PeerMessage.ConfigObject object) {
    return object
        .content()
        .map(content -> cache.put(object.hash(), content))
        .orElse(Promise.of(false));
  }

  private void onStored(ConfigSource source, boolean whole) {
    if (whole) {
      run(tracker.continueFetch(source));
    } else {
      EventLog.log(Event.MANIFEST_FETCH_FAILED, "source", source);
      tracker.abandonFetch(source);
    }
  }

  private void run(List<ConfigAction> actions) {
    for (ConfigAction action : actions) {
      switch (action) {
        case ConfigAction.Fetch fetch -> fetch(fetch);
        case ConfigAction.Announce announce -> announce(announce);
        case ConfigAction.Activate put -> putInForce(put.head());
        case ConfigAction.Reject reject ->
            EventLog.log(Event.MANIFEST_INVALID, "head", reject.head(), "why", reject.detail());
      }
    }
  }

  private void fetch(ConfigAction.Fetch fetch) {
    switch (fetch.source()) {
      case ConfigSource.Peer peer ->
          host.send(peer.member(), new PeerMessage.ConfigFetch(fetch.hashes()));
      case ConfigSource.Store source -> fetchFromStore(source, fetch.hashes());
    }
  }

  private void fetchFromStore(ConfigSource.Store source, List<String> hashes) {
    Promises.toList(hashes.stream().map(this::fetchObject).toList())
        .whenResult(ends -> onStored(source, ends.stream().allMatch(stored -> stored)));
  }

  private Promise<Boolean> fetchObject(String hash) {
    return store
        .get(hash)
        .then(
            end ->
                end.toJavaOptional()
                    .flatMap(content -> content)
                    .map(content -> cache.put(hash, new String(content, StandardCharsets.UTF_8)))
                    .orElse(Promise.of(false)));
  }

  private void announce(ConfigAction.Announce announce) {
    ConfigHead head = announce.head();
    host.send(announce.to(), new PeerMessage.ConfigAnnounce(head.version(), head.rootHash()));
  }

  private void putInForce(ConfigHead head) {
    Manifest manifest = cache.takeAssembled(head);
    EventLog.log(Event.MANIFEST_IN_FORCE, "version", head.version(), "hash", head.rootHash());
    host.onManifest(head, manifest);
    run(tracker.announceTo(clock.getAsLong(), host.announceTargets()));
  }
}
