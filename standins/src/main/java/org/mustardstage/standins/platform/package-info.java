/** The stand-in of the platform: its table service, object store and list of VMs, with faults. */
package org.mustardstage.standins.platform;
