package org.mustardstage.core.shift;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.contains;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.hasItem;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.mustardstage.core.id.CallName;
import org.mustardstage.core.id.DrainId;
import org.mustardstage.core.id.EndpointId;
import org.mustardstage.core.id.MoveId;
import org.mustardstage.core.id.RegionId;
import org.mustardstage.core.id.ServiceName;
import org.mustardstage.core.id.ZoneId;
import org.mustardstage.core.manifest.Call;
import org.mustardstage.core.manifest.Drain;
import org.mustardstage.core.manifest.DrainTarget;
import org.mustardstage.core.manifest.Endpoint;
import org.mustardstage.core.manifest.HostAndPort;
import org.mustardstage.core.manifest.Manifest;
import org.mustardstage.core.manifest.Objective;
import org.mustardstage.core.manifest.PlaceLimit;
import org.mustardstage.core.manifest.PlannedMove;
import org.mustardstage.core.manifest.Priority;
import org.mustardstage.core.manifest.Service;
import org.mustardstage.core.manifest.Zone;

/**
 * Checks that moves which can't run together are rejected: chains, moves of more than the whole
 * traffic of a region, and moves into regions without the capacity for them.
 */
class MoveConflictsTest {
  private static final ServiceName SERVICE = new ServiceName("order-desk");
  private static final Call CALL =
      new Call(new CallName("read"), "GET", "/", true, Priority.INTERACTIVE, 1_000);

  @Test
  void acceptsMovesThatFit() {
    assertThat(check(move("m1", "a", "b", 0.5), move("m2", "a", "c", 0.5)), empty());
  }

  @Test
  void rejectsMovesOfMoreThanTheWholeTraffic() {
    assertThat(
        check(move("m1", "a", "b", 0.6), move("m2", "a", "c", 0.75)),
        contains(new MoveProblem.MoreThanWhole(SERVICE, region("a"), 1.35)));
  }

  @Test
  void rejectsChainedAndOppositeMoves() {
    assertThat(
        check(move("m1", "a", "b", 0.5), move("m2", "b", "c", 0.5)),
        contains(new MoveProblem.Chained(new MoveId("m1"), new MoveId("m2"))));
    assertThat(
        check(move("m1", "a", "b", 0.5), move("m2", "b", "a", 0.5)),
        contains(new MoveProblem.Chained(new MoveId("m1"), new MoveId("m2"))));
  }

  @Test
  void rejectsTheSameMoveTwice() {
    assertThat(
        check(move("m1", "a", "b", 0.1), move("m2", "a", "b", 0.1)),
        contains(new MoveProblem.SameMove(new MoveId("m1"), new MoveId("m2"))));
  }

  @Test
  void rejectsTwoMovesWithTheSameName() {
    assertThat(
        check(move("m1", "a", "b", 0.1), move("m1", "a", "c", 0.1)),
        contains(new MoveProblem.DuplicateId(new MoveId("m1"))));
  }

  @Test
  void rejectsMovesThatExceedTheSlotsOfTheReceivingRegion() {
    assertThat(
        check(move("m1", "a", "b", 0.75), move("m2", "c", "b", 0.75)),
        contains(new MoveProblem.ReceiverTooSmall(SERVICE, region("b"), 8, 12)));
  }

  @Test
  void rejectsUnknownRegionsAndServices() {
    assertThat(
        check(move("m1", "a", "z", 0.1)),
        contains(new MoveProblem.NoEndpoints(new MoveId("m1"), region("z"))));
    PlannedMove unknown =
        new PlannedMove(
            new MoveId("m1"), new ServiceName("x"), region("a"), region("b"), 0.1, 1, 1);
    assertThat(
        check(unknown),
        contains(new MoveProblem.UnknownService(new MoveId("m1"), new ServiceName("x"))));
  }

  @Test
  void rejectsAReceivingRegionThatIsDrained() {
    Drain drain = new Drain(new DrainId("d"), new DrainTarget.OfZone(new ZoneId("b-1")));
    List<MoveProblem> problems =
        MoveConflicts.check(manifest(List.of(), List.of(drain), move("m1", "a", "b", 0.1)));
    assertThat(problems, hasItem(new MoveProblem.NoEndpoints(new MoveId("m1"), region("b"))));
  }

  @Test
  void rejectsAReceivingRegionWithAZeroShareLimit() {
    List<PlaceLimit> limits = List.of(new PlaceLimit(region("b"), 0, 1));
    assertThat(
        MoveConflicts.check(manifest(limits, List.of(), move("m1", "a", "b", 0.1))),
        contains(new MoveProblem.ReceiverClosed(new MoveId("m1"), region("b"))));
  }

  private static List<MoveProblem> check(PlannedMove... moves) {
    return MoveConflicts.check(manifest(List.of(), List.of(), moves));
  }

  private static Manifest manifest(
      List<PlaceLimit> limits, List<Drain> drains, PlannedMove... moves) {
    List<Zone> zones = new ArrayList<>();
    List<Endpoint> endpoints = new ArrayList<>();
    for (String name : List.of("a", "b", "c")) {
      ZoneId zone = new ZoneId(name + "-1");
      zones.add(new Zone(zone, region(name)));
      HostAndPort address = new HostAndPort("127.0.0.1", 1_000 + endpoints.size());
      endpoints.add(new Endpoint(new EndpointId("e-" + name), zone, address, 8, 10));
    }
    Service service = new Service(SERVICE, Objective.LATENCY, List.of(CALL), endpoints, limits);
    return new Manifest(
        "test", 1_000, zones, List.of(), List.of(service), List.of(), List.of(moves), drains);
  }

  private static PlannedMove move(String id, String from, String to, double capShare) {
    return new PlannedMove(new MoveId(id), SERVICE, region(from), region(to), capShare, 4, 1_000);
  }

  private static RegionId region(String name) {
    return new RegionId(name);
  }
}
