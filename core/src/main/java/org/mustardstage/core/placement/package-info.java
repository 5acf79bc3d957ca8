/**
 * Where each request runs and when: which endpoint, how long it may wait for it, and when it is
 * turned away. Free of I/O and of threads; the same classes run in tests and in the entry VM.
 */
package org.mustardstage.core.placement;
