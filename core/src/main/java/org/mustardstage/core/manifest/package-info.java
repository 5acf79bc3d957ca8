/** The manifest: what operators declare of services, endpoints, limits, moves and drains. */
package org.mustardstage.core.manifest;
