/** Settings of the process of an entry VM. */
package org.mustardstage.entry.settings;
