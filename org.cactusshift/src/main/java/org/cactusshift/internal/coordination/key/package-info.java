/** Client keys: verification, and the decision whether a node whose key view is not fresh may accept keys. */
package org.cactusshift.internal.coordination.key;
