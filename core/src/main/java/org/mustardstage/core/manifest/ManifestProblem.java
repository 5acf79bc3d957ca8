package org.mustardstage.core.manifest;

import org.mustardstage.core.id.EndpointId;
import org.mustardstage.core.id.MoveId;
import org.mustardstage.core.id.RegionId;
import org.mustardstage.core.id.ServiceName;
import org.mustardstage.core.id.ZoneId;

/** A problem with a manifest. A manifest with a problem is never activated. */
public sealed interface ManifestProblem permits DocumentProblem, ManifestProblem.SemanticProblem {
  /**
   * Returns the location of the problem in the manifest, such as {@code /services/desk/calls/book}.
   */
  String path();

  /** Returns a description of the problem in one sentence for operators. */
  String description();

  /** A problem of a manifest that matches the schema. */
  sealed interface SemanticProblem extends ManifestProblem {}

  /** A reference names a zone that the manifest does not declare. */
  record UnknownZone(String path, ZoneId zone) implements SemanticProblem {
    @Override
    public String description() {
      return "no zone is called " + zone;
    }
  }

  /** A reference names a region that contains no zone of the manifest. */
  record UnknownRegion(String path, RegionId region) implements SemanticProblem {
    @Override
    public String description() {
      return "no zone lies in a region called " + region;
    }
  }

  /** A reference names a service that the manifest does not declare. */
  record UnknownService(String path, ServiceName service) implements SemanticProblem {
    @Override
    public String description() {
      return "no service is called " + service;
    }
  }

  /** A reference names an endpoint that the manifest does not declare. */
  record UnknownEndpoint(String path, EndpointId endpoint) implements SemanticProblem {
    @Override
    public String description() {
      return "no endpoint is called " + endpoint;
    }
  }

  /** A name that must be unique is used more than once. */
  record DuplicateName(String path, NameKind kind, String name) implements SemanticProblem {
    @Override
    public String description() {
      return "more than one " + kind.term() + " is called " + name;
    }
  }

  /** Two endpoints have the same address. */
  record SharedAddress(String path, HostAndPort address, EndpointId other)
      implements SemanticProblem {
    @Override
    public String description() {
      return "address " + address + " is already used by endpoint " + other;
    }
  }

  /** Two blocks of caller addresses overlap. */
  record OverlappingCallerBlocks(String path, CallerBlock block, CallerBlock other)
      implements SemanticProblem {
    @Override
    public String description() {
      return "block " + block.prefix() + " overlaps block " + other.prefix();
    }
  }

  /** Two links connect the same pair of regions. */
  record DuplicateLink(String path, RegionId first, RegionId second) implements SemanticProblem {
    @Override
    public String description() {
      return "more than one link connects " + first + " and " + second;
    }
  }

  /** The receiving region of a move has no endpoint of the service, or only drained ones. */
  record MoveWithoutPlace(String path, MoveId move, RegionId region, ServiceName service)
      implements SemanticProblem {
    @Override
    public String description() {
      return "region " + region + " has no endpoint of " + service + " that is not drained";
    }
  }

  /** A move is planned between two regions without a link. */
  record MoveWithoutLink(String path, MoveId move, RegionId from, RegionId to)
      implements SemanticProblem {
    @Override
    public String description() {
      return "no link connects " + from + " and " + to;
    }
  }

  /**
   * A region that traffic of a service is moved away from is also part of another move of the
   * service.
   */
  record ConflictingMoves(String path, MoveId move, MoveId other) implements SemanticProblem {
    @Override
    public String description() {
      return "move " + move + " conflicts with move " + other + " of the same service";
    }
  }

  /** All endpoints of a service are drained. */
  record DrainedService(String path, ServiceName service) implements SemanticProblem {
    @Override
    public String description() {
      return "the drains leave service " + service + " without an endpoint";
    }
  }

  /**
   * The limits of the regions with endpoints of a service add up to less than all of the service's
   * requests.
   */
  record ShareWithoutPlace(String path, ServiceName service, double totalShare)
      implements SemanticProblem {
    @Override
    public String description() {
      return "the regions that have endpoints may carry only "
          + totalShare
          + " of the requests of "
          + service;
    }
  }

  /** The priority of a call does not match whether the call is idempotent. */
  record MismatchedPriority(String path, Priority priority, boolean idempotent)
      implements SemanticProblem {
    @Override
    public String description() {
      return idempotent
          ? "an idempotent call can't have the priority of non-idempotent work"
          : "a call that is not idempotent needs the priority of non-idempotent work";
    }
  }

  /**
   * A call never matches a request, since an earlier call of the service matches all of its
   * requests.
   */
  record ShadowedCall(String path, String pathPrefix, String earlierPathPrefix)
      implements SemanticProblem {
    @Override
    public String description() {
      return "every path under "
          + pathPrefix
          + " already belongs to an earlier call with "
          + earlierPathPrefix;
    }
  }
}
