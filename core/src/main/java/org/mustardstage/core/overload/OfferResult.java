package org.mustardstage.core.overload;

import com.google.common.collect.ImmutableList;
import java.util.List;

/** What a queue decided about an offered request. */
public sealed interface OfferResult {
  /** Returns the requests that lost their place to the offered one; each is answered at once. */
  List<Rejection> displaced();

  /** The request waits. */
  record Queued(List<Rejection> displaced) implements OfferResult {
    /** Copies the list. */
    public Queued {
      displaced = ImmutableList.copyOf(displaced);
    }
  }

  /** The request will not run; it is answered at once. */
  record Rejected(Rejection rejection, List<Rejection> displaced) implements OfferResult {
    /** Copies the list. */
    public Rejected {
      displaced = ImmutableList.copyOf(displaced);
    }
  }
}
