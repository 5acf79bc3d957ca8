/** The checks that a manifest must pass before it may be put in force, one class for each. */
package org.mustardstage.core.manifest.check;
