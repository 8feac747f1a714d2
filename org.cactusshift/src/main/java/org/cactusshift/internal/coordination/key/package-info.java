/**
 * Client keys, the API keys of client accounts: their verification by a node's key view, which is its copy of the keys
 * from the installed configuration, and the decision whether the node may accept keys while it can't confirm that this
 * view is fresh, that is known to be current within a time limit.
 */
package org.cactusshift.internal.coordination.key;
