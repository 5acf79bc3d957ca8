package org.mustardstage.core.overload;

import com.google.common.collect.ImmutableList;
import java.util.List;

/** The decision of a queue about an offered request. */
public sealed interface OfferResult {
  /**
   * Returns the rejections of other requests that the offer removed from the queue; their callers
   * get a response at once.
   */
  List<Rejection> displaced();

  /** The request was added to the queue. */
  record Queued(List<Rejection> displaced) implements OfferResult {
    /** Makes an immutable copy of the list. */
    public Queued {
      displaced = ImmutableList.copyOf(displaced);
    }
  }

  /** The request will not run; its caller gets a response at once. */
  record Rejected(Rejection rejection, List<Rejection> displaced) implements OfferResult {
    /** Makes an immutable copy of the list. */
    public Rejected {
      displaced = ImmutableList.copyOf(displaced);
    }
  }
}
