/** Limits kept by permits that exist once and are lent for a time. */
package org.mustardstage.core.permit;
