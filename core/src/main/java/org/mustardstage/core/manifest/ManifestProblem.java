package org.mustardstage.core.manifest;

import org.mustardstage.core.id.EndpointId;
import org.mustardstage.core.id.MoveId;
import org.mustardstage.core.id.RegionId;
import org.mustardstage.core.id.ServiceName;
import org.mustardstage.core.id.ZoneId;

/** Something that is wrong with a manifest. A manifest with a problem is never put in force. */
public sealed interface ManifestProblem permits DocumentProblem, ManifestProblem.SemanticProblem {
  /** Returns where in the manifest the problem lies, such as {@code /services/desk/calls/book}. */
  String path();

  /** Returns what is wrong, in one sentence for operators. */
  String description();

  /** A problem of a manifest whose shape is right. */
  sealed interface SemanticProblem extends ManifestProblem {}

  /** A name is used for a zone that the manifest does not declare. */
  record UnknownZone(String path, ZoneId zone) implements SemanticProblem {
    @Override
    public String description() {
      return "no zone is called " + zone;
    }
  }

  /** A name is used for a region in which no zone of the manifest lies. */
  record UnknownRegion(String path, RegionId region) implements SemanticProblem {
    @Override
    public String description() {
      return "no zone lies in a region called " + region;
    }
  }

  /** A name is used for a service that the manifest does not declare. */
  record UnknownService(String path, ServiceName service) implements SemanticProblem {
    @Override
    public String description() {
      return "no service is called " + service;
    }
  }

  /** A name is used for an endpoint that the manifest does not declare. */
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
  record SharedAddress(String path, HostAndPort address, EndpointId other) implements SemanticProblem {
    @Override
    public String description() {
      return "address " + address + " is already used by endpoint " + other;
    }
  }

  /** Two blocks of caller addresses have addresses in common. */
  record OverlappingCallerBlocks(String path, CallerBlock block, CallerBlock other)
      implements SemanticProblem {
    @Override
    public String description() {
      return "block " + block.prefix() + " overlaps block " + other.prefix();
    }
  }

  /** Two links join the same pair of regions. */
  record DuplicateLink(String path, RegionId first, RegionId second) implements SemanticProblem {
    @Override
    public String description() {
      return "more than one link joins " + first + " and " + second;
    }
  }

  /** A move has a region without an endpoint of its service that stays. */
  record MoveWithoutPlace(String path, MoveId move, RegionId region, ServiceName service)
      implements SemanticProblem {
    @Override
    public String description() {
      return "region " + region + " has no endpoint of " + service + " that is not drained";
    }
  }

  /** A move joins two regions without a link. */
  record MoveWithoutLink(String path, MoveId move, RegionId from, RegionId to)
      implements SemanticProblem {
    @Override
    public String description() {
      return "no link joins " + from + " and " + to;
    }
  }

  /** Two moves of a service use the same region as giver, or one's giver as receiver. */
  record ConflictingMoves(String path, MoveId move, MoveId other) implements SemanticProblem {
    @Override
    public String description() {
      return "move " + move + " conflicts with move " + other + " of the same service";
    }
  }

  /** Drains leave a service without an endpoint. */
  record DrainedService(String path, ServiceName service) implements SemanticProblem {
    @Override
    public String description() {
      return "the drains leave service " + service + " without an endpoint";
    }
  }

  /** The limits of regions leave a part of the requests of a service without a place. */
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

  /** The priority of a call does not fit whether it is idempotent. */
  record MismatchedPriority(String path, Priority priority, boolean idempotent)
      implements SemanticProblem {
    @Override
    public String description() {
      return idempotent
          ? "an idempotent call can't have the priority of non-idempotent work"
          : "a call that is not idempotent needs the priority of non-idempotent work";
    }
  }

  /** A call never matches a request, because an earlier one of the service always does. */
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
