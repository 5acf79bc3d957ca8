package org.mustardstage.core.route;

/** How close an endpoint is to an entry VM, closest first. */
public enum Proximity {
  /** In the same zone. */
  OWN_ZONE,
  /** In another zone of the same region. */
  OWN_REGION,
  /** In another region. */
  OTHER_REGION
}
