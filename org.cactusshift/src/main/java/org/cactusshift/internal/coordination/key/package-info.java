/** Client keys: verification and the rule for a node that can't show that its view is recent. */
package org.cactusshift.internal.coordination.key;
