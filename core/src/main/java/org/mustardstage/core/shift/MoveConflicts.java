package org.mustardstage.core.shift;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableSet;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.TreeSet;
import org.mustardstage.core.drain.DrainPlan;
import org.mustardstage.core.id.MoveId;
import org.mustardstage.core.id.RegionId;
import org.mustardstage.core.manifest.Endpoint;
import org.mustardstage.core.manifest.Manifest;
import org.mustardstage.core.manifest.PlannedMove;
import org.mustardstage.core.manifest.Service;

/** Finds planned moves that conflict with each other, with drains or with the limits of regions. */
public final class MoveConflicts {
  private static final double MAX_SHARE_SUM = 1 + 1e-9;

  private final Manifest manifest;
  private final DrainPlan drains;
  private final List<MoveProblem> problems = new ArrayList<>();

  private MoveConflicts(Manifest manifest) {
    this.manifest = manifest;
    this.drains = DrainPlan.of(manifest, ImmutableSet.of(), endpoint -> false);
  }

  /** Returns the problems with the moves of {@code manifest}; empty if they may run. */
  public static List<MoveProblem> check(Manifest manifest) {
    MoveConflicts conflicts = new MoveConflicts(manifest);
    conflicts.checkIds();
    manifest.moves().forEach(conflicts::checkMove);
    conflicts.checkPairs();
    manifest.services().forEach(conflicts::checkRegionTotals);
    return ImmutableList.copyOf(conflicts.problems);
  }

  private void checkIds() {
    Set<MoveId> seen = new HashSet<>();
    for (PlannedMove move : manifest.moves()) {
      if (!seen.add(move.id())) {
        problems.add(new MoveProblem.DuplicateId(move.id()));
      }
    }
  }

  private void checkMove(PlannedMove move) {
    Optional<Service> service = manifest.findService(move.service());
    if (service.isEmpty()) {
      problems.add(new MoveProblem.UnknownService(move.id(), move.service()));
      return;
    }
    if (slots(service.get(), move.from(), false) == 0) {
      problems.add(new MoveProblem.NoEndpoints(move.id(), move.from()));
    }
    if (slots(service.get(), move.to(), true) == 0) {
      problems.add(new MoveProblem.NoEndpoints(move.id(), move.to()));
    }
    if (isClosed(service.get(), move.to())) {
      problems.add(new MoveProblem.ReceiverClosed(move.id(), move.to()));
    }
  }

  private void checkPairs() {
    List<PlannedMove> moves = manifest.moves();
    for (int i = 0; i < moves.size(); i++) {
      for (int j = i + 1; j < moves.size(); j++) {
        checkPair(moves.get(i), moves.get(j));
      }
    }
  }

  private void checkPair(PlannedMove first, PlannedMove second) {
    if (!first.service().equals(second.service())) {
      return;
    }
    if (first.from().equals(second.from()) && first.to().equals(second.to())) {
      problems.add(new MoveProblem.SameMove(first.id(), second.id()));
    }
    if (first.to().equals(second.from()) || second.to().equals(first.from())) {
      problems.add(new MoveProblem.Chained(first.id(), second.id()));
    }
  }

  private void checkRegionTotals(Service service) {
    List<PlannedMove> moves =
        manifest.moves().stream().filter(move -> move.service().equals(service.name())).toList();
    Set<RegionId> sources = new TreeSet<>();
    Set<RegionId> receivers = new TreeSet<>();
    moves.forEach(move -> sources.add(move.from()));
    moves.forEach(move -> receivers.add(move.to()));
    sources.forEach(region -> checkSource(service, region, moves));
    receivers.forEach(region -> checkReceiver(service, region, moves));
  }

  private void checkSource(Service service, RegionId from, List<PlannedMove> moves) {
    double shareSum = 0;
    for (PlannedMove move : moves) {
      shareSum += move.from().equals(from) ? move.capShare() : 0;
    }
    if (shareSum > MAX_SHARE_SUM) {
      problems.add(new MoveProblem.MoreThanWhole(service.name(), from, shareSum));
    }
  }

  private void checkReceiver(Service service, RegionId to, List<PlannedMove> moves) {
    double slotsMoved = 0;
    for (PlannedMove move : moves) {
      slotsMoved += move.to().equals(to) ? move.capShare() * slots(service, move.from(), false) : 0;
    }
    int slots = slots(service, to, true);
    if (slots > 0 && slotsMoved > slots) {
      problems.add(new MoveProblem.ReceiverTooSmall(service.name(), to, slots, slotsMoved));
    }
  }

  private int slots(Service service, RegionId region, boolean onlyRemaining) {
    int slots = 0;
    for (Endpoint endpoint : service.endpoints()) {
      boolean isCounted = !onlyRemaining || !drains.isDraining(endpoint.id());
      boolean inRegion = manifest.findRegion(endpoint.zone()).equals(Optional.of(region));
      slots += isCounted && inRegion ? endpoint.slots() : 0;
    }
    return slots;
  }

  private static boolean isClosed(Service service, RegionId region) {
    return service.placeLimits().stream()
        .anyMatch(limit -> limit.region().equals(region) && limit.maxShare() == 0);
  }
}
