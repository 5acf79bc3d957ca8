/** Which VMs are believed alive. */
package org.mustardstage.core.member;
