/**
 * What is known of a request's end: the outcomes that callers are told, the rule that decides on
 * another try, and the memory of idempotency keys.
 */
package org.mustardstage.core.outcome;
