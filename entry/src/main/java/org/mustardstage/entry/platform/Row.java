package org.mustardstage.entry.platform;

/**
 * A row of the table service.
 *
 * @param key the key of the row
 * @param revision a number that starts at 1 and grows with each write of the row
 * @param value the value of the row
 */
public record Row(String key, long revision, String value) {}
