/** The ports to the platform: table service, object store and VM list, and their HTTP clients. */
package org.mustardstage.entry.platform;
