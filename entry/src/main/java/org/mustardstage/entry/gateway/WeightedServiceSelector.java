package org.mustardstage.entry.gateway;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.mustardstage.core.gateway.RoutingRule;
import org.mustardstage.core.gateway.WeightedService;
import org.mustardstage.core.id.ServiceName;

/**
 * Splits the requests of a rule among its services by weight, by smooth weighted round robin: each
 * request goes to the service that is furthest below its share, so that every sequence of requests
 * comes close to the weights, not just the long-term average.
 */
final class WeightedServiceSelector {
  private final Map<String, Map<ServiceName, Double>> deficitsByRule = new HashMap<>();

  /** Returns the service that the next request of {@code rule} is sent to. */
  ServiceName select(RoutingRule rule) {
    List<WeightedService> destinations = rule.destinations();
    if (destinations.size() == 1) {
      return destinations.getFirst().service();
    }
    double totalWeight = destinations.stream().mapToDouble(WeightedService::weight).sum();
    Map<ServiceName, Double> deficits =
        deficitsByRule.computeIfAbsent(rule.name(), name -> new HashMap<>());
    WeightedService selected = null;
    double largestDeficit = Double.NEGATIVE_INFINITY;
    for (WeightedService destination : destinations) {
      double share = destination.weight() / totalWeight;
      double deficit = deficits.merge(destination.service(), share, Double::sum);
      if (destination.weight() > 0 && deficit > largestDeficit) {
        largestDeficit = deficit;
        selected = destination;
      }
    }
    ServiceName service = selected.service();
    deficits.merge(service, -1.0, Double::sum);
    return service;
  }
}
