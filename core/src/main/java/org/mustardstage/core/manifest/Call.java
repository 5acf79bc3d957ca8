package org.mustardstage.core.manifest;

import com.google.common.base.Preconditions;
import org.mustardstage.core.id.CallName;

/**
 * A kind of call to a service, identified by HTTP method and path prefix.
 *
 * @param name the name of the call
 * @param method the HTTP method
 * @param pathPrefix the prefix of the paths that belong to the call
 * @param idempotent whether running the call twice is harmless
 * @param priority the priority of the call under overload
 * @param deadlineMillis the longest time that a caller waits for a response
 */
public record Call(
    CallName name,
    String method,
    String pathPrefix,
    boolean idempotent,
    Priority priority,
    long deadlineMillis) {
  /** Checks that the deadline is positive and the path absolute. */
  public Call {
    Preconditions.checkArgument(deadlineMillis > 0, "deadlineMillis must be positive");
    Preconditions.checkArgument(pathPrefix.startsWith("/"), "pathPrefix must start with /");
  }

  /** Returns whether a request with {@code method} and {@code path} is a call of this kind. */
  public boolean matches(String method, String path) {
    return this.method.equals(method) && path.startsWith(pathPrefix);
  }
}
