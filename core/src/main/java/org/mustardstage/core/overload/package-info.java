/** Bounded queues, priorities and retry budgets. */
package org.mustardstage.core.overload;
