package org.mustardstage.core.manifest;

import com.google.common.base.Preconditions;
import org.mustardstage.core.id.CallName;

/**
 * One kind of call to a service, chosen by method and path prefix.
 *
 * @param name the name of the call
 * @param method the HTTP method
 * @param pathPrefix the start of the paths that belong to the call
 * @param idempotent whether running the call twice is harmless
 * @param priority the place of the call under overload
 * @param deadlineMillis the longest time a caller waits for an answer
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
    Preconditions.checkArgument(deadlineMillis > 0, "deadline must be positive");
    Preconditions.checkArgument(pathPrefix.startsWith("/"), "path must be absolute");
  }

  /** Returns whether a request with {@code method} and {@code path} is a call of this kind. */
  public boolean matches(String method, String path) {
    return this.method.equals(method) && path.startsWith(pathPrefix);
  }
}
