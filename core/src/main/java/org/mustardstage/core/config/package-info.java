/** Versions of the manifest and how they spread. */
package org.mustardstage.core.config;
