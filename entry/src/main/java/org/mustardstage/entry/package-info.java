/** The process that runs on every entry VM. */
package org.mustardstage.entry;
