/** What is known of a request's end, and memory of idempotency keys. */
package org.mustardstage.core.outcome;
