package org.mustardstage.cli;

import com.fasterxml.jackson.databind.JsonNode;
import com.google.common.collect.ImmutableList;
import java.util.List;

/** Asks whether every entry VM has confirmed a version. */
final class ConfirmationCheck {
  private static final String STATUS_PATH = "/v1/status";

  private final OperatorClient client;
  private final long version;
  private ImmutableList<String> notConfirmed = ImmutableList.of("all entry VMs");

  ConfirmationCheck(OperatorClient client, long version) {
    this.client = client;
    this.version = version;
  }

  /** Asks an entry VM; returns whether it knows of none that has not confirmed the version. */
  boolean isConfirmed() {
    if (!(client.get(STATUS_PATH) instanceof CallResult.Response received)) {
      return false;
    }
    JsonNode status = ResponseHandler.parseJson(received.body());
    if (status.path("version").asLong() < version) {
      return false;
    }
    notConfirmed =
        status
            .path("notConfirmed")
            .valueStream()
            .map(JsonNode::asText)
            .collect(ImmutableList.toImmutableList());
    return status.path("notConfirmed").isArray() && notConfirmed.isEmpty();
  }

  /** Returns the entry VMs that had not confirmed at the last check. */
  List<String> notConfirmed() {
    return notConfirmed;
  }
}
