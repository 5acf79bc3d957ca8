/**
 * The stand-in for the platform: serves its table service, object store and list of VMs from
 * memory, and injects faults. Start with {@link org.mustardstage.standins.platform.PlatformMain}.
 */
package org.mustardstage.standins.platform;
