/**
 * Value types that identify VMs, zones, regions, services, endpoints, configuration versions and
 * operations.
 */
package org.mustardstage.core.id;
