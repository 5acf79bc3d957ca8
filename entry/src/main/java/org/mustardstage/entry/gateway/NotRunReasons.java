package org.mustardstage.entry.gateway;

/**
 * Why a request is rejected that no endpoint was asked to run; the names are sent to callers and to
 * VMs that relayed the request, and logged. Reasons of a scheduler are those of {@link
 * org.mustardstage.core.placement.RejectionReason}.
 */
final class NotRunReasons {
  /** No configuration is known yet. */
  static final String NO_CONFIG = "NO_CONFIG";

  /** Another VM relayed the request by a newer configuration than this VM has. */
  static final String OLDER_CONFIG = "OLDER_CONFIG";

  /** This VM has had no news of the configuration for longer than it may accept API keys. */
  static final String KEYS_STALE = "KEYS_STALE";

  /** This VM is about to stop. */
  static final String STOPPING = "STOPPING";

  /** The bodies of all requests together hold too much memory. */
  static final String BUFFERS_FULL = "BUFFERS_FULL";

  /** The large responses that are on their way to callers hold too much memory. */
  static final String RESPONSES_FULL = "RESPONSES_FULL";

  /** This VM reaches no endpoint, and no other VM can send the request to one. */
  static final String CUT_OFF = "CUT_OFF";

  /** Several endpoints could not be reached, one after the other. */
  static final String ENDPOINTS_UNREACHABLE = "ENDPOINTS_UNREACHABLE";

  /** The request has ended several endpoints. */
  static final String CRASHES_ENDPOINTS = "CRASHES_ENDPOINTS";

  /** All connections that may be open to the endpoint are in use. */
  static final String NO_LINK = "NO_LINK";

  /** Every endpoint that the request was sent to refused it. */
  static final String REFUSED_BY_ENDPOINT = "REFUSED_BY_ENDPOINT";

  /** An error in this VM ended the request before it was sent. */
  static final String INTERNAL_ERROR = "INTERNAL_ERROR";

  /** The deadline passed before the request was sent. */
  static final String DEADLINE = "DEADLINE";

  /** The quota of the tenant is used up. */
  static final String QUOTA_EXHAUSTED = "QUOTA_EXHAUSTED";

  /** No VM says what is left of the quota of the tenant. */
  static final String QUOTA_UNKNOWN = "QUOTA_UNKNOWN";

  private static final int STATUS_TOO_MANY_REQUESTS = 429;
  private static final int STATUS_UNAVAILABLE = 503;

  private NotRunReasons() {}

  /** Returns the status of the response to a request that was not run. */
  static int statusOf(String reason) {
    return reason.equals(QUOTA_EXHAUSTED) ? STATUS_TOO_MANY_REQUESTS : STATUS_UNAVAILABLE;
  }
}
