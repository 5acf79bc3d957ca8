/**
 * The control thread: the owner of all mutable control state, and what traffic threads ask of it.
 */
package org.mustardstage.entry.control;
