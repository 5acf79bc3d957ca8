/**
 * Access to the platform that entry VMs depend on: interfaces for its table service, object store
 * and VM list, and {@link org.mustardstage.entry.platform.HttpPlatformClient}, which implements
 * them over HTTP.
 */
package org.mustardstage.entry.platform;
