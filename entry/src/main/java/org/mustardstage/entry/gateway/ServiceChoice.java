package org.mustardstage.entry.gateway;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.mustardstage.core.gateway.RoutingRule;
import org.mustardstage.core.gateway.WeightedService;
import org.mustardstage.core.id.ServiceName;

/**
 * Divides the requests of a rule among its services by weight. Each choice goes to the service that
 * is furthest behind its part, so that every stretch of requests comes close to the weights.
 */
final class ServiceChoice {
  private final Map<String, Map<ServiceName, Double>> behindByRule = new HashMap<>();

  /** Returns the service for the next request of {@code rule}. */
  ServiceName choose(RoutingRule rule) {
    List<WeightedService> parts = rule.destinations();
    if (parts.size() == 1) {
      return parts.getFirst().service();
    }
    double sum = parts.stream().mapToDouble(WeightedService::weight).sum();
    Map<ServiceName, Double> behind =
        behindByRule.computeIfAbsent(rule.name(), name -> new HashMap<>());
    WeightedService chosen = null;
    double most = Double.NEGATIVE_INFINITY;
    for (WeightedService part : parts) {
      double share = part.weight() / sum;
      double now = behind.merge(part.service(), share, Double::sum);
      if (part.weight() > 0 && now > most) {
        most = now;
        chosen = part;
      }
    }
    ServiceName service = chosen.service();
    behind.merge(service, -1.0, Double::sum);
    return service;
  }
}
