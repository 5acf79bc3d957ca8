/** Reading of settings, manifests and messages against their schemas. */
package org.mustardstage.schema;
