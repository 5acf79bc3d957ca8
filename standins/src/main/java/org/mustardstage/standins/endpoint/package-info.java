/** The stand-in of an endpoint: slots, service times, load reports, faults and a record of runs. */
package org.mustardstage.standins.endpoint;
