package org.mustardstage.core.overload;

import com.google.common.collect.ImmutableList;
import java.util.List;

/** What a queue decided about an offered request. */
public sealed interface OfferResult {
  /** Returns the requests that lost their place to the offered one; each is answered at once. */
  List<Refusal> displaced();

  /** The request waits. */
  record Queued(List<Refusal> displaced) implements OfferResult {
    /** Copies the list. */
    public Queued {
      displaced = ImmutableList.copyOf(displaced);
    }
  }

  /** The request will not run; it is answered at once. */
  record Refused(Refusal refusal, List<Refusal> displaced) implements OfferResult {
    /** Copies the list. */
    public Refused {
      displaced = ImmutableList.copyOf(displaced);
    }
  }
}
