/** Value types that identify the things the system steers: VMs, zones, regions, services. */
package org.mustardstage.core.id;
