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

/**
 * Keeps the active configuration up to date: polls the accepted head in the platform's table,
 * fetches the objects of new manifests from the platform or other VMs, and activates complete
 * manifests. Used on the control thread only.
 */
final class ConfigService {
  private static final long POLL_INTERVAL_NANOS = Duration.ofSeconds(1).toNanos();

  private final TableService table;
  private final ObjectStore store;
  private final LongSupplier clock;
  private final Callbacks callbacks;
  private final ObjectCache cache;
  private final ConfigTracker tracker;
  private long lastPollNanos = Long.MIN_VALUE / 2;
  private boolean pollRunning;

  /** The operations of the control thread that the service calls. */
  interface Callbacks {
    /** Sends a message to an entry VM. */
    void send(Member to, PeerMessage message);

    /** Returns the VMs to which a newly activated manifest is announced immediately. */
    List<Member> announceTargets();

    /** Makes {@code manifest} the active configuration. */
    void activate(ConfigHead head, Manifest manifest);

    /** Records whether the platform responded to the last read. */
    void updatePlatformReachable(boolean reachable);
  }

  ConfigService(
      TableService table,
      ObjectStore store,
      LongSupplier clock,
      Executor objectReader,
      Callbacks callbacks) {
    this.cache = new ObjectCache(objectReader);
    this.tracker = new ConfigTracker(cache);
    this.table = table;
    this.store = store;
    this.clock = clock;
    this.callbacks = callbacks;
  }

  ConfigHead activeHead() {
    return tracker.activeHead();
  }

  /**
   * Returns whether the object with {@code hash} belongs to the active manifest, and therefore is
   * in the object store.
   */
  boolean isStored(String hash) {
    return tracker.activeHead().version().number() > 0 && cache.get(hash).isPresent();
  }

  /** Reads the accepted head if a poll is due and this VM is a poller. */
  void pollIfDue(BooleanSupplier isPoller) {
    long nowNanos = clock.getAsLong();
    boolean due = nowNanos - lastPollNanos >= POLL_INTERVAL_NANOS;
    if (!due || pollRunning || !isPoller.getAsBoolean()) {
      return;
    }
    lastPollNanos = nowNanos;
    pollRunning = true;
    table.read(TableRows.HEAD_KEY).whenResult(this::handlePolledHead);
  }

  private void handlePolledHead(Either<PlatformFailure, Optional<Row>> read) {
    pollRunning = false;
    callbacks.updatePlatformReachable(read.isRight());
    read.toJavaOptional()
        .flatMap(row -> row)
        .flatMap(TableRows::toHead)
        .ifPresent(this::offerStoredHead);
  }

  /** Starts to fetch the manifest of a head that was read from or written to the table. */
  void offerStoredHead(ConfigHead head) {
    run(tracker.offerHead(clock.getAsLong(), head, new ConfigSource.Store()));
  }

  void announceIfOutdated(Member peer, ConfigVersion version) {
    run(tracker.announceIfOutdated(clock.getAsLong(), peer, version));
  }

  void offerPeerHead(Member from, PeerMessage.ConfigAnnounce announce) {
    ConfigHead head = new ConfigHead(announce.version(), announce.rootHash());
    run(tracker.offerHead(clock.getAsLong(), head, new ConfigSource.Peer(from)));
  }

  void sendObjects(Member from, PeerMessage.ConfigFetch fetch) {
    List<PeerMessage.ConfigObject> found = new ArrayList<>();
    for (String hash : fetch.hashes()) {
      found.add(new PeerMessage.ConfigObject(hash, cache.get(hash)));
    }
    callbacks.send(from, new PeerMessage.ConfigObjects(found));
  }

  void storeObjects(Member from, PeerMessage.ConfigObjects objects) {
    ConfigSource source = new ConfigSource.Peer(from);
    Promises.toList(objects.objects().stream().map(this::store).toList())
        .whenResult(
            results -> continueOrAbandonFetch(source, results.stream().allMatch(stored -> stored)));
  }

  private Promise<Boolean> store(PeerMessage.ConfigObject object) {
    return object
        .content()
        .map(content -> cache.put(object.hash(), content))
        .orElse(Promise.of(false));
  }

  private void continueOrAbandonFetch(ConfigSource source, boolean complete) {
    if (complete) {
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
        case ConfigAction.Activate activate -> activate(activate.head());
        case ConfigAction.Reject reject ->
            EventLog.log(Event.MANIFEST_INVALID, "head", reject.head(), "why", reject.detail());
      }
    }
  }

  private void fetch(ConfigAction.Fetch fetch) {
    switch (fetch.source()) {
      case ConfigSource.Peer peer ->
          callbacks.send(peer.member(), new PeerMessage.ConfigFetch(fetch.hashes()));
      case ConfigSource.Store source -> fetchFromStore(source, fetch.hashes());
    }
  }

  private void fetchFromStore(ConfigSource.Store source, List<String> hashes) {
    Promises.toList(hashes.stream().map(this::fetchObject).toList())
        .whenResult(
            results -> continueOrAbandonFetch(source, results.stream().allMatch(stored -> stored)));
  }

  private Promise<Boolean> fetchObject(String hash) {
    return store
        .get(hash)
        .then(
            result ->
                result
                    .toJavaOptional()
                    .flatMap(content -> content)
                    .map(content -> cache.put(hash, new String(content, StandardCharsets.UTF_8)))
                    .orElse(Promise.of(false)));
  }

  private void announce(ConfigAction.Announce announce) {
    ConfigHead head = announce.head();
    callbacks.send(announce.to(), new PeerMessage.ConfigAnnounce(head.version(), head.rootHash()));
  }

  private void activate(ConfigHead head) {
    Manifest manifest = cache.takeAssembled(head);
    EventLog.log(Event.MANIFEST_IN_FORCE, "version", head.version(), "hash", head.rootHash());
    callbacks.activate(head, manifest);
    run(tracker.announceTo(clock.getAsLong(), callbacks.announceTargets()));
  }
}
