/** Stand-ins for the platform and for endpoints, and the load tool, for tests and demos. */
package org.mustardstage.standins;
