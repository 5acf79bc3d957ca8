/** Stand-ins of the platform and of endpoints, and the load tool, for tests and demos. */
package org.mustardstage.standins;
