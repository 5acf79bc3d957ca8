package org.mustardstage.schema;

/** A small valid manifest, from which tests derive invalid ones. */
final class SampleManifest {
  static final String YAML =
      """
      schemaVersion: 1
      deployment: sample
      answerLifetimeMillis: 2000
      zones:
        - {name: regina-a, region: regina}
        - {name: regina-b, region: regina}
        - {name: brandon-a, region: brandon}
      regionLinks:
        - {first: regina, second: brandon, bitsPerSecond: 4000000000}
      services:
        - name: order-desk
          objective: latency
          calls:
            - {name: book, method: POST, pathPrefix: /bookings, idempotent: false, priority: non-idempotent, deadlineMillis: 2000}
            - {name: sample, method: GET, pathPrefix: /samples/, idempotent: true, priority: interactive, deadlineMillis: 1000}
          endpoints:
            - {name: desk-1, zone: regina-a, address: "127.1.0.1:8080", slots: 9, connections: 700}
            - {name: desk-2, zone: brandon-a, address: "127.1.0.2:8080", slots: 9, connections: 700}
          placeLimits:
            - {region: brandon, maxShare: 0.5, requestsPerSecond: 1000}
      callerBlocks:
        - {prefix: 10.1.0.0/16, region: regina}
        - {prefix: 10.2.0.0/16, region: brandon}
      moves:
        - {name: to-brandon, service: order-desk, from: regina, to: brandon, capShare: 0.25, steps: 5, stepMillis: 60000}
      drains:
        - {name: works, endpoint: desk-1}
      """;

  private SampleManifest() {}

  /** Returns the sample with {@code old}, which must occur in it, replaced. */
  static String with(String old, String replacement) {
    if (!YAML.contains(old)) {
      throw new IllegalArgumentException("text to replace is not in the sample: " + old);
    }
    return YAML.replace(old, replacement);
  }
}
