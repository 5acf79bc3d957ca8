/**
 * Second attempts of idempotent requests whose endpoint is up but slower than usual: when one is
 * worth its extra work, and how many are allowed. Start at {@link
 * org.mustardstage.core.hedge.HedgePolicy}.
 */
package org.mustardstage.core.hedge;
