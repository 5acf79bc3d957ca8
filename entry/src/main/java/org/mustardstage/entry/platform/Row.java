package org.mustardstage.entry.platform;

/**
 * A row of the table service.
 *
 * @param key the key
 * @param revision a number that grows with each write of the row, from 1
 * @param value the text of the row
 */
public record Row(String key, long revision, String value) {}
