/**
 * The process of an entry VM. {@link org.mustardstage.entry.EntryMain} reads the settings and
 * starts {@link org.mustardstage.entry.EntryProcess}.
 */
package org.mustardstage.entry;
