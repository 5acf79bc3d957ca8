package org.mustardstage.cli;

import com.fasterxml.jackson.databind.JsonNode;
import com.google.common.collect.ImmutableList;
import java.util.List;

/** Checks whether every entry VM has confirmed a version of the manifest. */
final class ConfirmationCheck {
  private static final String STATUS_PATH = "/v1/status";

  private final OperatorClient client;
  private final long version;
  private ImmutableList<String> notConfirmed = ImmutableList.of("all entry VMs");

  ConfirmationCheck(OperatorClient client, long version) {
    this.client = client;
    this.version = version;
  }

  /**
   * Reads the status of one entry VM and returns whether, as far as that VM knows, all entry VMs
   * have confirmed the version.
   */
  boolean isConfirmed() {
    if (!(client.get(STATUS_PATH) instanceof CallResult.Response response)) {
      return false;
    }
    JsonNode status = ResponseHandler.parseJson(response.body());
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

  /** Returns the entry VMs that had not confirmed the version at the last check. */
  List<String> notConfirmed() {
    return notConfirmed;
  }
}
