package org.mustardstage.core.manifest;

/** The kind of object that a name in a manifest identifies. */
public enum NameKind {
  /** An availability zone. */
  ZONE("zone"),
  /** A service. */
  SERVICE("service"),
  /** A call of a service. */
  CALL("call"),
  /** An endpoint. */
  ENDPOINT("endpoint"),
  /** A region in the place limits of a service. */
  PLACE_LIMIT("place limit"),
  /** A planned move. */
  MOVE("move"),
  /** A planned drain. */
  DRAIN("drain");

  private final String term;

  NameKind(String term) {
    this.term = term;
  }

  /** Returns the term used in messages to operators. */
  public String term() {
    return term;
  }
}
