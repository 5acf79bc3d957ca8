/** Answers to callers that ask which entry VM to use. */
package org.mustardstage.core.lookup;
