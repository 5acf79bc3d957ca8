/**
 * The demo: a whole deployment of processes on loopback addresses under load, changes and faults.
 */
package org.mustardstage.standins.demo;
