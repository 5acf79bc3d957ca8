package org.mustardstage.cli;

import com.google.common.collect.ImmutableList;
import java.util.List;

/** Compares two texts line by line. */
final class LineDiff {
  private LineDiff() {}

  /**
   * Returns the lines to remove from {@code before}, marked by a minus, and to insert, marked by a
   * plus, to get {@code after}. The common prefix and the common suffix of the texts are left out.
   */
  static ImmutableList<String> of(List<String> before, List<String> after) {
    int start = 0;
    while (start < Math.min(before.size(), after.size())
        && before.get(start).equals(after.get(start))) {
      start++;
    }
    List<String> restBefore = before.subList(start, before.size());
    List<String> restAfter = after.subList(start, after.size());
    int common = 0;
    while (common < Math.min(restBefore.size(), restAfter.size())
        && restBefore.reversed().get(common).equals(restAfter.reversed().get(common))) {
      common++;
    }
    ImmutableList.Builder<String> difference = ImmutableList.builder();
    restBefore.subList(0, restBefore.size() - common).forEach(line -> difference.add("- " + line));
    restAfter.subList(0, restAfter.size() - common).forEach(line -> difference.add("+ " + line));
    return difference.build();
  }
}
